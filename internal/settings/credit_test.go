package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/lessor"
)

// requiredByCredit are the forms that (credit ...) needs.
const requiredByCredit = `(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "d")) `

// TestCreditSettings checks the values of (credit ...).
func TestCreditSettings(t *testing.T) {
	settings, err := Parse("x", []byte(requiredByCredit+`(credit (unit "cent") (slow-below 0.1)
		(price "read" (request 2)) (price "report" (request 5) (row 1) (most 100) (failed charged))
		(overdraft "write" 500) (payment "m" 2 70) (payment "m" 1 30) (payment "a" 1 10) (prepaid "z"))`), func(string) string { return "" })
	if err != nil {
		t.Fatalf("parse (credit ...): %v", err)
	}
	got := settings.Credit.SettingsFor([]string{"write", "read", "report"}, func(i int) float64 { return float64(i) })
	wantClasses := []lease.Class{
		{PriorityWeight: 0, Overdraft: 500},
		{PriorityWeight: 1, Price: lease.Price{PerRequest: 2}},
		{PriorityWeight: 2, Price: lease.Price{PerRequest: 5, PerRow: 1, Max: 100, ChargeFailed: true}},
	}
	wantPayments := []lessor.Payment{
		{Tenant: "a", Number: 1, Amount: 10},
		{Tenant: "m", Number: 1, Amount: 30},
		{Tenant: "m", Number: 2, Amount: 70},
	}
	if d := cmp.Diff(wantClasses, got.Lease.Classes); d != "" {
		t.Errorf("classes (-want +got):\n%s", d)
	}
	if d := cmp.Diff(wantPayments, got.Payments); d != "" {
		t.Errorf("payments (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]string{"a", "m", "z"}, got.Lease.PrepaidTenants); d != "" {
		t.Errorf("prepaid tenants (-want +got):\n%s", d)
	}
	if got.Lessor.ExpiryDelay != got.Lease.ExpiryDelay() || got.Lease.PersistMarks {
		t.Errorf("leases expire after %g ms, want %g; marks are persisted: %v, want false", got.Lessor.ExpiryDelay, got.Lease.ExpiryDelay(), got.Lease.PersistMarks)
	}
}

// TestCreditErrors checks that each mistake in (credit ...) is an error of one line.
func TestCreditErrors(t *testing.T) {
	for text, want := range map[string]string{
		`(credit (price "a" (request 1)))`:                                                                    "needs (peers ...) and (agreed ...)",
		requiredByCredit + `(credit)`:                                                                         "needs a (price CLASS ...)",
		requiredByCredit + `(credit (price "a" (row 1)))`:                                                     "(most AMOUNT) is required",
		requiredByCredit + `(credit (price "a" (request 1)) (price "a" (request 1)))`:                         "duplicate price of \"a\"",
		requiredByCredit + `(credit (price "a" (request 1)) (payment "t" 1 5) (payment "t" 1 6))`:             "duplicate payment 1 of \"t\"",
		requiredByCredit + `(credit (price "a" (request 1)) (payment "t" 1 0))`:                               "a whole number from 1",
		requiredByCredit + `(credit (price "a" (request 1.5)))`:                                               "a whole number from 0",
		requiredByCredit + `(credit (price "a" (request 1)) (lease 2s))`:                                      "four times",
		requiredByCredit + `(credit (price "a" (request 1)) (payment "` + strings.Repeat("x", 65) + `" 1 5))`: "of at most 64 bytes",
		requiredByCredit + `(credit (price "a" (request 1)) (payment "t" 1 99999999999999999))`:               "a whole number from 1",
	} {
		_, err := Parse("x", []byte(text), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
}
