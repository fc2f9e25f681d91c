package decide

const (
	// minTenantBurst is the least depth of a tenant's bucket, in requests.
	minTenantBurst = 4.0
	// minRefillRate is the least rate of a bucket, in tokens a second, that a wait is computed from.
	minRefillRate = 1e-3
)

// tokenBucket limits a tenant's requests.
type tokenBucket struct {
	tokens    float64
	rate      float64 // tokens a second
	updatedAt Time
}

// applyRateLimit takes a request from its tenant's bucket. Beyond the limit the request is rejected, and
// the result false, or has a lower weight.
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

// refillBucket updates a tenant's bucket: at the assigned rate, or at an equal part with a second's depth,
// so that bursts within a second are not limited.
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
