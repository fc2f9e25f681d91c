package lease

import (
	"testing"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/invariant"
)

func settings(t *testing.T) Settings {
	s := Defaults()
	s.PrepaidTenants = []string{"t"}
	s.Classes = []Class{
		{Price: Price{PerRequest: 10}, PriorityWeight: 5},
		{Price: Price{PerRequest: 10, PerRow: 2, Max: 50}, PriorityWeight: 1},
		{Price: Price{PerRequest: 10}, PriorityWeight: 1, Overdraft: 40},
	}
	s.Checks = invariant.Test(t)
	return s
}

// granting is the leader's response to a request: so much is granted in all, of so much that is available now and after the last payment.
func granting(request *message.Request, granted, available, atPayment int64) ResponsesReceived {
	return ResponsesReceived{[]message.Response{{
		Key: request.Key, Sequence: request.Sequence, Granted: granted, Available: available, AvailableAtPayment: atPayment,
	}}}
}

// requestAndGrant lets a manager request funds, and grants so much of its own funds.
func requestAndGrant(t *testing.T, manager *Manager, at float64, granted, left, full int64) (seq uint32, gen uint32) {
	t.Helper()
	for _, a := range manager.Handle(at, Tick{}, nil) {
		for _, x := range a.Requests {
			if !x.Final && x.Key.Overdraft == 0 {
				manager.Handle(at, granting(&x, granted, left, full), nil)
				return x.Sequence, x.Key.Generation
			}
		}
	}
	t.Fatal("it asked for nothing")
	return 0, 0
}

// TestOnlyTheFirstRequestWaitsForTheLeader checks that a tenant's first request waits for one response, and the next for none.
func TestOnlyTheFirstRequestWaitsForTheLeader(t *testing.T) {
	manager := New(settings(t), 7, 0)
	if _, v := manager.Reserve(1000, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 11}); v != Queued {
		t.Fatal(v)
	}
	actions := manager.Handle(1000, Tick{}, nil)
	if len(actions) != 1 || actions[0].Requests[0].Queued != 10 {
		t.Fatalf("%+v", actions)
	}
	k := actions[0].Requests[0]
	actions = manager.Handle(1005, granting(&k, 100, 1000, 1000), nil)
	if len(actions) == 0 || actions[0].Kind != Admit || actions[0].Tag != 11 || actions[0].Reservation.Amount != 10 {
		t.Fatalf("%+v", actions)
	}
	if _, v := manager.Reserve(1006, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 12}); v != Admitted {
		t.Error(v)
	}
	if _, v := manager.Reserve(1006, AdmissionRequest{Tenant: "other", Session: 1, Parts: 1, Tag: 13}); v != Admitted {
		t.Error("one who does not pay ahead was stopped")
	}
}

// TestSuspendedProcessSpendsNothingExpired suspends a process past its account's expiry: it spends nothing of it, whatever event comes first.
func TestSuspendedProcessSpendsNothingExpired(t *testing.T) {
	for _, late := range []float64{999, 10001} {
		manager := New(settings(t), 7, 0)
		manager.Reserve(1000, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 1})
		requestAndGrant(t, manager, 1000, 100, 1000, 1000)
		_, v := manager.Reserve(1000+late, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 2})
		if want := map[bool]Decision{true: Admitted, false: Queued}[late < 10000]; v != want {
			t.Errorf("after %g ms: %v, want %v", late, v, want)
		}
	}
}

// TestChargeIsByThePriceAtAdmission checks that a price is reserved at admission, that the charge is by that price and never more, and that a
// second Settle charges nothing.
func TestChargeIsByThePriceAtAdmission(t *testing.T) {
	set := settings(t)
	manager := New(set, 7, 0)
	manager.Reserve(1000, AdmissionRequest{Tenant: "t", Class: 1, Session: 1, Parts: 1, Tag: 1})
	requestAndGrant(t, manager, 1000, 200, 1000, 1000)
	h, v := manager.Reserve(1001, AdmissionRequest{Tenant: "t", Class: 1, Session: 1, Parts: 1, Tag: 2})
	if v != Admitted || h.Amount != 50 {
		t.Fatal(h, v)
	}
	dear := set
	dear.Classes = []Class{{Price: Price{PerRequest: 1000}}, {Price: Price{PerRequest: 1000}}, {}}
	manager.Handle(1002, SettingsChanged{dear}, nil)
	for _, c := range []struct {
		d    Usage
		want int64
	}{{Usage{Served: 1, Rows: 3}, 16}, {Usage{Served: 1, Rows: 1000}, 50}, {Usage{}, 0}, {Usage{Failed: 1}, 0}} {
		if got := h.Charge(c.d); got != c.want {
			t.Errorf("%+v costs %d, want %d", c.d, got, c.want)
		}
	}
	if got := manager.Settle(&h, Usage{Served: 1, Rows: 3}); got != 16 {
		t.Error(got)
	}
	if got := manager.Settle(&h, Usage{Served: 1, Rows: 3}); got != 0 {
		t.Error("a repeat was charged", got)
	}
	scattered := Reservation{Amount: 40, Price: Price{PerRequest: 10, ChargeFailed: true}}
	if got := scattered.Charge(Usage{Served: 2, Failed: 1}); got != 30 {
		t.Error("a scatter of two served parts and a failed one costs", got)
	}
}

// TestThrottlingSparesThePriorityClasses checks that of a tenant whose funds run low the class with the highest priority weight goes on and
// the lowest is throttled, and that an overdraft class is not.
func TestThrottlingSparesThePriorityClasses(t *testing.T) {
	set := settings(t)
	set.ThrottleBelow, set.Classes[1] = 0.5, Class{Price: Price{PerRequest: 10}, PriorityWeight: 1}
	manager := New(set, 7, 0)
	manager.Reserve(1000, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 1})
	requestAndGrant(t, manager, 1000, 100000, 250, 1000) // half of what is slowed below
	n := map[int]int{}
	for i := range 2000 {
		now := 1001 + float64(i)
		for class := range 2 {
			h, v := manager.Reserve(now, AdmissionRequest{Tenant: "t", Class: class, Session: SessionNumber(string(rune(i % 100))), Parts: 1, Tag: 9})
			if v == Admitted {
				n[class]++
				manager.Settle(&h, Usage{})
			}
		}
	}
	if n[0] < 1980 || n[1] > 100 {
		t.Errorf("of the most worth %d were let in, of the least %d; want nearly 2000 and few", n[0], n[1])
	}
	if _, v := manager.Reserve(3001, AdmissionRequest{Tenant: "t", Class: 2, Session: 1, Parts: 1, Tag: 1}); v != Admitted {
		t.Error("work that must not stop was slowed:", v)
	}
}

// TestOverdraftIsForItsClassOnly checks that only the class with an overdraft goes on beyond the tenant's funds.
func TestOverdraftIsForItsClassOnly(t *testing.T) {
	manager := New(settings(t), 7, 0)
	manager.Reserve(1000, AdmissionRequest{Tenant: "t", Class: 2, Session: 1, Parts: 1, Tag: 1})
	for _, a := range manager.Handle(1000, Tick{}, nil) {
		for _, x := range a.Requests {
			if x.Key.Overdraft == 40 {
				manager.Handle(1001, granting(&x, 30, 0, 100), nil)
			}
		}
	}
	if _, v := manager.Reserve(1002, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 2}); v == Admitted {
		t.Error("another class spent of the overdraft")
	}
	if _, v := manager.Reserve(1002, AdmissionRequest{Tenant: "t", Class: 2, Session: 1, Parts: 1, Tag: 3}); v != Admitted {
		t.Error(v)
	}
}

// TestNothingIsSpentBeyondADurableMark checks that nothing is spent before its mark is durable, and that the marks of another process are read
// only after its accounts have expired.
func TestNothingIsSpentBeyondADurableMark(t *testing.T) {
	set := settings(t)
	set.PersistMarks = true
	manager := New(set, 7, 0)
	manager.Reserve(1000, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 1})
	actions := manager.Handle(1000, Tick{}, nil)
	k := actions[0].Requests[0]
	actions = manager.Handle(1001, granting(&k, 100, 1000, 1000), nil)
	if len(actions) == 0 || actions[0].Kind != PersistMarks {
		t.Fatalf("%+v", actions)
	}
	if actions = manager.Handle(1002, MarksPersisted{actions[0].Write}, nil); len(actions) == 0 || actions[0].Kind != Admit {
		t.Fatalf("after the mark: %+v", actions)
	}
	heir := New(set, 8, 0)
	heir.Handle(0, Recover{[]ledger.Holder{7}}, nil)
	actions = heir.Handle(50, Tick{}, nil)
	bar := actions[0].Requests[0]
	if !bar.Recovered || bar.MarksRead || bar.Key.Holder != 7 {
		t.Fatalf("%+v", bar)
	}
	if actions = heir.Handle(60, ResponsesReceived{[]message.Response{{Key: bar.Key}}}, nil); len(actions) != 0 {
		t.Fatalf("read before the ends: %+v", actions)
	}
	if actions = heir.Handle(70, ResponsesReceived{[]message.Response{{Key: bar.Key, Expired: true}}}, nil); len(actions) != 1 || actions[0].Kind != ReadMarks {
		t.Fatalf("%+v", actions)
	}
}

// TestBrokenInvariantsAreReported breaks the state for each invariant of a manager.
func TestBrokenInvariantsAreReported(t *testing.T) {
	seen := map[string]bool{}
	set := settings(t)
	set.PersistMarks, set.Checks = true, invariant.New(func(b invariant.Breach) { seen[b.Name] = true })
	manager := New(set, 7, 0)
	manager.tenantFor("t").lease(0).current = account{generation: 1, granted: 10, reserved: 20, expiresAt: 1e6}
	manager.Handle(1, ResponsesReceived{}, nil)
	for _, name := range []string{"credit: no more is held and spent than was granted", "credit: no more is spent than is marked"} {
		if !seen[name] {
			t.Errorf("%q was not found broken", name)
		}
	}
}

// BenchmarkReserve measures what credit costs a request.
func BenchmarkReserve(b *testing.B) {
	s := Defaults()
	s.PrepaidTenants, s.Classes = []string{"t"}, []Class{{Price: Price{PerRequest: 1}, PriorityWeight: 1}}
	manager := New(s, 7, 0)
	manager.tenantFor("t").lease(0).current = account{generation: 1, granted: 1 << 50, expiresAt: 1e6}
	b.ReportAllocs()
	for b.Loop() {
		h, v := manager.Reserve(1002, AdmissionRequest{Tenant: "t", Session: 1, Parts: 1, Tag: 2})
		if v != Admitted {
			b.Fatal(v)
		}
		manager.Settle(&h, Usage{Served: 1})
	}
}
