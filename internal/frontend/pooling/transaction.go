package pooling

import (
	"math"
	"strconv"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/sqltext"
)

// transaction is a transaction that was submitted to the core as a request and has no complete first answer yet. It implements
// platform.Client and backend.Query.
type transaction struct {
	client        *client
	ref           slotmap.Ref
	open          bool     // the core has not ended the request
	attempt       *attempt // the current one, nil for none
	submittedAt   float64
	effects       []sqltext.Statement // statements of the first message
	sql           string              // text of the first message, if that is a simple query
	replay        []byte              // the client's messages so far, kept to be sent to another server if this one does not run them
	answered      bool                // a part of the answer was sent to the client, so that the transaction cannot be sent again
	noConnection  bool                // the pool had no connection for the transaction
	hasConnection bool
	sends         int  // how many times replay was sent
	restartBytes  int  // length of the part of replay that begins a restarted transaction again; 0 for a new transaction
	restarting    bool // the beginning was sent again; the client must not get its answer
	cancelled     bool // by the client, so that the transaction is not sent again
}

// queuedTransaction is a transaction that waits for admission.
type queuedTransaction struct {
	firstMessage []byte // as received
	effects      []sqltext.Statement
	sql          string
	queuedAt     float64
}

// AppendQuery implements backend.Query. It appends nothing, because the frontend itself sends the messages of a transaction.
func (t *transaction) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served implements platform.Client. The answer was forwarded as it arrived.
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

// reject answers the transaction with an error, without having run it. The detail of the error is retryMs, rounded up, unless that is 0.
func (t *transaction) reject(code, text string, retryMs float64) {
	t.open = false
	t.client.endTransaction(t, code, text, retryDetail(retryMs))
}

// retryDetail returns the detail of an error after which the client may retry: the delay in milliseconds.
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
