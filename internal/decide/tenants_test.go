package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestTenantOverItsQuotaHasALowerWeight: requests beyond a router's share of the rate limit, and beyond the least burst,
// have a lower weight.
func TestTenantOverItsQuotaHasALowerWeight(t *testing.T) {
	// One of 100 routers: its share of the limit is one request in ten seconds, and short bursts are not beyond it.
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.Tenants = 100, []Tenant{{RateLimit: 10}} })
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "x", Group: 9}}}) // requests wait for the health check of the new server
	for i := range int(minTenantBurst) + 1 {
		h.handle(&Request{ID: RequestID(fmt.Sprint(i)), Class: classAny, Group: 9, Deadline: h.now + time.Second})
	}
	if a, b := h.r.requests["3"].weight, h.r.requests["4"].weight; a != 1 || b != 0.1 {
		t.Errorf("weights of requests 3 and 4: got %v and %v, want 1 and 0.1", a, b)
	}
}
