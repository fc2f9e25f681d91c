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

// CopyData is the type of messages with the data of a COPY, from clients and servers.
const CopyData byte = 'd'

// EncryptionRefused is the one byte that refuses a request for encryption.
const EncryptionRefused byte = 'N'

// States of a session, as ReadyForQuery reports them.
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
