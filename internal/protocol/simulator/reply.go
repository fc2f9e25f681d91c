package simulator

import (
	"strconv"
	"strings"

	"beechgrade/internal/decide"
)

// Reply gathers the answer to one batch.
type Reply struct{ buf []byte }

// Bytes ends the reply and returns it; Reset makes it ready for the next.
func (r *Reply) Bytes() []byte { return append(r.buf, "READY\n"...) }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = r.buf[:0] }

// Fault reports that an instance's decision code failed.
func (r *Reply) Fault(front int, text string) { r.text("BAIL_OUT", front, text) }

// Add encodes one action of an instance.
func (r *Reply) Add(front int, a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		r.begin("PASS_ON", front)
		r.str("request_id", string(a.ID))
		r.str("store", string(a.Server))
		r.num("timeout_ns", int64(a.Wait))
	case decide.Cancel:
		r.begin("REVOKE", front)
		r.str("request_id", string(a.ID))
		r.int("try", int64(a.Attempt))
	case decide.Reject:
		r.begin("NOT_NOW", front)
		r.str("request_id", string(a.ID))
		r.num("pause_ns", int64(a.Wait))
	case decide.Fail:
		r.begin("ERROR", front)
		r.str("request_id", string(a.ID))
	case decide.HealthCheck:
		r.begin("PROBE", front)
		r.str("store", string(a.Server))
	case decide.SetTimer:
		r.begin("WAKE_AT", front)
		r.int("instant_ns", int64(a.At))
		r.int("tag", a.Tag)
	case decide.Subscribe:
		r.begin("WATCH", front)
		r.int("enable", 1)
	case decide.FetchList:
		r.begin("LIST_ALL", front)
	case decide.Log:
		r.text("TRACE", front, a.Text)
		return
	default:
		return
	}
	r.buf = append(r.buf, '\n')
}

func (r *Reply) begin(name string, front int) {
	r.buf = append(r.buf, name...)
	r.int("front", int64(front))
}

func (r *Reply) str(key, val string) {
	r.buf = append(r.buf, '\t')
	r.buf = append(r.buf, key...)
	r.buf = append(r.buf, '=')
	r.buf = append(r.buf, val...)
}

func (r *Reply) int(key string, val int64) {
	r.str(key, "")
	r.buf = strconv.AppendInt(r.buf, val, 10)
}

// num leaves a zero out, as the wire does.
func (r *Reply) num(key string, val int64) {
	if val != 0 {
		r.int(key, val)
	}
}

func (r *Reply) text(name string, front int, text string) {
	r.begin(name, front)
	r.str("msg", strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text))
	r.buf = append(r.buf, '\n')
}
