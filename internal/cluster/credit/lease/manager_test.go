package lease

import (
	"testing"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/invariant"
)

// The classes of testSettings.
const (
	classHigh      = 0 // has the highest priority weight per price
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

// reserve requests admission for a request of the tenant.
func reserve(manager *Manager, now float64, class int, tag uint64) (Reservation, Decision) {
	return manager.Reserve(now, AdmissionRequest{Tenant: "t", Class: class, Session: 1, Parts: 1, Tag: tag})
}

// granting returns the leader's response to a request, with the total granted and the funds available now and after the last payment.
func granting(request *message.Request, granted, available, atPayment int64) ResponsesReceived {
	return ResponsesReceived{[]message.Response{{
		Key: request.Key, Sequence: request.Sequence, Granted: granted, Available: available, AvailableAtPayment: atPayment,
	}}}
}

// requestOf returns the first request at an overdraft that a manager sends at a tick at now.
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
	t.Fatalf("tick at %v ms: the manager sent no request at an overdraft of %d, want one", now, overdraft)
	return nil
}

// requestAndGrant has a manager request a tenant's own funds, and answers with a total grant.
func requestAndGrant(t *testing.T, manager *Manager, now float64, granted, available, atPayment int64) {
	t.Helper()
	request := requestOf(t, manager, now, 0)
	manager.Handle(now, granting(request, granted, available, atPayment), nil)
}

// TestOnlyTheFirstRequestWaitsForTheLeader checks that a tenant's first request waits for one response of the leader, and that the next is
// admitted immediately.
func TestOnlyTheFirstRequestWaitsForTheLeader(t *testing.T) {
	manager := New(testSettings(t), 7, 0)
	if _, decision := reserve(manager, 1000, classHigh, 11); decision != Queued {
		t.Fatalf("first request: got %v, want %v", decision, Queued)
	}
	actions := manager.Handle(1000, Tick{}, nil)
	if len(actions) != 1 || actions[0].Requests[0].Queued != 10 {
		t.Fatalf("tick after the first request: got actions %+v, want one that requests funds with 10 queued", actions)
	}
	actions = manager.Handle(1005, granting(&actions[0].Requests[0], 100, 1000, 1000), nil)
	if len(actions) == 0 {
		t.Fatal("the grant caused no action, want an Admit")
	}
	if first := actions[0]; first.Kind != Admit || first.Tag != 11 || first.Reservation.Amount != 10 {
		t.Fatalf("first action after the grant: got %+v, want Admit of tag 11 with an amount of 10", first)
	}
	if _, decision := reserve(manager, 1006, classHigh, 12); decision != Admitted {
		t.Errorf("second request, after the grant: got %v, want %v", decision, Admitted)
	}
	if _, decision := manager.Reserve(1006, AdmissionRequest{Tenant: "other", Session: 1, Parts: 1, Tag: 13}); decision != Admitted {
		t.Errorf("request of a tenant that is not prepaid: got %v, want %v", decision, Admitted)
	}
}

// TestSuspendedProcessSpendsNothingAfterExpiry checks that a process that was suspended past its account's expiry spends nothing of the
// account, even if a request is the first event that it handles.
func TestSuspendedProcessSpendsNothingAfterExpiry(t *testing.T) {
	for suspendedMs, want := range map[float64]Decision{999: Admitted, 10001: Queued} {
		manager := New(testSettings(t), 7, 0)
		reserve(manager, 1000, classHigh, 1)
		requestAndGrant(t, manager, 1000, 100, 1000, 1000)
		if _, decision := reserve(manager, 1000+suspendedMs, classHigh, 2); decision != want {
			t.Errorf("request after a suspension of %g ms: got %v, want %v", suspendedMs, decision, want)
		}
	}
}

// TestChargeUsesPriceAtAdmission checks that the price is reserved at admission, that the charge uses that price even if the settings have
// changed and never exceeds the reservation, and that a second Settle charges nothing.
func TestChargeUsesPriceAtAdmission(t *testing.T) {
	settings := testSettings(t)
	manager := New(settings, 7, 0)
	reserve(manager, 1000, classLow, 1)
	requestAndGrant(t, manager, 1000, 200, 1000, 1000)
	reservation, decision := reserve(manager, 1001, classLow, 2)
	if decision != Admitted || reservation.Amount != 50 {
		t.Fatalf("request of the low class: got %v with %+v, want %v with an amount of 50", decision, reservation, Admitted)
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
		t.Errorf("the first Settle charged %d, want 16", got)
	}
	if got := manager.Settle(&reservation, Usage{Served: 1, Rows: 3}); got != 0 {
		t.Errorf("the second Settle charged %d, want 0", got)
	}
}

// TestScatteredRequestIsChargedByItsParts checks that served parts are charged, and also failed parts if the price has ChargeFailed.
func TestScatteredRequestIsChargedByItsParts(t *testing.T) {
	scattered := Reservation{Amount: 40, Price: Price{PerRequest: 10, ChargeFailed: true}}
	if got := scattered.Charge(Usage{Served: 2, Failed: 1}); got != 30 {
		t.Errorf("two served parts and a failed one are charged %d, want 30", got)
	}
}

// TestThrottlingSparesPriorityClasses checks that, when a tenant's funds run low, the class with the lowest priority weight per price is
// throttled, and that the class with the highest and a class with an overdraft are not.
func TestThrottlingSparesPriorityClasses(t *testing.T) {
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
		t.Errorf("admitted %d of the high class and %d of the low; want at least 1980 and at most 100", admitted[classHigh], admitted[classLow])
	}
	if _, decision := reserve(manager, 3001, classOverdraft, 1); decision != Admitted {
		t.Errorf("request of the class with an overdraft: got %v, want %v", decision, Admitted)
	}
}

// TestOverdraftIsForItsClassOnly checks that only the class with an overdraft is admitted once the tenant's own funds are used.
func TestOverdraftIsForItsClassOnly(t *testing.T) {
	manager := New(testSettings(t), 7, 0)
	reserve(manager, 1000, classOverdraft, 1)
	request := requestOf(t, manager, 1000, testOverdraft)
	manager.Handle(1001, granting(request, 30, 0, 100), nil)
	if _, decision := reserve(manager, 1002, classHigh, 2); decision == Admitted {
		t.Errorf("request of a class without an overdraft: got %v, want nothing spent from the overdraft", decision)
	}
	if _, decision := reserve(manager, 1002, classOverdraft, 3); decision != Admitted {
		t.Errorf("request of the class with an overdraft: got %v, want %v", decision, Admitted)
	}
}

// TestNothingIsSpentBeyondDurableMark checks that a request waits until a mark that covers it is durable.
func TestNothingIsSpentBeyondDurableMark(t *testing.T) {
	settings := testSettings(t)
	settings.PersistMarks = true
	manager := New(settings, 7, 0)
	reserve(manager, 1000, classHigh, 1)
	actions := manager.Handle(1000, Tick{}, nil)
	actions = manager.Handle(1001, granting(&actions[0].Requests[0], 100, 1000, 1000), nil)
	if len(actions) == 0 || actions[0].Kind != PersistMarks {
		t.Fatalf("grant: got actions %+v, want PersistMarks first", actions)
	}
	actions = manager.Handle(1002, MarksPersisted{actions[0].Write}, nil)
	if len(actions) == 0 || actions[0].Kind != Admit {
		t.Fatalf("after the mark is durable: got actions %+v, want Admit first", actions)
	}
}

// TestMarksOfEndedProcessAreReadAfterItsAccountsExpire checks that an ended process is fenced first, and that its marks are read only after
// the log has expired all its accounts.
func TestMarksOfEndedProcessAreReadAfterItsAccountsExpire(t *testing.T) {
	settings := testSettings(t)
	settings.PersistMarks = true
	manager := New(settings, 8, 0)
	manager.Handle(0, Recover{[]ledger.Holder{7}}, nil)
	fence := manager.Handle(50, Tick{}, nil)[0].Requests[0]
	if !fence.Recovered || fence.MarksRead || fence.Key.Holder != 7 {
		t.Fatalf("first request after Recover: got %+v, want a recovered one of holder 7 without MarksRead", fence)
	}
	fenced := ResponsesReceived{[]message.Response{{Key: fence.Key}}}
	if actions := manager.Handle(60, fenced, nil); len(actions) != 0 {
		t.Fatalf("fenced, before the accounts expired: got actions %+v, want none", actions)
	}
	expired := ResponsesReceived{[]message.Response{{Key: fence.Key, Expired: true}}}
	if actions := manager.Handle(70, expired, nil); len(actions) != 1 || actions[0].Kind != ReadMarks {
		t.Fatalf("after the accounts expired: got actions %+v, want ReadMarks only", actions)
	}
}

// TestBrokenInvariantsAreReported checks that a state that breaks both invariants of a manager is reported for each.
func TestBrokenInvariantsAreReported(t *testing.T) {
	seen := map[string]bool{}
	settings := testSettings(t)
	settings.PersistMarks = true
	settings.Checks = invariant.New(func(breach invariant.Breach) { seen[breach.Name] = true })
	manager := New(settings, 7, 0)
	manager.tenantFor("t").lease(0).current = account{generation: 1, granted: 10, reserved: 20, expiresAt: 1e6}
	manager.Handle(1, ResponsesReceived{}, nil)
	for _, name := range []string{"credit: amounts spent, reserved and returned are within the grant", "credit: spending is within the durable mark"} {
		if !seen[name] {
			t.Errorf("broken state: got breaches %v, want one of %q", seen, name)
		}
	}
}

// BenchmarkReserve measures the time that one request spends in Reserve and Settle.
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
			b.Fatalf("request: got %v, want %v", decision, Admitted)
		}
		manager.Settle(&reservation, Usage{Served: 1})
	}
}
