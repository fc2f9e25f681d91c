package decide

import (
	"math"
	"time"
)

const (
	// requestRateMemory is the memory of this router's own rate of requests.
	requestRateMemory = 5 * time.Second
	// requestShareMemory is the memory of where a group's requests went, in requests per member.
	requestShareMemory = 4.0
	// othersEvidenceFraction: without a report, the attempts of each other router at a server count as at
	// most this fraction of this router's own.
	othersEvidenceFraction = 0.5
	// maxUtilization bounds the estimated utilization of a server by other routers.
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
	likely  concurrency // the best estimate, for the choice between servers
	evident concurrency // as shown by evidence: an estimate alone must not make the router refuse requests
}

// loadOf returns a server's load: this router's attempts except for lost ones, and those of other routers.
// The latter are as reported; as the report ages, an estimate replaces it.
func (r *Router) loadOf(server *server) serverLoad {
	known := float64(server.countedAttempts())
	reportWeight := r.evidenceWeight(server.loadReportedAt, loadReportMemory)
	estimate := (1 - reportWeight) * r.estimateOthersLoad(server)
	known += server.othersLoad * reportWeight
	maxEvident := othersEvidenceFraction * float64(server.countedAttempts()*(r.settings.Peers-1))
	return serverLoad{likely: known + estimate, evident: known + min(estimate, maxEvident)}
}

// estimateOthersLoad estimates the load of other routers at a server, assuming that each sends as many
// requests as this one, with the same distribution over servers.
func (r *Router) estimateOthersLoad(server *server) concurrency {
	perGroup := float64(r.settings.Peers-1) * r.requestRate / float64(max(1, len(r.groupsByNumber)))
	n := perGroup * server.requestShare * r.averageWork / r.serviceRate(server)
	utilization := min(maxUtilization, n/fullRateConcurrency)
	return n / (1 - utilization*utilization) // includes requests that wait there, more with utilization
}

// observeLoad raises the estimate of other routers' load at a server towards the load that an answer implies,
// unless this router's own attempts explain it, and reports whether it did.
func (r *Router) observeLoad(server *server, implied concurrency) bool {
	known := r.loadOf(server).likely
	if smallTierSize*(len(server.openAttempts)+1) >= r.settings.Peers || implied <= known {
		return false
	}
	server.othersLoad = (known + implied) / 2
	server.loadReportedAt = r.now
	return true
}

// countRequests counts n more requests and updates this router's request rate.
func (r *Router) countRequests(n float64) {
	elapsed := (r.now - r.requestRateAt).Seconds()
	remaining := math.Exp(-elapsed / requestRateMemory.Seconds())
	r.recentRequests = r.recentRequests*remaining + n
	r.requestRateSpan = r.requestRateSpan*remaining + elapsed
	r.requestRateAt = r.now
	r.requestRate = r.recentRequests / max(r.requestRateSpan, 1)
}

// updateRequestShares updates the request shares of a group's members after a request was sent to server.
func (server *server) updateRequestShares() {
	weight := requestShareMemory * float64(len(server.group.members))
	for _, member := range server.group.members {
		member.requestShare -= member.requestShare / weight
	}
	server.requestShare += 1 / weight
}

// zoneLink is the network delay to a zone, as last observed.
type zoneLink struct {
	delay      float64 // seconds
	observedAt Time
}

// linkDelay returns the recent network delay to the server's zone in seconds, so that a server behind a slow
// link does not count as unresponsive.
func (r *Router) linkDelay(server *server) float64 {
	link := r.zoneLinks[server.endpoint.Zone]
	return link.delay * r.evidenceWeight(link.observedAt, linkDelayMemory)
}

// observeLink updates the delay of a server's link by the time that a health check or a failed connection
// took, and reports whether the link may be the cause of a failure.
func (r *Router) observeLink(server *server, took time.Duration) bool {
	delay := (r.linkDelay(server) + took.Seconds()) / 2
	r.zoneLinks[server.endpoint.Zone] = zoneLink{delay: delay, observedAt: r.now}
	return server.endpoint.Zone != r.settings.Zone && took >= longDelay
}

// failureChance returns the chance that a server fails a request, from its last answers. It decays with time.
func (r *Router) failureChance(server *server) float64 {
	return server.failureAtLast * r.evidenceWeight(server.failureAt, failureMemory)
}

// observeSuccess and observeFailure move the chance of failure halfway to 0 or 1.
func (r *Router) observeSuccess(server *server) {
	server.failureAtLast = r.failureChance(server) / 2
	server.failureAt = r.now
}

func (r *Router) observeFailure(server *server) {
	server.failureAtLast = (r.failureChance(server) + 1) / 2
	server.failureAt = r.now
}
