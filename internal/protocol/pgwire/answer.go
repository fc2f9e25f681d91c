package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

const (
	maxValue  = 4 << 20 // of a value
	maxSmall  = 8 << 10 // of any message but a row
	maxBeside = 1 << 17 // of all messages of one answer together but the row
)

// MaxMessage bounds the messages of an Answer.
const MaxMessage = maxValue + 10

// place is how far an answer has come.
type place uint8

const (
	placeAuth     place = iota // a connection's welcome: AuthenticationOk is due
	placeWelcome               // ...then what precedes ReadyForQuery
	placeDescribe              // a statement's answer: RowDescription is due
	placeData                  // ...the row
	placeComplete              // ...CommandComplete
	placeReady                 // ReadyForQuery
	placeEnd
)

// AnswerReader reads what a server says up to ReadyForQuery and holds it to the one form that is good: one row of
// one column, complete, or an error. A server that sends anything else cannot be believed in the rest.
type AnswerReader struct {
	place  place
	began  bool
	beside int    // bytes that were no row
	Served bool   // a whole row came, with nothing against it
	Code   string // an error's
}

// ExpectWelcome is the Answer that is due on a connection that has sent its startup message.
func ExpectWelcome() AnswerReader { return AnswerReader{place: placeAuth} }

// ExpectAnswer is the Answer that is due to a statement.
func ExpectAnswer() AnswerReader { return AnswerReader{place: placeDescribe} }

// Done tells whether ReadyForQuery has come.
func (a *AnswerReader) Done() bool { return a.place == placeEnd }

// NothingReceived tells whether no message has come.
func (a *AnswerReader) NothingReceived() bool { return !a.began }

// Next takes the answer's next message from r. What cannot become good is an error as soon as its first
// bytes show it: the rest might never come.
func (a *AnswerReader) Next(r *Reader) (Message, bool, error) {
	if r.InPartialMessage() { // of a row that comes in parts
		m, ok, err := r.Next()
		if ok && !m.More {
			a.place = placeComplete
		}
		return m, ok, err
	}
	if err := a.head(r.buf[r.off:]); err != nil {
		return Message{}, false, err
	}
	if b := r.buf[r.off:]; len(b) >= 5 && len(b) < 11 && b[0] == 'D' && int64(binary.BigEndian.Uint32(b[1:])) > int64(len(b)) {
		return Message{}, false, nil // it may come in parts, and is checked as far as that goes before the first
	}
	m, ok, err := r.Next()
	if err != nil || !ok {
		return Message{}, false, err
	}
	if m.More {
		a.began = true
		return m, true, nil
	}
	if a.began = true; m.Type != 'D' {
		a.beside += len(m.Raw)
	}
	if a.beside > maxBeside {
		return Message{}, false, fmt.Errorf("%w: over %d bytes beside the row", ErrMalformed, maxBeside)
	}
	if err := a.take(m); err != nil {
		return Message{}, false, err
	}
	return m, true, nil
}

// due tells whether a message of this type may come now.
func (a *AnswerReader) due(typ byte) bool {
	switch typ {
	case 'N', 'S':
		return a.place != placeAuth && a.place != placeEnd
	case 'E':
		return a.place != placeReady && a.place != placeEnd
	case 'R':
		return a.place == placeAuth
	case 'K':
		return a.place == placeWelcome
	case 'T':
		return a.place == placeDescribe
	case 'D':
		return a.place == placeData
	case 'C':
		return a.place == placeComplete
	case 'Z':
		return a.place == placeWelcome && a.Code == "" || a.place == placeReady
	}
	return false
}

// head checks what there is of the next message.
func (a *AnswerReader) head(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if !a.due(b[0]) {
		return fmt.Errorf("%w: type %q is not due", ErrMalformed, b[0])
	}
	if len(b) < 5 {
		return nil
	}
	n, most := binary.BigEndian.Uint32(b[1:]), uint32(maxSmall)
	switch b[0] {
	case 'D':
		most = MaxMessage
	case 'R':
		most = 8
	case 'Z':
		most = 5
	}
	if n < 4 || n > most {
		return fmt.Errorf("%w: type %q with length %d", ErrMalformed, b[0], n)
	}
	if b[0] == 'D' && len(b) >= 11 {
		if size := int32(binary.BigEndian.Uint32(b[7:])); int64(max(size, 0))+10 != int64(n) || size < -1 || b[5] != 0 || b[6] != 1 {
			return fmt.Errorf("%w: a value of %d bytes in a row of %d", ErrMalformed, size, n)
		}
	}
	return nil
}

// take checks a whole message that is due.
func (a *AnswerReader) take(m Message) error {
	good := true
	switch m.Type {
	case 'R':
		good = len(m.Body) == 4 && binary.BigEndian.Uint32(m.Body) == 0
		a.place = placeWelcome
	case 'S':
		_, _, err := Parameter(m.Body)
		good = err == nil
	case 'K':
		good = len(m.Body) >= 8
	case 'N':
		good = fields(m.Body)
	case 'E':
		a.Code = ErrorCode(m.Body)
		if good = fields(m.Body) && len(a.Code) == 5; a.place != placeWelcome && a.place != placeAuth {
			a.place = placeReady
		}
	case 'T':
		good = oneColumn(m.Body)
		a.place = placeData
	case 'D':
		_, err := Column(m.Body)
		good = err == nil
		a.place = placeComplete
	case 'C':
		_, err := Text(m.Body)
		good = err == nil
		a.place = placeReady
	case 'Z':
		if good = string(m.Body) == "I"; good {
			a.Served = a.place == placeReady && a.Code == ""
			a.place = placeEnd
		}
	}
	if !good {
		return fmt.Errorf("%w: body of type %q", ErrMalformed, m.Type)
	}
	return nil
}

// oneColumn tells whether a RowDescription's body describes one column.
func oneColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := bytes.Cut(body[2:], []byte{0})
	return ok && len(rest) == 18
}

// fields tells whether the body of an error or a notice is made of whole fields.
func fields(body []byte) bool {
	for len(body) > 1 {
		_, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok || body[0] == 0 {
			return false
		}
		body = rest
	}
	return len(body) == 1 && body[0] == 0
}
