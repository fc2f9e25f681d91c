package simulator

import (
	"strconv"
	"strings"

	"beechgrade/internal/decide"
)

// lineReplyEnd ends the answer to a batch.
const lineReplyEnd = "READY\n"

// Reply collects the answer to one batch. The zero Reply is empty and ready to use.
type Reply struct{ buffer []byte }

// Bytes ends the reply and returns it; it is valid until the next call of another method.
func (r *Reply) Bytes() []byte { return append(r.buffer, lineReplyEnd...) }

// Reset empties the reply, so that it can be used for the next batch.
func (r *Reply) Reset() { r.buffer = r.buffer[:0] }

// Fault reports that the decision module of an instance failed.
func (r *Reply) Fault(instance int, text string) { r.appendText(lineInstanceFault, instance, text) }

// Add encodes one action of an instance.
func (r *Reply) Add(instance int, action *decide.Action) {
	switch action.Kind {
	case decide.Send:
		r.beginLine(lineAttempt, instance)
		r.appendString(fieldRequest, string(action.ID))
		r.appendString(fieldServer, string(action.Server))
		r.appendNonZero("timeout_ns", int64(action.Wait))
	case decide.Cancel:
		r.beginLine(lineCancel, instance)
		r.appendString(fieldRequest, string(action.ID))
		r.appendInt(fieldAttempt, int64(action.Attempt))
	case decide.Reject:
		r.beginLine(lineReject, instance)
		r.appendString(fieldRequest, string(action.ID))
		r.appendNonZero("pause_ns", int64(action.Wait))
	case decide.Fail:
		r.beginLine(lineFail, instance)
		r.appendString(fieldRequest, string(action.ID))
	case decide.HealthCheck:
		r.beginLine(lineCheckHealth, instance)
		r.appendString(fieldServer, string(action.Server))
	case decide.SetTimer:
		r.beginLine(lineSetTimer, instance)
		r.appendInt("instant_ns", int64(action.At))
		r.appendInt(fieldTag, action.Tag)
	case decide.Subscribe:
		r.beginLine(lineSubscribe, instance)
		r.appendInt("enable", 1)
	case decide.FetchList:
		r.beginLine(lineFetchList, instance)
	case decide.Log:
		r.appendText(lineLog, instance, action.Text)
		return
	default:
		return
	}
	r.buffer = append(r.buffer, '\n')
}

func (r *Reply) beginLine(name string, instance int) {
	r.buffer = append(r.buffer, name...)
	r.appendInt(fieldInstance, int64(instance))
}

func (r *Reply) appendString(key, value string) {
	r.buffer = append(r.buffer, '\t')
	r.buffer = append(r.buffer, key...)
	r.buffer = append(r.buffer, '=')
	r.buffer = append(r.buffer, value...)
}

func (r *Reply) appendInt(key string, value int64) {
	r.appendString(key, "")
	r.buffer = strconv.AppendInt(r.buffer, value, 10)
}

// appendNonZero appends a field unless its value is 0, which the protocol omits.
func (r *Reply) appendNonZero(key string, value int64) {
	if value != 0 {
		r.appendInt(key, value)
	}
}

func (r *Reply) appendText(name string, instance int, text string) {
	r.beginLine(name, instance)
	r.appendString(fieldText, strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text))
	r.buffer = append(r.buffer, '\n')
}
