package lessor

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/invariant"
)

// leader is a lessor that leads, with a ledger in which tenant t has paid, and with a log that applies proposed entries immediately.
type leader struct {
	t         *testing.T
	lessor    *Lessor
	now       float64
	index     uint64
	responses map[ledger.Holder][]message.Response
}

func newLeader(t *testing.T, paid int64) *leader {
	t.Helper()
	funds := ledger.New()
	funds.Checks = invariant.Test(t)
	l := &leader{t: t, lessor: New(Defaults(), funds, 0), responses: map[ledger.Holder][]message.Response{}}
	l.lessor.SetLeader(0, true)
	l.advance(1000)
	l.execute(l.lessor.AddPayments(l.now, []Payment{{Tenant: "t", Number: 1, Amount: paid}}, nil))
	l.advance(1000)
	return l
}

func (l *leader) execute(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case Propose:
			l.index++
			l.execute(l.lessor.Apply(l.now, l.index, action.Entry, nil))
		case Respond:
			l.responses[action.To] = append(l.responses[action.To], action.Responses...)
		}
	}
}

func (l *leader) advance(ms float64) {
	l.now += ms
	l.execute(l.lessor.Tick(l.now, nil))
}

// request sends a request of its holder, and returns the responses that the holder receives until the next batch.
func (l *leader) request(request message.Request) []message.Response {
	l.t.Helper()
	holder := request.Key.Holder
	l.responses[holder] = nil
	l.execute(l.lessor.HandleRequests(l.now, holder, []message.Request{request}, nil))
	l.advance(l.lessor.settings.BatchInterval)
	return l.responses[holder]
}

func (l *leader) granted(key ledger.Key) int64 {
	account, _ := l.lessor.Ledger().Account(key)
	return account.Granted
}

func keyOf(holder ledger.Holder) ledger.Key {
	return ledger.Key{Tenant: "t", Holder: holder, Generation: 1}
}

// TestGrantIsQueuedAmountOrShare checks how much the first request about an account is granted.
func TestGrantIsQueuedAmountOrShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		paid    int64
		request message.Request
		granted int64
	}{
		{"the requested amount, if it is less than the share", 1000, message.Request{Requested: 100, SpendRate: 50}, 100},
		{"a share of what is available", 1000, message.Request{Requested: 900, SpendRate: 50}, 250},
		{"the queued amount, even if it exceeds the share", 1000, message.Request{Requested: 900, Queued: 600, SpendRate: 50}, 600},
		{"at most the balance", 1000, message.Request{Requested: 5000, Queued: 5000}, 1000},
		{"the last of the funds as a whole", 3, message.Request{Requested: 3}, 3},
		{"nothing if nothing is requested", 1000, message.Request{SpendRate: 50}, 0},
	} {
		l := newLeader(t, c.paid)
		c.request.Key, c.request.Sequence = keyOf(7), 1
		responses := l.request(c.request)
		if got := l.granted(c.request.Key); got != c.granted {
			t.Errorf("%s: granted %d, want %d", c.name, got, c.granted)
		}
		if len(responses) != 1 || responses[0].Granted != c.granted || responses[0].Closed {
			t.Errorf("%s: got responses %+v, want one that grants %d and is not closed", c.name, responses, c.granted)
		}
	}
}

// TestSharesAreBySpendRate checks that two poolers with requests in the same batch get shares in proportion to their spend rates.
func TestSharesAreBySpendRate(t *testing.T) {
	l := newLeader(t, 1000)
	var requests []message.Request
	for holder, rate := range map[ledger.Holder]int64{7: 300, 8: 100} {
		requests = append(requests, message.Request{Key: keyOf(holder), Sequence: 1, Requested: 900, SpendRate: rate})
	}
	for _, request := range requests {
		l.lessor.addRequest(pendingRequest{Request: request, from: request.Key.Holder, receivedAt: l.now})
	}
	l.advance(l.lessor.settings.BatchInterval)
	if a, b := l.granted(keyOf(7)), l.granted(keyOf(8)); a != 187 || b != 62 { // shares of 250, which is 1/ShareDivisor of the funds
		t.Errorf("holders 7 and 8 are granted %d and %d, want 187 and 62", a, b)
	}
}

// TestRepeatedRequestIsAnsweredAndGrantsNothing checks that a request that is received twice is granted once and answered twice.
func TestRepeatedRequestIsAnsweredAndGrantsNothing(t *testing.T) {
	l := newLeader(t, 1000)
	request := message.Request{Key: keyOf(7), Sequence: 1, Requested: 100}
	l.request(request)
	responses := l.request(request)
	if got := l.granted(request.Key); got != 100 {
		t.Errorf("granted %d by a request that was received twice, want 100", got)
	}
	if len(responses) != 1 || responses[0].Sequence != 1 || responses[0].Granted != 100 {
		t.Errorf("repeated request: got responses %+v, want one with sequence number 1 and 100 granted", responses)
	}
}

// TestQueuedRequestRecallsFundsFromOthers checks that the pooler that holds most is asked to return half of its funds when there are none
// for the queued requests of another pooler.
func TestQueuedRequestRecallsFundsFromOthers(t *testing.T) {
	l := newLeader(t, 100)
	l.request(message.Request{Key: keyOf(7), Sequence: 1, Requested: 100, Queued: 100})
	l.responses[7] = nil
	if responses := l.request(message.Request{Key: keyOf(8), Sequence: 1, Requested: 10, Queued: 10}); len(responses) != 0 {
		t.Errorf("request before funds were returned: got responses %+v, want none", responses)
	}
	want := []message.Response{{Key: keyOf(7), Sequence: 1, Granted: 100, Available: 100, AvailableAtPayment: 100, Recall: true, Retain: 50}}
	if diff := cmp.Diff(want, l.responses[7]); diff != "" {
		t.Errorf("responses to holder 7, which has all funds (-want +got):\n%s", diff)
	}
	l.request(message.Request{Key: keyOf(7), Sequence: 2, Returned: 50})
	l.request(message.Request{Key: keyOf(8), Sequence: 2, Requested: 10, Queued: 10}) // the pooler repeats its request
	if got := l.granted(keyOf(8)); got != 10 {
		t.Errorf("holder 8 is granted %d after funds were returned, want 10", got)
	}
}

// TestAccountExpiresAfterExpiryDelay checks that an account expires ExpiryDelay after its last report, and that its funds are stranded for
// StrandedRetention and then count as spent.
func TestAccountExpiresAfterExpiryDelay(t *testing.T) {
	l := newLeader(t, 100)
	l.request(message.Request{Key: keyOf(7), Sequence: 1, Requested: 40, Queued: 40})
	l.advance(l.lessor.settings.ExpiryDelay - l.lessor.settings.BatchInterval - 1)
	if account, _ := l.lessor.Ledger().Account(keyOf(7)); account.Expired {
		t.Error("the account expired before ExpiryDelay")
	}
	l.advance(100)
	if tenant := l.lessor.Ledger().Tenant("t"); tenant.Stranded != 40 || tenant.Balance != 60 {
		t.Errorf("after ExpiryDelay: tenant %+v, want stranded 40, balance 60", tenant)
	}
	l.advance(l.lessor.settings.StrandedRetention)
	l.advance(100)
	if tenant := l.lessor.Ledger().Tenant("t"); tenant.Stranded != 0 || tenant.Spent != 40 {
		t.Errorf("after StrandedRetention: tenant %+v, want stranded 0, spent 40", tenant)
	}
}

// TestFollowerIgnoresRequests checks that a voter that does not lead neither answers requests nor proposes entries.
func TestFollowerIgnoresRequests(t *testing.T) {
	l := newLeader(t, 1000)
	l.lessor.SetLeader(l.now, false)
	requests := []message.Request{{Key: keyOf(7), Sequence: 1, Requested: 100, Queued: 100}}
	if actions := l.lessor.HandleRequests(l.now, 7, requests, nil); len(actions) != 0 {
		t.Errorf("request at a follower: got actions %+v, want none", actions)
	}
	if actions := l.lessor.Tick(l.now+1e6, nil); len(actions) != 0 {
		t.Errorf("tick of a follower: got actions %+v, want none", actions)
	}
}

// TestPoolerReportsOnOwnOrRecoveredAccounts checks that a request about another process's account is accepted only if it is recovered from
// that process's files.
func TestPoolerReportsOnOwnOrRecoveredAccounts(t *testing.T) {
	for recovered, want := range map[bool]bool{false: false, true: true} {
		l := newLeader(t, 1000)
		request := message.Request{Key: keyOf(7), Spent: 5, Final: true, Recovered: recovered}
		if got := l.lessor.accepts(8, &request); got != want {
			t.Errorf("request of holder 8 about an account of holder 7, recovered %v: accepted %v, want %v", recovered, got, want)
		}
	}
}
