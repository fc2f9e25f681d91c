package decide

// Tenants' shares.

// fill brings a tenant's bucket up to now: a second of this part, as clumps are no excess, or as was told.
func (r *Router) fill(i int) *tenant {
	t, a := &r.tenants[i], r.set.Tenants[i]
	if !a.Told {
		a.Own = a.Allowance / float64(r.set.Siblings)
		a.Depth = max(a.Own, tenantDepth)
	}
	t.tokens = min(a.Depth, t.tokens+a.Own*(r.now-t.at).Seconds())
	t.at, t.rate = r.now, a.Own
	return t
}
