package journal

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/decide"
	"beechgrade/internal/encoding"
)

// Attempt is an attempt of a request that may have run at a server. It is stored as a protobuf message, where no is Number and end is Outcome:
//
//	message Attempt { string id = 1; string server = 2; double at_ms = 3; uint64 no = 4; uint64 end = 5; }
type Attempt struct {
	ID        string  // the client's id of the request
	Server    string  // id in the endpoint list
	StartedAt float64 // when the attempt was to be sent, Unix ms
	Number    int     // of the attempt within its request
	Outcome   uint64  // decide.Result plus 1; 0 if unknown
}

const (
	fieldID        protowire.Number = 1
	fieldServer    protowire.Number = 2
	fieldStartedAt protowire.Number = 3
	fieldNumber    protowire.Number = 4
	fieldOutcome   protowire.Number = 5
)

// OutcomeText describes how the attempt ended.
func (a *Attempt) OutcomeText() string {
	switch decide.Result(a.Outcome - 1) {
	case decide.Failed:
		return "an error"
	case decide.TimedOut:
		return "no answer in time"
	case decide.Reset:
		return "its connection broke"
	case decide.Cancelled:
		return "called off"
	}
	return "the pooler ended"
}

func (a *Attempt) encode() []byte {
	b := encoding.AppendBytesField(nil, fieldID, a.ID)
	b = encoding.AppendBytesField(b, fieldServer, a.Server)
	b = encoding.AppendFixedField(b, fieldStartedAt, math.Float64bits(a.StartedAt))
	b = encoding.AppendUintField(b, fieldNumber, uint64(a.Number))
	return encoding.AppendUintField(b, fieldOutcome, a.Outcome)
}

func malformed(reason error) error { return fmt.Errorf("journal: %w", reason) }

func decode(b []byte) (Attempt, error) {
	var attempt Attempt
	err := encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch field.Number {
		case fieldID:
			attempt.ID = string(field.Bytes)
		case fieldServer:
			attempt.Server = string(field.Bytes)
		case fieldStartedAt:
			attempt.StartedAt = math.Float64frombits(field.Value)
		case fieldNumber:
			attempt.Number = int(field.Value)
		case fieldOutcome:
			attempt.Outcome = field.Value
		}
		return nil
	})
	return attempt, err
}
