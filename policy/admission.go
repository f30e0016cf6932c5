package policy

import "slices"

// exceedsQuota decides at random whether a request counts as over its tenant's quota. The node grants its traffic share
// of the quota, and the probability is the fraction by which the tenant's rate here has to fall to stay within it: a half
// at twice the quota.
func (b *Balancer) exceedsQuota(name string) bool {
	i := slices.IndexFunc(b.tenants, func(t *tenantState) bool { return t.Name == name })
	if i < 0 || b.settings.OverShare >= 1 {
		return false
	}
	t := b.tenants[i]
	t.arrivals++
	return b.rng.Float64()*t.arrivalRate > t.QuotaPerS*b.trafficShare
}

// shouldDivert decides at random whether a server in overload diverts a request of the given priority. It diverts the
// share q of all requests, those of low priority first; the share that passes falls as the occupancy exceeds H.
func (b *Balancer) shouldDivert(now float64, s *server, lowPriority bool) bool {
	service := b.serviceTime(s)
	q := 1 - (1-divert)*min(1,
		s.onsetThreshold(b, s.discardThreshold(b, service), service)/max(b.estimateOccupancy(s, now), 1))
	lowShare := b.LowPriorityCount / max(b.RequestCount, 1)
	if lowPriority {
		return b.rng.Float64()*lowShare < q
	}
	return b.rng.Float64()*(1-lowShare) < q-lowShare
}

// canRetry reports whether the rules and the budget allow a retry. Retries must never add to an overload: they are
// dispatched like first attempts, and share a budget that only first attempts fill.
func (b *Balancer) canRetry(now float64, r *request) bool {
	if len(r.attempts) >= min(r.maxAttempts, b.settings.MaxAttempts) || now >= r.usefulUntil || b.Retries < 1 {
		return false
	}
	return r.mayRepeat(now)
}

// mayRepeat reports whether the request may be sent though it may have run.
func (r *request) mayRepeat(now float64) bool {
	effect := r.class.Effect
	return !r.mayHaveRun || effect == Safe || effect == Keyed && now < r.repeatWindowEnd()
}

// repeatWindowEnd returns the time until which a keyed request may be sent again. The window begins at the send,
// however slow the response is.
func (r *request) repeatWindowEnd() float64 { return r.mayHaveRunAt + r.class.Window.Seconds() }

// classifyClasses finds the classes of low priority, those worth less than the average for their cost. They are not
// ranked further, because the lowest class counts too: under overload a strict order would leave it unserved.
func (b *Balancer) classifyClasses(decay float64) {
	b.RequestCount, b.LowPriorityCount = b.RequestCount*decay, b.LowPriorityCount*decay
	var value, cost float64
	for _, c := range b.classes {
		c.Requests, c.Latency, c.Responses = c.Requests*decay, c.Latency*decay, c.Responses*decay
		value += c.Requests * c.Value
		cost += c.Requests * c.cost()
	}
	for _, c := range b.classes {
		c.lowPriority = c.Value*cost < value*c.cost()
	}
}

// cost returns the mean latency of a class, as a measure of what its requests cost.
func (c *classState) cost() float64 { return (c.Latency + initialServiceTime) / (c.Responses + 1) }
