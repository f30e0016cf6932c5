package core

import (
	"time"

	"portstall/internal/handover"
	"portstall/policy"
)

// Successor is the process that takes over from this one. It decides which request ids may begin here.
type Successor interface {
	// Claim asks whether a request that ends by the given time may begin. It waits a short time for the reply.
	Claim(id string, until time.Duration) handover.Verdict
	// Ended reports that a request has ended, and until when its id must not run again; 0 if it never ran. It is called
	// with the core's lock held, and must not block.
	Ended(id string, until time.Duration)
}

// busyRetryAfter is the Retry-After of a request for which the successor did not reply whether it may begin.
const busyRetryAfter = 250 * time.Millisecond

// RequestIDs returns the tracker of requests that other processes of this node have open. The lock must be held.
func (c *Core) RequestIDs() *handover.RequestIDs { return &c.requestIDs }

// Claim decides whether another process may begin a request.
func (c *Core) Claim(from handover.Peer, id string, until time.Duration) handover.Verdict {
	c.Lock()
	defer c.Unlock()
	return c.requestIDs.Claim(c.Now(), from, id, c.requests[id] != nil, until)
}

// SetSuccessor makes another process decide from now on which requests may begin here; with nil this one decides again.
// The lock must be held.
func (c *Core) SetSuccessor(to Successor) { c.successor, c.requestIDs.AskSuccessor = to, to != nil }

// OpenRequests returns the ids of the requests that are open here or about to begin, with their deadlines. The lock
// must be held.
func (c *Core) OpenRequests() map[string]time.Duration {
	open := make(map[string]time.Duration, len(c.requests))
	for id, r := range c.requests {
		open[id] = r.deadline
	}
	for _, id := range c.requestIDs.Pending() {
		open[id] = c.Now() + time.Minute // its timeout is not known here; its end is reported
	}
	return open
}

// LearnedState returns what the policy has learned. The lock must be held.
func (c *Core) LearnedState() *policy.LearnedState { return c.balancer.LearnedState() }

// Adopt gives the policy what another process has learned. It is called after the server list is set and before the
// first request. The lock must be held.
func (c *Core) Adopt(l *policy.LearnedState) { c.balancer.Adopt(c.Now(), l) }
