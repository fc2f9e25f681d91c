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
func (r *Router) loadOf(server *server) serverLoad {
	own := float64(server.countedAttempts())
	fresh := r.fading(server.loadReportedAt, loadReportMemory)
	estimate := (1 - fresh) * r.estimateOthersLoad(server)
	own += server.othersLoad * fresh
	mostEvident := othersEvidenceFraction * float64(server.countedAttempts()*(r.settings.Peers-1))
	return serverLoad{likely: own + estimate, evident: own + min(estimate, mostEvident)}
}

// estimateOthersLoad estimates the load of other routers at a server: each sends as much as this one,
// spread alike.
func (r *Router) estimateOthersLoad(server *server) concurrency {
	perGroup := float64(r.settings.Peers-1) * r.requestRate / float64(max(1, len(r.groupsByNumber)))
	n := perGroup * server.requestShare * r.averageWork / r.serviceRate(server)
	utilization := min(maxUtilization, n/fullRateConcurrency)
	return n / (1 - utilization*utilization) // with what waits there, which grows with utilization
}

// observeLoad takes an answer as evidence of the load that it met, unless our own attempts explain it, and
// reports whether it did.
func (r *Router) observeLoad(server *server, met concurrency) bool {
	known := r.loadOf(server).likely
	if fewRouters*(len(server.openAttempts)+1) >= r.settings.Peers || met <= known {
		return false
	}
	server.othersLoad = (known + met) / 2
	server.loadReportedAt = r.now
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
func (server *server) countPick() {
	weight := requestShareMemory * float64(len(server.group.members))
	for _, member := range server.group.members {
		member.requestShare -= member.requestShare / weight
	}
	server.requestShare += 1 / weight
}

// zoneLink is the delay to a zone, as last observed.
type zoneLink struct {
	delay      float64 // seconds
	observedAt Time
}

// linkDelay returns the recent delay, in seconds, of health checks into the server's zone, so that a server
// behind a slow link does not count as dead.
func (r *Router) linkDelay(server *server) float64 {
	link := r.zoneLinks[server.endpoint.Zone]
	return link.delay * r.fading(link.observedAt, linkDelayMemory)
}

// observeLink takes the time of a health check or of a failed connection, and reports whether the link may
// explain a failure.
func (r *Router) observeLink(server *server, took time.Duration) bool {
	delay := (r.linkDelay(server) + took.Seconds()) / 2
	r.zoneLinks[server.endpoint.Zone] = zoneLink{delay: delay, observedAt: r.now}
	return server.endpoint.Zone != r.settings.Zone && took >= longDelay
}

// failureChance returns the chance that a server fails a request: from its last answers, fading.
func (r *Router) failureChance(server *server) float64 {
	return server.failureAtLast * r.fading(server.failureAt, failureMemory)
}

// observeSuccess and observeFailure update the chance of failure by half.
func (r *Router) observeSuccess(server *server) {
	server.failureAtLast = r.failureChance(server) / 2
	server.failureAt = r.now
}

func (r *Router) observeFailure(server *server) {
	server.failureAtLast = (r.failureChance(server) + 1) / 2
	server.failureAt = r.now
}
