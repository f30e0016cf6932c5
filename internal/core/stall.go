package core

import "time"

const (
	// minStall is the smallest delay of the policy's timer that counts as a stall of the process: nothing in the
	// process itself takes that long.
	minStall = 100 * time.Millisecond
	// backlogReadTime is how long after a stall the process still reads what arrived during it.
	backlogReadTime = 100 * time.Millisecond
)

// stall is the latest period in which the machine did not run this process. It is detected by the policy's timer, which
// is due a few times a second. Requests that clients sent meanwhile were not read, but their timeouts were running. It
// is guarded by the core's lock.
type stall struct {
	timerDue time.Duration // when the policy's timer is due; 0 before the first one is set
	from, to time.Duration
}

// timerSet records that the policy's timer is set anew, because it fired or is considered lost.
func (s *stall) timerSet(now, due time.Duration) {
	if s.timerDue > 0 && now > s.timerDue+minStall {
		s.from, s.to = s.timerDue, now
	}
	s.timerDue = due
}

// timeoutStart returns when the timeout of a request starts that was read at the given time. A request read during or
// right after a stall may have arrived at any time in it, of which the earliest is assumed, but no earlier than the
// timer was due.
func (s *stall) timeoutStart(read time.Duration) time.Duration {
	switch {
	case s.timerDue > 0 && read > s.timerDue+minStall: // this request was read before the overdue timer fired
		return s.timerDue
	case read <= s.to+backlogReadTime:
		return min(read, s.from)
	}
	return read
}
