package peer

import (
	"slices"
	"time"

	"portstall/internal/lab/model"
	"portstall/policy"
)

// Parameters of Prequal, after Wydrowski et al., "Load is not what you should balance: Introducing Prequal" (NSDI
// 2024): each request sends some probes to random servers, their replies go to a small pool, and the policy selects the
// fastest of the servers with few requests in flight (cold), or the one with the fewest where all have many (hot). In
// the model probes cost servers nothing, which makes Prequal look better than it is.
const (
	probesPerRequest = 3
	maxPoolSize      = 16
	maxProbeAge      = time.Second
	hotQuantile      = 0.84 // a server is hot above this quantile of requests in flight
)

// probeResult is the reply of a server to a probe.
type probeResult struct {
	server   uint32
	inFlight int
	latency  time.Duration
	at       time.Duration
	uses     int // number of requests sent because of it
}

// prequal is the Prequal policy.
type prequal struct {
	*basePolicy
	pool           []probeResult
	targets        []uint32
	recentInFlight []int // requests in flight of the latest 128 replies, for the quantile
}

// newPrequal creates the Prequal policy.
func newPrequal(set policy.Settings, seed uint64) (model.Decider, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	p := &prequal{basePolicy: newBasePolicy(set, seed)}
	p.chooser = p
	return p, nil
}

// ProbeTargets returns the servers to probe now.
func (p *prequal) ProbeTargets() []uint32 {
	targets := p.targets
	p.targets = p.targets[:0]
	return targets
}

// ProbeReply adds the reply of a server to the pool.
func (p *prequal) ProbeReply(now time.Duration, server uint32, inFlight int, latency time.Duration) {
	if len(p.pool) >= maxPoolSize {
		p.pool = p.pool[1:]
	}
	p.pool = append(p.pool, probeResult{server, inFlight, latency, now, 0})
	if p.recentInFlight = append(p.recentInFlight, inFlight); len(p.recentInFlight) > 128 {
		p.recentInFlight = p.recentInFlight[1:]
	}
}

// choose schedules probes and selects the best server of the pool, or a random one if the pool has none of from. A
// reply is used for two requests at most.
func (p *prequal) choose(_ *basePolicy, from []*server) *server {
	for range probesPerRequest {
		p.targets = append(p.targets, from[p.rng.IntN(len(from))].ID)
	}
	hot := 0
	if len(p.recentInFlight) > 0 {
		sorted := slices.Sorted(slices.Values(p.recentInFlight))
		hot = sorted[int(hotQuantile*float64(len(sorted)-1))]
	}
	best := -1
	fresh := p.pool[:0]
	for _, e := range p.pool {
		if p.now-e.at <= maxProbeAge && e.uses < 2 {
			fresh = append(fresh, e)
		}
	}
	p.pool = fresh
	for i := range p.pool {
		e := &p.pool[i]
		if !slices.ContainsFunc(from, func(s *server) bool { return s.ID == e.server }) {
			continue
		}
		if best < 0 || p.better(e, &p.pool[best], hot) {
			best = i
		}
	}
	if best < 0 {
		return from[p.rng.IntN(len(from))]
	}
	e := &p.pool[best]
	e.uses++
	e.inFlight++ // counts the request that is sent now
	return p.servers[e.server]
}

// better reports whether a is preferred to b: cold before hot, among cold ones the faster, among hot ones the one with
// fewer requests in flight.
func (p *prequal) better(a, b *probeResult, hot int) bool {
	coldA, coldB := a.inFlight <= hot, b.inFlight <= hot
	switch {
	case coldA != coldB:
		return coldA
	case coldA:
		return a.latency < b.latency
	}
	return a.inFlight < b.inFlight
}
