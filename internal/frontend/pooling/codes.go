package pooling

// SQLSTATE codes of errors that clients receive.
const (
	codeConnectionFailure  = "08006"
	codeOutcomeUnknown     = "08007"
	codeProtocol           = "08P01"
	codeUnsupported        = "0A000"
	codeActiveTransaction  = "25001"
	codeIdleInTransaction  = "25P03"
	codeInvalidUser        = "28000"
	codeUnknownDatabase    = "3D000"
	codeInvalidParameter   = "22023"
	codeSyntax             = "42601"
	codeUndefinedObject    = "42704"
	codeDatatypeMismatch   = "42804"
	codeDuplicateStatement = "42P05"
	codeOutOfMemory        = "53200"
	codeTooManyClients     = "53300"
	codeLimitExceeded      = "54000"
	codeCancelled          = "57014"
	codeShutdown           = "57P01"
	codeCannotConnectNow   = "57P03"
	codeInternal           = "58000"
	codeMissingPart        = "01000" // of a warning
)

// CodeUnfunded is the SQLSTATE of a rejection because the tenant's prepaid credit is used up or low.
const CodeUnfunded = "PP001"

// Texts of errors that are sent from several places.
const (
	textCancelled      = "canceling statement due to user request"
	textNoConnection   = "no connection came free in time"
	textServerDraining = "the server of this transaction is being taken out; nothing of it was committed"
	textShuttingDown   = "the pooler is shutting down"
	textOutcomeUnknown = "the connection to the server broke; whether the transaction was committed is unknown"
)
