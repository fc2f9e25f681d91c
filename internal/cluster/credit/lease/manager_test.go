package lease

import (
	"testing"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/invariant"
)

// The classes of testSettings.
const (
	classHigh      = 0 // the highest priority weight for its price
	classLow       = 1
	classOverdraft = 2
)

const testOverdraft = 40

func testSettings(t *testing.T) Settings {
	t.Helper()
	settings := Defaults()
	settings.PrepaidTenants = []string{"t"}
	settings.Classes = []Class{
		classHigh:      {Price: Price{PerRequest: 10}, PriorityWeight: 5},
		classLow:       {Price: Price{PerRequest: 10, PerRow: 2, Max: 50}, PriorityWeight: 1},
		classOverdraft: {Price: Price{PerRequest: 10}, PriorityWeight: 1, Overdraft: testOverdraft},
	}
	settings.Checks = invariant.Test(t)
	return settings
}

// reserve asks for admission of the tenant's request.
func reserve(manager *Manager, now float64, class int, tag uint64) (Reservation, Decision) {
	return manager.Reserve(now, AdmissionRequest{Tenant: "t", Class: class, Session: 1, Parts: 1, Tag: tag})
}

// granting is the leader's response to a request: so much is granted in all, of so much that is available now and after the last payment.
func granting(request *message.Request, granted, available, atPayment int64) ResponsesReceived {
	return ResponsesReceived{[]message.Response{{
		Key: request.Key, Sequence: request.Sequence, Granted: granted, Available: available, AvailableAtPayment: atPayment,
	}}}
}

// requestOf returns the first request at an overdraft that a manager sends at its next tick.
func requestOf(t *testing.T, manager *Manager, now float64, overdraft int64) *message.Request {
	t.Helper()
	for _, action := range manager.Handle(now, Tick{}, nil) {
		for i := range action.Requests {
			request := &action.Requests[i]
			if !request.Final && request.Key.Overdraft == overdraft {
				return request
			}
		}
	}
	t.Fatalf("nothing was requested at an overdraft of %d", overdraft)
	return nil
}

// requestAndGrant lets a manager request funds, and grants so much of the tenant's own.
func requestAndGrant(t *testing.T, manager *Manager, now float64, granted, available, atPayment int64) {
	t.Helper()
	request := requestOf(t, manager, now, 0)
	manager.Handle(now, granting(request, granted, available, atPayment), nil)
}

// TestOnlyTheFirstRequestWaitsForTheLeader checks that a tenant's first request waits for one response, and the next for none.
func TestOnlyTheFirstRequestWaitsForTheLeader(t *testing.T) {
	manager := New(testSettings(t), 7, 0)
	if _, decision := reserve(manager, 1000, classHigh, 11); decision != Queued {
		t.Fatal(decision)
	}
	actions := manager.Handle(1000, Tick{}, nil)
	if len(actions) != 1 || actions[0].Requests[0].Queued != 10 {
		t.Fatalf("%+v", actions)
	}
	actions = manager.Handle(1005, granting(&actions[0].Requests[0], 100, 1000, 1000), nil)
	if len(actions) == 0 {
		t.Fatal("nothing follows from the grant")
	}
	if first := actions[0]; first.Kind != Admit || first.Tag != 11 || first.Reservation.Amount != 10 {
		t.Fatalf("%+v", first)
	}
	if _, decision := reserve(manager, 1006, classHigh, 12); decision != Admitted {
		t.Error(decision)
	}
	if _, decision := manager.Reserve(1006, AdmissionRequest{Tenant: "other", Session: 1, Parts: 1, Tag: 13}); decision != Admitted {
		t.Errorf("a tenant that does not pay in advance: %v", decision)
	}
}

// TestSuspendedProcessSpendsNothingExpired suspends a process past its account's expiry: it spends nothing of it, whatever event comes first.
func TestSuspendedProcessSpendsNothingExpired(t *testing.T) {
	for suspendedMs, want := range map[float64]Decision{999: Admitted, 10001: Queued} {
		manager := New(testSettings(t), 7, 0)
		reserve(manager, 1000, classHigh, 1)
		requestAndGrant(t, manager, 1000, 100, 1000, 1000)
		if _, decision := reserve(manager, 1000+suspendedMs, classHigh, 2); decision != want {
			t.Errorf("after %g ms: %v, want %v", suspendedMs, decision, want)
		}
	}
}

// TestChargeIsByThePriceAtAdmission checks that a price is reserved at admission, that the charge is by that price and never more, and that a
// second Settle charges nothing.
func TestChargeIsByThePriceAtAdmission(t *testing.T) {
	settings := testSettings(t)
	manager := New(settings, 7, 0)
	reserve(manager, 1000, classLow, 1)
	requestAndGrant(t, manager, 1000, 200, 1000, 1000)
	reservation, decision := reserve(manager, 1001, classLow, 2)
	if decision != Admitted || reservation.Amount != 50 {
		t.Fatal(reservation, decision)
	}
	expensive := settings
	expensive.Classes = []Class{{Price: Price{PerRequest: 1000}}, {Price: Price{PerRequest: 1000}}, {}}
	manager.Handle(1002, SettingsChanged{expensive}, nil)
	for _, c := range []struct {
		usage Usage
		want  int64
	}{
		{Usage{Served: 1, Rows: 3}, 16},
		{Usage{Served: 1, Rows: 1000}, 50},
		{Usage{}, 0},
		{Usage{Failed: 1}, 0},
	} {
		if got := reservation.Charge(c.usage); got != c.want {
			t.Errorf("%+v is charged %d, want %d", c.usage, got, c.want)
		}
	}
	if got := manager.Settle(&reservation, Usage{Served: 1, Rows: 3}); got != 16 {
		t.Errorf("charged %d, want 16", got)
	}
	if got := manager.Settle(&reservation, Usage{Served: 1, Rows: 3}); got != 0 {
		t.Errorf("charged %d the second time", got)
	}
}

// TestScatteredRequestIsChargedByItsParts checks that served parts, and failed ones where the price says so, are charged.
func TestScatteredRequestIsChargedByItsParts(t *testing.T) {
	scattered := Reservation{Amount: 40, Price: Price{PerRequest: 10, ChargeFailed: true}}
	if got := scattered.Charge(Usage{Served: 2, Failed: 1}); got != 30 {
		t.Errorf("two served parts and a failed one are charged %d, want 30", got)
	}
}

// TestThrottlingSparesThePriorityClasses checks that of a tenant whose funds run low the class with the highest priority weight goes on and
// the lowest is throttled, and that an overdraft class is not.
func TestThrottlingSparesThePriorityClasses(t *testing.T) {
	settings := testSettings(t)
	settings.ThrottleBelow = 0.5
	settings.Classes[classLow] = Class{Price: Price{PerRequest: 10}, PriorityWeight: 1}
	manager := New(settings, 7, 0)
	reserve(manager, 1000, classHigh, 1)
	requestAndGrant(t, manager, 1000, 100000, 250, 1000) // half of the threshold is available
	admitted := map[int]int{}
	for i := range 2000 {
		now := 1001 + float64(i)
		session := SessionNumber(string(rune(i % 100)))
		for _, class := range []int{classHigh, classLow} {
			reservation, decision := manager.Reserve(now, AdmissionRequest{Tenant: "t", Class: class, Session: session, Parts: 1, Tag: 9})
			if decision == Admitted {
				admitted[class]++
				manager.Settle(&reservation, Usage{})
			}
		}
	}
	if admitted[classHigh] < 1980 || admitted[classLow] > 100 {
		t.Errorf("of the high class %d were admitted, of the low %d; want nearly 2000 and few", admitted[classHigh], admitted[classLow])
	}
	if _, decision := reserve(manager, 3001, classOverdraft, 1); decision != Admitted {
		t.Errorf("the class with an overdraft: %v", decision)
	}
}

// TestOverdraftIsForItsClassOnly checks that only the class with an overdraft goes on beyond the tenant's funds.
func TestOverdraftIsForItsClassOnly(t *testing.T) {
	manager := New(testSettings(t), 7, 0)
	reserve(manager, 1000, classOverdraft, 1)
	request := requestOf(t, manager, 1000, testOverdraft)
	manager.Handle(1001, granting(request, 30, 0, 100), nil)
	if _, decision := reserve(manager, 1002, classHigh, 2); decision == Admitted {
		t.Error("another class spent of the overdraft")
	}
	if _, decision := reserve(manager, 1002, classOverdraft, 3); decision != Admitted {
		t.Error(decision)
	}
}

// TestNothingIsSpentBeyondADurableMark checks that a request waits until its mark is durable.
func TestNothingIsSpentBeyondADurableMark(t *testing.T) {
	settings := testSettings(t)
	settings.PersistMarks = true
	manager := New(settings, 7, 0)
	reserve(manager, 1000, classHigh, 1)
	actions := manager.Handle(1000, Tick{}, nil)
	actions = manager.Handle(1001, granting(&actions[0].Requests[0], 100, 1000, 1000), nil)
	if len(actions) == 0 || actions[0].Kind != PersistMarks {
		t.Fatalf("%+v", actions)
	}
	actions = manager.Handle(1002, MarksPersisted{actions[0].Write}, nil)
	if len(actions) == 0 || actions[0].Kind != Admit {
		t.Fatalf("after the mark: %+v", actions)
	}
}

// TestMarksOfAnotherAreReadOnceItsAccountsHaveExpired checks that a process that has ended is fenced first, and its marks are read only once
// the log has expired all its accounts.
func TestMarksOfAnotherAreReadOnceItsAccountsHaveExpired(t *testing.T) {
	settings := testSettings(t)
	settings.PersistMarks = true
	manager := New(settings, 8, 0)
	manager.Handle(0, Recover{[]ledger.Holder{7}}, nil)
	fence := manager.Handle(50, Tick{}, nil)[0].Requests[0]
	if !fence.Recovered || fence.MarksRead || fence.Key.Holder != 7 {
		t.Fatalf("%+v", fence)
	}
	fenced := ResponsesReceived{[]message.Response{{Key: fence.Key}}}
	if actions := manager.Handle(60, fenced, nil); len(actions) != 0 {
		t.Fatalf("read before the accounts have expired: %+v", actions)
	}
	expired := ResponsesReceived{[]message.Response{{Key: fence.Key, Expired: true}}}
	if actions := manager.Handle(70, expired, nil); len(actions) != 1 || actions[0].Kind != ReadMarks {
		t.Fatalf("%+v", actions)
	}
}

// TestBrokenInvariantsAreReported breaks the state for each invariant of a manager.
func TestBrokenInvariantsAreReported(t *testing.T) {
	seen := map[string]bool{}
	settings := testSettings(t)
	settings.PersistMarks = true
	settings.Checks = invariant.New(func(breach invariant.Breach) { seen[breach.Name] = true })
	manager := New(settings, 7, 0)
	manager.tenantFor("t").lease(0).current = account{generation: 1, granted: 10, reserved: 20, expiresAt: 1e6}
	manager.Handle(1, ResponsesReceived{}, nil)
	for _, name := range []string{"credit: no more is held and spent than was granted", "credit: no more is spent than is marked"} {
		if !seen[name] {
			t.Errorf("%q was not reported", name)
		}
	}
}

// BenchmarkReserve measures what credit costs a request.
func BenchmarkReserve(b *testing.B) {
	settings := Defaults()
	settings.PrepaidTenants = []string{"t"}
	settings.Classes = []Class{{Price: Price{PerRequest: 1}, PriorityWeight: 1}}
	manager := New(settings, 7, 0)
	manager.tenantFor("t").lease(0).current = account{generation: 1, granted: 1 << 50, expiresAt: 1e6}
	b.ReportAllocs()
	for b.Loop() {
		reservation, decision := reserve(manager, 1002, 0, 2)
		if decision != Admitted {
			b.Fatal(decision)
		}
		manager.Settle(&reservation, Usage{Served: 1})
	}
}
