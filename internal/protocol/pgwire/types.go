// Package pgwire reads and builds messages of version 3 of PostgreSQL's protocol, and the comments by which the platform's clients
// describe their requests. The themed names of the platform's fields are mapped to standard terms here.
//
// Its inputs are bytes from a connection, in pieces of any size; its outputs are messages and bytes to send. It does no I/O. A Reader
// buffers at most one message of its maximum length and what was fed beyond that.
package pgwire

import "errors"

// ErrMalformed is wrapped by every error about input that violates the protocol.
var ErrMalformed = errors.New("malformed message")

// Types of messages from clients.
const (
	Query        byte = 'Q'
	Terminate    byte = 'X'
	Parse        byte = 'P'
	Bind         byte = 'B'
	Describe     byte = 'D'
	Execute      byte = 'E'
	Close        byte = 'C'
	Flush        byte = 'H'
	Sync         byte = 'S'
	FunctionCall byte = 'F'
)

// Types of messages from servers.
const (
	Authentication           byte = 'R'
	BackendKeyData           byte = 'K'
	CommandComplete          byte = 'C'
	DataRow                  byte = 'D'
	EmptyQueryResponse       byte = 'I'
	ErrorResponse            byte = 'E'
	NegotiateProtocolVersion byte = 'v'
	NoticeResponse           byte = 'N'
	ParameterStatus          byte = 'S'
	ReadyForQuery            byte = 'Z'
	RowDescription           byte = 'T'
)

// Types of messages from servers in the extended protocol, and of notifications.
const (
	BindComplete         byte = '2'
	CloseComplete        byte = '3'
	NoData               byte = 'n'
	NotificationResponse byte = 'A'
	ParameterDescription byte = 't'
	ParseComplete        byte = '1'
	PortalSuspended      byte = 's'
)

// Types of messages of COPY, from clients and servers.
const (
	CopyBothResponse byte = 'W'
	CopyData         byte = 'd'
	CopyDone         byte = 'c'
	CopyFail         byte = 'f'
	CopyInResponse   byte = 'G'
	CopyOutResponse  byte = 'H'
)

// Targets of Describe and Close.
const (
	StatementTarget byte = 'S'
	PortalTarget    byte = 'P'
)

// EncryptionRefused is the one byte that refuses a request for encryption.
const EncryptionRefused byte = 'N'

// Transaction states of a session, as ReadyForQuery reports them.
const (
	StateIdle              byte = 'I'
	StateTransaction       byte = 'T'
	StateFailedTransaction byte = 'E'
)

// Sizes of the parts of messages, in bytes.
const (
	typeBytes   = 1
	lengthBytes = 4
	headBytes   = typeBytes + lengthBytes
)

// Types of columns.
const (
	oidBytea = 17
	oidText  = 25
)
