package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Version is the version of the protocol, 3.0, as startup messages state it.
const Version = 196608

// Codes of requests that may open a connection; they stand in the place of the protocol version.
const (
	requestCancel        = 80877102
	requestSSL           = 80877103
	requestGSSEncryption = 80877104
)

const (
	startupHeadBytes = 8     // length and version
	cancelBytes      = 16    // of a cancel request
	maxStartupBytes  = 10000 // the bound of PostgreSQL itself
	maxParameters    = 500   // of a startup message
)

// protocolOptionPrefix is the prefix of startup parameters that are protocol options.
var protocolOptionPrefix = []byte("_pq_.")

// StartupKind is the kind of the message that opens a connection.
type StartupKind int

const (
	// StartupPlain is a startup message.
	StartupPlain StartupKind = iota
	// StartupEncrypt is a request for encryption; EncryptionRefused is the answer to it.
	StartupEncrypt
	// StartupCancel is a request to cancel a query. It gets no answer; the connection is closed.
	StartupCancel
)

// String returns the name of the kind for use in error messages.
func (kind StartupKind) String() string {
	return [...]string{"startup", "request for encryption", "cancel request"}[kind]
}

// StartupPacket is the content of a message that opens a connection.
type StartupPacket struct {
	Kind        StartupKind
	Minor       int // version of the protocol
	Params      map[string]string
	Unknown     []string // protocol options, none of which is supported
	PID, Secret uint32   // of a cancel request
}

// Startup returns the kind of the next message of a connection that has not started, and false if the message is not complete.
func (r *Reader) Startup() (StartupKind, bool, error) {
	b := r.buffer[r.offset:]
	if len(b) < startupHeadBytes {
		return 0, false, nil
	}
	n := binary.BigEndian.Uint32(b)
	code := binary.BigEndian.Uint32(b[lengthBytes:])
	if n < startupHeadBytes || n > maxStartupBytes {
		return 0, false, fmt.Errorf("%w: startup of %d bytes", ErrMalformed, n)
	}
	if len(b) < int(n) {
		return 0, false, nil
	}
	r.offset += int(n)
	switch {
	case code == requestSSL || code == requestGSSEncryption:
		return StartupEncrypt, true, nil
	case code == requestCancel:
		return StartupCancel, true, nil
	case code>>16 == Version>>16:
		return StartupPlain, true, nil
	}
	return 0, false, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
}

// StartupMessage returns the next message of a connection that has not started, with its content, and false if it is not complete.
func (r *Reader) StartupMessage() (StartupPacket, bool, error) {
	b := r.buffer[r.offset:]
	kind, ok, err := r.Startup()
	packet := StartupPacket{Kind: kind, Params: map[string]string{}}
	if err != nil || !ok {
		return packet, false, err
	}
	body := b[startupHeadBytes:binary.BigEndian.Uint32(b)]
	switch kind {
	case StartupCancel:
		if len(body) < cancelBytes-startupHeadBytes {
			return packet, false, fmt.Errorf("%w: cancel request", ErrMalformed)
		}
		packet.PID = binary.BigEndian.Uint32(body)
		packet.Secret = binary.BigEndian.Uint32(body[4:])
	case StartupPlain:
		packet.Minor = int(binary.BigEndian.Uint32(b[lengthBytes:]) & 0xffff)
		if err := packet.readParameters(body); err != nil {
			return packet, false, err
		}
	}
	return packet, true, nil
}

// readParameters reads the names and values of a startup message.
func (packet *StartupPacket) readParameters(body []byte) error {
	for len(body) > 1 {
		name, rest, nameOK := bytes.Cut(body, []byte{0})
		value, rest, valueOK := bytes.Cut(rest, []byte{0})
		if !nameOK || !valueOK || len(name) == 0 {
			return fmt.Errorf("%w: startup parameters", ErrMalformed)
		}
		if len(packet.Params) >= maxParameters {
			return fmt.Errorf("%w: startup parameters", ErrMalformed)
		}
		packet.Params[string(name)] = string(value)
		if bytes.HasPrefix(name, protocolOptionPrefix) {
			packet.Unknown = append(packet.Unknown, string(name))
		}
		body = rest
	}
	if len(body) != 1 || body[0] != 0 {
		return fmt.Errorf("%w: startup message without its end", ErrMalformed)
	}
	return nil
}
