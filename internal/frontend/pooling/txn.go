package pooling

import (
	"math"
	"strconv"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/sqltext"
)

// transaction is a transaction on its way to a server; it is core's request. It is platform.Client's and backend.Query's.
type transaction struct {
	client        *client
	ref           slotmap.Ref
	open          bool // with core
	attempt       *attempt
	submittedAt   float64
	effects       []sqltext.Statement // what its first message does
	sql           string
	replay        []byte // the client's messages so far, for another server where the first did not run them
	answered      bool   // the client has had something of its answer: nothing is asked again
	noConnection  bool   // the pool gave it no connection
	hasConnection bool   // it has a connection
	sends         int    // how often what is held was sent
	restartBytes  int    // bytes of held with which it began before, 0 for a new one
	cancelled     bool   // its client wants it no more: it is not sent again
	restarting    bool   // it begins again: the client has heard that before
}

// queuedTransaction is a transaction that waits to be let in.
type queuedTransaction struct {
	raw   []byte
	does  []sqltext.Statement
	sql   string
	since float64
}

// AppendQuery is backend.Query's; a transaction is sent by its own front.
func (t *transaction) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served is platform.Client's. The answer has gone out by itself.
func (t *transaction) Served([]byte) { t.open = false }

// Disconnected is platform.Departing's.
func (t *transaction) Disconnected() bool { return t.client.closed || t.client.conn.PeerClosed() }

// Rejected is platform.Client's.
func (t *transaction) Rejected(retryMs float64) {
	t.open = false
	text := "no server can take this now"
	if t.noConnection {
		text = "no connection came free in time"
	}
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	t.client.endTransaction(t, "53300", text, detail)
}

// CodeUnfunded is the SQLSTATE of what is refused as its tenant's prepaid funds are spent, or run low.
const CodeUnfunded = "PP001"

// RejectedUnfunded is platform.PrepaidClient's.
func (t *transaction) RejectedUnfunded(slowed bool, retryMs float64) {
	t.open = false
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	t.client.endTransaction(t, CodeUnfunded, platform.NoCreditMessage(slowed), detail)
}

// Failed is platform.Client's.
func (t *transaction) Failed() {
	t.open = false
	if t.noConnection {
		t.client.endTransaction(t, "53300", "no connection came free in time", "")
		return
	}
	t.client.endTransaction(t, "08007", "the transaction's outcome is unknown: its server gave no answer in time or broke off", "")
}
