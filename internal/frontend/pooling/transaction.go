package pooling

import (
	"math"
	"strconv"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/sqltext"
)

// transaction is a request of the core: a transaction that has no complete first answer yet. It implements platform.Client and
// backend.Query.
type transaction struct {
	client        *client
	ref           slotmap.Ref
	open          bool     // at the core
	attempt       *attempt // the present one, nil for none
	submittedAt   float64
	effects       []sqltext.Statement // what its first message does
	sql           string              // of its first message, if that is a simple query
	replay        []byte              // the client's messages so far, for another server if this one does not run them
	answered      bool                // a part of its answer was sent, so that it cannot be sent again
	noConnection  bool                // the pool gave it no connection
	hasConnection bool
	sends         int  // how often replay was sent
	restartBytes  int  // the part of replay that began it before, 0 for a new transaction
	restarting    bool // its beginning was sent again, and the answer must not reach the client
	cancelled     bool // by its client: it is not sent again
}

// queuedTransaction is a transaction that waits for admission.
type queuedTransaction struct {
	raw     []byte // its first message
	effects []sqltext.Statement
	sql     string
	since   float64
}

// AppendQuery implements backend.Query. The frontend itself sends a transaction.
func (t *transaction) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served implements platform.Client. The answer was sent while it arrived.
func (t *transaction) Served([]byte) { t.open = false }

// Disconnected implements platform.Disconnectable.
func (t *transaction) Disconnected() bool { return t.client.closed || t.client.conn.PeerClosed() }

// Rejected implements platform.Client.
func (t *transaction) Rejected(retryMs float64) {
	text := "no server can take this now"
	if t.noConnection {
		text = textNoConnection
	}
	t.reject(codeTooManyClients, text, retryMs)
}

// RejectedUnfunded implements platform.PrepaidClient.
func (t *transaction) RejectedUnfunded(slowed bool, retryMs float64) {
	t.reject(CodeUnfunded, platform.NoCreditMessage(slowed), retryMs)
}

// reject answers that the transaction did not run. The error's detail holds retryMs, rounded up, unless that is 0.
func (t *transaction) reject(code, text string, retryMs float64) {
	t.open = false
	t.client.endTransaction(t, code, text, retryDetail(retryMs))
}

// retryDetail returns the detail of an error after which the client may retry.
func retryDetail(retryMs float64) string {
	if retryMs <= 0 {
		return ""
	}
	return strconv.Itoa(int(math.Ceil(retryMs)))
}

// Failed implements platform.Client.
func (t *transaction) Failed() {
	t.open = false
	if t.noConnection {
		t.client.endTransaction(t, codeTooManyClients, textNoConnection, "")
		return
	}
	t.client.endTransaction(t, codeOutcomeUnknown, "the transaction's outcome is unknown: its server gave no answer in time or broke off", "")
}
