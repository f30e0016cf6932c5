package core

import "time"

// LimitTimeout returns the timeout of a request whose last byte arrives now, shortened so that its final response is out
// by Options.FinalResponseBy. It is safe for concurrent use with or without the lock.
func (c *Core) LimitTimeout(timeout time.Duration) time.Duration {
	if c.finalResponseBy == nil {
		return timeout
	}
	by := c.finalResponseBy()
	if by == 0 {
		return timeout
	}
	return min(timeout, by-c.Now()-c.clientRoundTrip)
}

// MustRespond reports whether all requests that are still incomplete need their final response now: one whose last byte
// arrived later would have no time left. It is safe for concurrent use with or without the lock.
func (c *Core) MustRespond() bool { return c.LimitTimeout(time.Nanosecond) <= 0 }

// BodyArrived reports that the last byte of a body which was incomplete at Begin has arrived, or can't arrive any more,
// and how long ago that may have been. The request's timeout starts there, and is limited by the time that is left now.
func (c *Core) BodyArrived(a *Attempt, ago time.Duration) {
	c.Lock()
	defer c.Unlock()
	a.Request.deadline = c.Now() + c.LimitTimeout(a.Request.Timeout-ago-c.clientRoundTrip)
}

// LatestDeadline returns the latest deadline of the requests whose clients do not have the final response yet; 0 if there
// are none. A request counts for longest at most after it arrived, however long its client says that it waits.
func (c *Core) LatestDeadline(longest time.Duration) time.Duration {
	c.Lock()
	defer c.Unlock()
	var latest time.Duration
	for _, r := range c.requests {
		if !r.written {
			latest = max(latest, min(r.deadline, r.Arrived+longest))
		}
	}
	return latest
}
