package database

import "github.com/jackc/pgx/v5/pgproto3"

// reportedSettings are the settings whose changes are reported, as the protocol spells them.
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

func (x *session) set(name, value string) {
	if x.settings[name] == value {
		return
	}
	x.settings[name] = value
	if as := reportedSettings[name]; as != "" {
		x.be.Send(&pgproto3.ParameterStatus{Name: as, Value: value})
	}
}
