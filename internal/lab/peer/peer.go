// Package peer implements other load-balancing policies from their public descriptions, to compare the real policy with
// them in the model. All share one base that keeps the rules on final responses, repeats and drains; they differ in how
// they select a server. They serve for comparison only: none has admission control, ejection or budgets, except where
// its description says so.
package peer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"portstall/internal/lab/model"
	"portstall/policy"
)

// Factories are the policies' factories by the names that experiments use.
var Factories = map[string]model.Factory{
	"portstall":   model.Portstall,
	"random":      newFactory(func(p *basePolicy) chooser { return random{} }),
	"round-robin": newFactory(func(p *basePolicy) chooser { return &roundRobin{} }),
	"p2c":         newFactory(func(p *basePolicy) chooser { return twoChoices{} }),
	"least":       newFactory(func(p *basePolicy) chooser { return leastOutstanding{} }),
	"prequal":     newPrequal,
	"naive":       newNaive,
}

// Names are the policies' names in the order of tables.
var Names = []string{"portstall", "random", "round-robin", "p2c", "least", "prequal", "naive"}

// Lookup returns the factory of a policy, or an error that lists the known names.
func Lookup(name string) (model.Factory, error) {
	if m := Factories[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("unknown policy %q, want one of %q", name, Names)
}

// chooser selects one of the servers that a request may be sent to; there is at least one.
type chooser interface {
	choose(p *basePolicy, from []*server) *server
}

// server is one web server as a peer policy knows it.
type server struct {
	policy.Entry
	inFlight int     // local requests in flight
	latency  float64 // smoothed response time in seconds, 0 before the first response
}

// request is one request that a peer policy has accepted and that has no final response yet.
type request struct {
	class      *policy.Class
	deadline   time.Duration
	attempts   int
	open       bool    // an attempt is in flight
	server     *server // of the latest attempt
	sentAt     time.Duration
	mayRun     *server // where the first attempt that may have run was sent; nil: none
	mayRunAt   time.Duration
	clientGone bool
}

// basePolicy is the part that all peer policies share. It is used by one goroutine at a time.
type basePolicy struct {
	settings    policy.Settings
	rng         *rand.Rand
	chooser     chooser
	servers     map[uint32]*server
	ordered     []*server
	requests    map[string]*request
	now         time.Duration
	slowStart   bool // sends a cold server a share of requests that grows with its age
	maxAttempts int  // attempts per request
	alwaysRetry bool // retries even if that breaks the repeat rule
	nextWatchAt time.Duration
	candidates  []*server
}

// newBasePolicy creates a base policy without a chooser.
func newBasePolicy(set policy.Settings, seed uint64) *basePolicy {
	return &basePolicy{settings: set, rng: rand.New(rand.NewPCG(seed, 0x70656572)), servers: map[uint32]*server{},
		requests: map[string]*request{}, slowStart: true, maxAttempts: min(2, set.MaxAttempts)}
}

// newFactory returns the factory of a policy with the given chooser.
func newFactory(choice func(p *basePolicy) chooser) model.Factory {
	return func(set policy.Settings, seed uint64) (model.Decider, error) {
		if err := set.Validate(); err != nil {
			return nil, err
		}
		p := newBasePolicy(set, seed)
		p.chooser = choice(p)
		return p, nil
	}
}

// newNaive creates a policy like that of a naive proxy: round robin, also to servers that have just started, and a
// retry after every failure, as often as permitted and without a budget. It breaks the rules on repeats and on cold
// servers, and exists to show what that costs.
func newNaive(set policy.Settings, seed uint64) (model.Decider, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	p := newBasePolicy(set, seed)
	p.chooser, p.slowStart, p.maxAttempts, p.alwaysRetry = &roundRobin{}, false, set.MaxAttempts, true
	return p, nil
}

// Handle processes an event, as policy.Balancer.Handle does.
func (p *basePolicy) Handle(now time.Duration, ev *policy.Event, out []policy.Action) []policy.Action {
	p.now = now
	switch ev.Kind {
	case policy.EvRequest:
		c := slices.IndexFunc(p.settings.Classes, func(c policy.Class) bool { return c.Name == ev.Class })
		if c < 0 || p.requests[ev.ID] != nil {
			return out
		}
		r := &request{class: &p.settings.Classes[c], deadline: now + ev.TimeLeft}
		p.requests[ev.ID] = r
		return p.sendAttempt(ev.ID, r, nil, out)
	case policy.EvOutcome:
		return p.attemptEnded(ev, out)
	case policy.EvClientGone:
		if r := p.requests[ev.ID]; r != nil {
			r.clientGone = true
			if r.open {
				return append(out, policy.Action{Kind: policy.ActCancel, ID: ev.ID, Attempt: r.attempts - 1})
			}
			delete(p.requests, ev.ID)
		}
	case policy.EvList:
		return p.updateServers(ev, out)
	case policy.EvTimer:
		if p.nextWatchAt > 0 && now >= p.nextWatchAt {
			p.nextWatchAt = 0
			return append(out, policy.Action{Kind: policy.ActWatch})
		}
	}
	return out
}

// rampShare returns the share of its full capacity that a server is assumed to have.
func (p *basePolicy) rampShare(s *server) float64 {
	age := p.now - s.Launched
	if !p.slowStart || s.Launched == 0 || age >= p.settings.ColdFor {
		return 1
	}
	return p.settings.ColdShare + (1-p.settings.ColdShare)*max(0, age.Seconds())/p.settings.ColdFor.Seconds()
}

// sendAttempt sends a request to a server, or refuses or fails it if no server may take it.
func (p *basePolicy) sendAttempt(id string, r *request, avoid *server, out []policy.Action) []policy.Action {
	p.candidates = p.candidates[:0]
	for _, s := range p.ordered {
		if s.State != policy.Active || s == avoid && len(p.ordered) > 1 || !p.mayRunOn(r, s) {
			continue
		}
		if p.rampShare(s) < 1 && p.rng.Float64() > p.rampShare(s)/2 {
			continue // left out of this selection, so that it gets only a share of what the others get
		}
		p.candidates = append(p.candidates, s)
	}
	if len(p.candidates) == 0 || p.now >= r.deadline {
		return p.finish(id, r, out)
	}
	s := p.chooser.choose(p, p.candidates)
	r.attempts++
	r.open, r.server, r.sentAt = true, s, p.now
	s.inFlight++
	wait := r.deadline - p.now
	return append(out, policy.Action{Kind: policy.ActSend, ID: id, Server: s.ID, Wait: wait})
}

// mayRunOn reports whether the repeat rule of its class allows a request to be sent to a server.
func (p *basePolicy) mayRunOn(r *request, s *server) bool {
	if r.mayRun == nil || p.alwaysRetry || r.class.Effect == policy.Safe {
		return true
	}
	if r.class.Effect == policy.Unsafe || p.now > r.mayRunAt+r.class.Window {
		return false
	}
	switch r.class.Group {
	case policy.GroupZone:
		return s.Zone == r.mayRun.Zone
	case policy.GroupCell:
		return s.Cell == r.mayRun.Cell
	}
	return true
}

// finish ends a request without a server's response: it is refused if another try is harmless, else failed.
func (p *basePolicy) finish(id string, r *request, out []policy.Action) []policy.Action {
	delete(p.requests, id)
	kind := policy.ActRefuse
	if r.mayRun != nil && (r.class.Effect == policy.Unsafe || r.class.Effect == policy.Keyed &&
		r.class.Group != policy.GroupAll) {
		kind = policy.ActFail
	}
	return append(out, policy.Action{Kind: kind, ID: id})
}

// attemptEnded handles the outcome of an attempt.
func (p *basePolicy) attemptEnded(ev *policy.Event, out []policy.Action) []policy.Action {
	r := p.requests[ev.ID]
	if r == nil || !r.open || ev.Attempt != r.attempts-1 {
		return out
	}
	s := r.server
	s.inFlight--
	r.open = false
	if ev.Outcome == policy.OK {
		if s.latency == 0 {
			s.latency = ev.Elapsed.Seconds()
		}
		s.latency += (ev.Elapsed.Seconds() - s.latency) * 0.1
	}
	if ev.Final || r.clientGone {
		delete(p.requests, ev.ID)
		return out
	}
	if r.mayRun == nil && ev.Outcome != policy.QueueFull && ev.Outcome != policy.ConnectFailed && ev.Outcome != policy.NeverSent {
		r.mayRun, r.mayRunAt = s, r.sentAt
	}
	if r.attempts >= p.maxAttempts || ev.BodySpent {
		return p.finish(ev.ID, r, out)
	}
	return p.sendAttempt(ev.ID, r, s, out)
}

// updateServers applies the server list or its changes. After a failed call it waits 0.5 to 1.5 s before the next one.
func (p *basePolicy) updateServers(ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.List {
	case policy.ListFailed:
		p.nextWatchAt = p.now + time.Duration((0.5+p.rng.Float64())*float64(time.Second))
		return append(out, policy.Action{Kind: policy.ActTimer, At: p.nextWatchAt, Token: "ask"})
	case policy.ListCached:
		if p.settings.MustAsk {
			out = append(out, policy.Action{Kind: policy.ActWatch})
		}
	}
	if ev.List != policy.ListDelta {
		for _, s := range p.servers {
			s.State = policy.Removed
		}
	}
	for _, e := range ev.Entries {
		if s := p.servers[e.ID]; s != nil {
			s.Entry = e
		} else {
			p.servers[e.ID] = &server{Entry: e}
		}
	}
	p.ordered = p.ordered[:0]
	for _, s := range p.servers {
		if s.State != policy.Removed || s.inFlight > 0 {
			p.ordered = append(p.ordered, s)
		}
	}
	slices.SortFunc(p.ordered, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// random selects any server with equal probability.
type random struct{}

func (random) choose(p *basePolicy, from []*server) *server { return from[p.rng.IntN(len(from))] }

// roundRobin selects the servers in turn.
type roundRobin struct{ last uint32 }

func (c *roundRobin) choose(_ *basePolicy, from []*server) *server {
	i, _ := slices.BinarySearchFunc(from, c.last+1, func(s *server, id uint32) int { return cmp.Compare(s.ID, id) })
	s := from[i%len(from)]
	c.last = s.ID
	return s
}

// twoChoices selects the better of two random servers, by local requests in flight. Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing" (2001).
type twoChoices struct{}

func (twoChoices) choose(p *basePolicy, from []*server) *server {
	a, b := from[p.rng.IntN(len(from))], from[p.rng.IntN(len(from))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// leastOutstanding selects the server with the fewest local requests in flight relative to its speed, which it
// estimates by response time; among equals at random. Weighted least-request modes of common proxies do the same, here
// with learned weights.
type leastOutstanding struct{}

func (leastOutstanding) choose(p *basePolicy, from []*server) *server {
	var best *server
	lowest, equals := 0.0, 0
	for _, s := range from {
		cost := (float64(s.inFlight) + 1) * max(s.latency, 1e-3)
		switch {
		case best == nil || cost < lowest:
			best, lowest, equals = s, cost, 1
		case cost == lowest:
			if equals++; p.rng.IntN(equals) == 0 {
				best = s
			}
		}
	}
	return best
}
