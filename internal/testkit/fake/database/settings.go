package database

import "github.com/jackc/pgx/v5/pgproto3"

// reportedSettings maps the settings whose changes are reported by ParameterStatus to their spelling there.
var reportedSettings = map[string]string{
	"application_name": "application_name",
	"timezone":         "TimeZone",
	"datestyle":        "DateStyle",
	"client_encoding":  "client_encoding",
}

var defaultSettings = map[string]string{
	"application_name":              "",
	"timezone":                      "UTC",
	"datestyle":                     "ISO, MDY",
	"client_encoding":               "UTF8",
	"search_path":                   "public",
	"work_mem":                      "4MB",
	"default_transaction_read_only": "off",
	"statement_timeout":             "0",
	"role":                          "none",
}

func (sess *session) set(name, value string) {
	if sess.settings[name] == value {
		return
	}
	sess.settings[name] = value
	if as := reportedSettings[name]; as != "" {
		sess.be.Send(&pgproto3.ParameterStatus{Name: as, Value: value})
	}
}
