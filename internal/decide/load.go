package decide

import (
	"math"
	"time"
)

const (
	// requestRateMemory is the memory of this router's own rate of requests.
	requestRateMemory = 5 * time.Second
	// requestShareMemory is the memory of where a group's requests went, in rounds of its members.
	requestShareMemory = 4.0
	// othersEvidenceFraction: without a report, each other router has at most this part of this one's
	// attempts at a server.
	othersEvidenceFraction = 0.5
	// maxUtilization bounds the estimated use of a server by other routers.
	maxUtilization = 0.95
	// linkDelayMemory is the memory of the delay of a link.
	linkDelayMemory = 10 * time.Second
	// failureMemory is the memory of a server's chance of failure.
	failureMemory = 4 * time.Second
	// loadReportMemory is the memory of a load report.
	loadReportMemory = 2 * rateRefreshInterval
)

// serverLoad is the number of requests in service at a server.
type serverLoad struct {
	likely  concurrency // the best estimate: for the choice between servers
	evident concurrency // what evidence shows: an estimate alone may not make this router refuse requests
}

// loadOf returns a server's load: our attempts except for lost ones, and those of others as reported, which
// fades to an estimate.
func (r *Router) loadOf(s *server) serverLoad {
	own := float64(s.countedAttempts())
	fresh := r.fading(s.loadReportedAt, loadReportMemory)
	estimate := (1 - fresh) * r.estimateOthersLoad(s)
	own += s.othersLoad * fresh
	mostEvident := othersEvidenceFraction * float64(s.countedAttempts()*(r.settings.Peers-1))
	return serverLoad{likely: own + estimate, evident: own + min(estimate, mostEvident)}
}

// estimateOthersLoad estimates the load of other routers at a server: each sends as much as this one,
// spread alike.
func (r *Router) estimateOthersLoad(s *server) concurrency {
	perGroup := float64(r.settings.Peers-1) * r.requestRate / float64(max(1, len(r.groupsByNumber)))
	n := perGroup * s.requestShare * r.averageWork / r.serviceRate(s)
	utilization := min(maxUtilization, n/fullRateConcurrency)
	return n / (1 - utilization*utilization) // with what waits there, which grows with utilization
}

// observeLoad takes an answer as evidence of the load that it met, unless our own attempts explain it, and
// reports whether it did.
func (r *Router) observeLoad(s *server, met concurrency) bool {
	known := r.loadOf(s).likely
	if fewRouters*(len(s.openAttempts)+1) >= r.settings.Peers || met <= known {
		return false
	}
	s.othersLoad = (known + met) / 2
	s.loadReportedAt = r.now
	return true
}

// countRequests counts n more requests and updates this router's rate of them.
func (r *Router) countRequests(n float64) {
	elapsed := (r.now - r.requestRateAt).Seconds()
	remaining := math.Exp(-elapsed / requestRateMemory.Seconds())
	r.recentRequests = r.recentRequests*remaining + n
	r.requestRateSpan = r.requestRateSpan*remaining + elapsed
	r.requestRateAt = r.now
	r.requestRate = r.recentRequests / max(r.requestRateSpan, 1)
}

// countPick updates the shares of a group's members after a request was sent to one of them.
func (s *server) countPick() {
	weight := requestShareMemory * float64(len(s.group.members))
	for _, member := range s.group.members {
		member.requestShare -= member.requestShare / weight
	}
	s.requestShare += 1 / weight
}

// zoneLink is the delay to a zone, as last observed.
type zoneLink struct {
	delay      float64 // seconds
	observedAt Time
}

// linkDelay returns the recent delay, in seconds, of health checks into the server's zone, so that a server
// behind a slow link does not count as dead.
func (r *Router) linkDelay(s *server) float64 {
	link := r.zoneLinks[s.endpoint.Zone]
	return link.delay * r.fading(link.observedAt, linkDelayMemory)
}

// observeLink takes the time of a health check or of a failed connection, and reports whether the link may
// explain a failure.
func (r *Router) observeLink(s *server, took time.Duration) bool {
	r.zoneLinks[s.endpoint.Zone] = zoneLink{delay: (r.linkDelay(s) + took.Seconds()) / 2, observedAt: r.now}
	return s.endpoint.Zone != r.settings.Zone && took >= longDelay
}

// failureChance returns the chance that a server fails a request: from its last answers, fading.
func (r *Router) failureChance(s *server) float64 {
	return s.failureAtLast * r.fading(s.failureAt, failureMemory)
}

// observeSuccess and observeFailure update the chance of failure by half.
func (r *Router) observeSuccess(s *server) {
	s.failureAtLast = r.failureChance(s) / 2
	s.failureAt = r.now
}

func (r *Router) observeFailure(s *server) {
	s.failureAtLast = (r.failureChance(s) + 1) / 2
	s.failureAt = r.now
}
