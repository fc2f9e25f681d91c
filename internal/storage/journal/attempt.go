package journal

import (
	"fmt"
	"math"

	"beechgrade/internal/decide"
	"beechgrade/internal/encoding"
)

// Attempt is one that may have run. It is kept as a protobuf message:
//
//	message Attempt { string id = 1; string server = 2; double at_ms = 3; uint64 no = 4; uint64 end = 5; }
type Attempt struct {
	ID        string  // by which its client knows the request
	Server    string  // as the list has it
	StartedAt float64 // when it was to go out, Unix ms
	Number    int     // of the request's attempts
	Outcome   uint64  // how it ended, decide.Result and 1; 0 where no end is known
}

// OutcomeText is how it ended, in words.
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
	b := encoding.AppendBytesField(nil, 1, a.ID)
	b = encoding.AppendBytesField(b, 2, a.Server)
	b = encoding.AppendFixedField(b, 3, math.Float64bits(a.StartedAt))
	b = encoding.AppendUintField(b, 4, uint64(a.Number))
	return encoding.AppendUintField(b, 5, a.Outcome)
}

func decode(b []byte) (a Attempt, err error) {
	err = encoding.Fields(b, func(why error) error { return fmt.Errorf("journal: %w", why) }, func(f encoding.Field) error {
		switch f.Number {
		case 1:
			a.ID = string(f.Bytes)
		case 2:
			a.Server = string(f.Bytes)
		case 3:
			a.StartedAt = math.Float64frombits(f.Value)
		case 4:
			a.Number = int(f.Value)
		case 5:
			a.Outcome = f.Value
		}
		return nil
	})
	return a, err
}
