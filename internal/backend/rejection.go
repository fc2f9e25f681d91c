package backend

import "beechgrade/internal/decide"

// SQLSTATE codes by which a server reports that it has not run a statement.
const (
	CodeReadOnly         = "25006" // a write reached a replica
	CodeTooFarBehind     = "72000" // a read needs a later position than the server has
	CodeTooManyClients   = "53300"
	CodeCannotConnectNow = "57P03" // the server is starting or shutting down
)

// RejectionResult returns the result of an attempt that a server has answered with an error, if the SQLSTATE shows that the statement did not
// run; every frontend sends a statement again only for these. It returns false for all other codes: the statement may have run.
func RejectionResult(code string) (decide.Result, bool) {
	switch code {
	case CodeReadOnly, CodeTooFarBehind:
		return decide.Misdirected, true
	case CodeTooManyClients, CodeCannotConnectNow:
		return decide.Overloaded, true
	}
	return decide.Failed, false
}
