package decide

const (
	// minTenantBurst is the least depth of a tenant's bucket, in requests.
	minTenantBurst = 4.0
	// minRefillRate is the least rate, in tokens per second, that the time to the next token is computed
	// with.
	minRefillRate = 1e-3
)

// tokenBucket limits the rate of a tenant's requests.
type tokenBucket struct {
	tokens    float64
	rate      float64 // tokens per second
	updatedAt Time
}

// applyRateLimit takes a token for a request from its tenant's bucket. Beyond the limit, the request is
// rejected or gets a lower weight, as the tenant's settings say. It returns false if the request is rejected.
func (r *Router) applyRateLimit(event *Request, request *request) bool {
	if event.Tenant < 0 || event.Tenant >= len(r.buckets) || r.settings.Tenants[event.Tenant].RateLimit <= 0 {
		return true
	}
	bucket := r.refillBucket(event.Tenant)
	if bucket.tokens >= 1 {
		bucket.tokens--
		return true
	}
	if r.settings.Tenants[event.Tenant].RejectOverLimit {
		untilNext := toDuration((1 - bucket.tokens) / max(bucket.rate, minRefillRate))
		r.reject(event, min(r.settings.MaxRetryAfter, untilNext), ReasonRateLimit)
		return false
	}
	request.weight = max(request.weight*r.settings.OverQuotaWeight, minWeight)
	return true
}

// refillBucket refills a tenant's bucket, at the assigned rate or at an equal share of the rate limit.
// With an equal share, the bucket holds the requests of one second, so that bursts within a second are not
// limited.
func (r *Router) refillBucket(index int) *tokenBucket {
	bucket := &r.buckets[index]
	tenant := r.settings.Tenants[index]
	if !tenant.Assigned {
		tenant.AssignedRate = tenant.RateLimit / float64(r.settings.Peers)
		tenant.Burst = max(tenant.AssignedRate, minTenantBurst)
	}
	bucket.tokens = min(tenant.Burst, bucket.tokens+tenant.AssignedRate*(r.now-bucket.updatedAt).Seconds())
	bucket.updatedAt = r.now
	bucket.rate = tenant.AssignedRate
	return bucket
}
