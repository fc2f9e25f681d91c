package pooling

import "beechgrade/internal/metrics/exposition"

// resendReason is why messages of a client may be sent to a server again.
type resendReason uint8

const (
	resendRejected    resendReason = iota // the server's error shows that the statement did not run
	resendLost                            // the connection was lost before the server had a message that runs a statement
	resendReasonCount                     // number of reasons
)

// String returns the reason as metrics and logs name it.
func (reason resendReason) String() string {
	return [...]string{"rejected", "lost"}[reason]
}

// logResend counts and logs that a client's messages may be sent again after an attempt at a server.
func (f *Frontend) logResend(c *client, server string, reason resendReason, code string, messages []byte) {
	f.Counts.Resent[reason]++
	f.log.Debug("pooling: messages may be sent again", "client", c.pid, "server", server, "reason", reason.String(), "code", code,
		"bytes", len(messages), "ready_expected", countReadyAnswers(messages))
}

// WriteMetrics writes the counts of the frontend.
func (f *Frontend) WriteMetrics(snapshot *exposition.Snapshot) {
	scope := snapshot.Scope("pooling")
	scope.Counter("transactions", f.Counts.Transactions)
	scope.Counter("executed", f.Counts.Executed)
	scope.Counter("restarts", f.Counts.Restarts)
	scope.IntGauge("client_bytes_pending", int64(f.PendingInput()))
	scope.IntGauge("server_bytes_unsent", int64(f.UnsentToServers()))
	for reason, count := range f.Counts.Resent {
		scope.Label("reason", resendReason(reason).String()).Counter("resent", count)
	}
}
