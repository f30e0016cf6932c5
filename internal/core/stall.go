package core

import "time"

const (
	// heldLeast is how late the policy's timer is at least where this process was held up: nothing in it takes that long.
	minStall = 100 * time.Millisecond
	// heldSoon is how long after that what stood unread meanwhile is still being read.
	backlogReadTime = 100 * time.Millisecond
)

// held is the latest time in which this process did not run, by its machine's doing, as the policy's timer shows, which is due a few
// times a second. What clients sent meanwhile stood unread, and their time was running. It is guarded by the core's lock.
type stall struct {
	timerDue time.Duration // when the timer is, 0: none was set yet
	from, to time.Duration
}

// timer takes in that the timer is set anew: it came, or is given up for lost.
func (h *stall) timerSet(now, due time.Duration) {
	if h.timerDue > 0 && now > h.timerDue+minStall {
		h.from, h.to = h.timerDue, now
	}
	h.timerDue = due
}

// since is from when a client's time counts whose request was read at the given time. It may have come at any moment in which
// nothing was read; the earliest is taken, but for what went by before the timer was due.
func (h *stall) timeoutStart(read time.Duration) time.Duration {
	switch {
	case h.timerDue > 0 && read > h.timerDue+minStall: // the timer is behind this request
		return h.timerDue
	case read <= h.to+backlogReadTime:
		return min(read, h.from)
	}
	return read
}
