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
	ID     string  // by which its client knows the request
	Server string  // as the list has it
	At     float64 // when it was to go out, Unix ms
	No     int     // of the request's attempts
	End    uint64  // how it ended, decide.Result and 1; 0 where no end is known
}

// How is how it ended, in words.
func (a *Attempt) How() string {
	switch decide.Result(a.End - 1) {
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
	b := encoding.PutText(nil, 1, a.ID)
	b = encoding.PutText(b, 2, a.Server)
	b = encoding.PutFixed(b, 3, math.Float64bits(a.At))
	b = encoding.PutUint(b, 4, uint64(a.No))
	return encoding.PutUint(b, 5, a.End)
}

func decode(b []byte) (a Attempt, err error) {
	err = encoding.Fields(b, func(why error) error { return fmt.Errorf("journal: %w", why) }, func(f encoding.Field) error {
		switch f.Num {
		case 1:
			a.ID = string(f.Text)
		case 2:
			a.Server = string(f.Text)
		case 3:
			a.At = math.Float64frombits(f.X)
		case 4:
			a.No = int(f.X)
		case 5:
			a.End = f.X
		}
		return nil
	})
	return a, err
}
