package endpoints

import "time"

const (
	// pushWait is how long a watch waits where lists are pushed and calls cost nothing. It is short so that a silent agent
	// is noticed soon.
	pushWait = 2 * time.Second
	// pushMargin is how long after its wait a response may still come; a later one is not expected any more.
	pushMargin = 1500 * time.Millisecond

	// MinAskWait and MaxAskWait are the bounds of a watch's wait where each call costs the discovery of all nodes work,
	// so that a watch waits as long as it may: one that falls silent once discovery has accepted its call is reopened
	// within MaxAnnounceDelay, and a drain grace of 0.5 s covers the time between two calls.
	MinAskWait = 5200 * time.Millisecond
	MaxAskWait = 5600 * time.Millisecond
	// askMargin is how long after its wait a response may still come. A call that then queues for 2 s is answered within
	// silentAnnounceDelay and a short grace.
	askMargin = 400 * time.Millisecond
	// minSpreadAskWait replaces MinAskWait after a response that many nodes got at the same time. Their next calls are
	// then spread over about the time that discovery takes to hear all of them.
	minSpreadAskWait = 500 * time.Millisecond
	// MinOverloadWait and MaxOverloadWait are the bounds of a watch's wait while discovery can't serve the usual rate.
	// It shows that by rejecting a call that is not part of a burst of many nodes' calls.
	MinOverloadWait = 8 * time.Second
	MaxOverloadWait = 24 * time.Second
	// overloadPeriod is the mean time for which the overload waits apply; the actual one is random, up to half more or
	// less.
	overloadPeriod = 10 * time.Minute

	// queuedCallTime is the duration from which on a failed call counts as having queued at discovery: it has waited
	// long enough.
	queuedCallTime = 500 * time.Millisecond

	// MinWatchInterval is the least time between the starts of two watches whose responses come at once. Discovery
	// counts a call within 200 ms of a response as the continuation of that watch.
	MinWatchInterval = 50 * time.Millisecond

	// FetchTimeout limits the wait for any response. Discovery lets a call queue for less.
	FetchTimeout = 2500 * time.Millisecond
	// DialTimeout limits connecting. An address where no connection is established in this time is as good as one that
	// refuses.
	DialTimeout = time.Second

	// silentAnnounceDelay is from the protocol: what a silent watch misses counts as announced this long after the
	// watch's wait.
	silentAnnounceDelay = 2 * time.Second
	// MaxAnnounceDelay is from the protocol: whatever else holds, once a call failed or timed out a change counts as
	// announced this long after discovery had it and could be reached.
	MaxAnnounceDelay = 6 * time.Second
	// ReloadAnnounceDelay is from the protocol: all that another discovery lists counts as announced this long after
	// SIGHUP.
	ReloadAnnounceDelay = 4 * time.Second

	// minBodyTimeout is the least time that the rest of a response may take once it has begun.
	minBodyTimeout = 250 * time.Millisecond

	// minBackoff and maxBackoff bound the delay before a failed call is retried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Schedule decides how long a call to discovery may take and when the next one follows, so that a fresh list
// arrives before the changes missed by a broken watch count as announced and the drain grace has passed. It is a pure
// state machine: its caller passes the time and the random numbers. It belongs to one watch loop and needs no lock.
type Schedule struct {
	Push    bool          // an agent pushes lists: a call costs other nodes nothing, and changes count as announced without one
	Grace   time.Duration // grace of drains
	listDue time.Duration // until then a fresh list is due, and a failed call is retried without the policy
	delay   time.Duration // delay after the latest failure; 0: none since a response
	// brokenResponses counts the responses since the latest complete one that broke off after they had begun.
	brokenResponses int

	callStart    time.Duration // when the latest call began
	lastResponse time.Duration // when the latest response arrived; 0: none yet
	// staggered is set where the latest response came while most other nodes got none, so that this node's next call is
	// made at another time than theirs.
	staggered     bool
	failing       bool          // a call has failed since the latest response
	overloadUntil time.Duration // until then the overload waits apply; 0: they don't
}

// Failure is the way in which a call failed.
type Failure uint8

const (
	CallError      Failure = iota // an error, or the connection broke before a response
	CallRejected                  // a response that is no list, such as 503 where too many calls are queued
	CallTimeout                   // no response within the call's limit
	ResponseBroken                // a response had begun: what it contained may count as announced
)

// BodyTimeout returns how long the rest of a response that has begun may take. Its contents were announced as it was
// written, so only a part of the grace is available. Where responses keep breaking off at that limit they need
// longer, and the limit doubles with each: half a grace can't be met there.
func (s *Schedule) BodyTimeout() time.Duration {
	return min(max(minBodyTimeout, s.Grace/2)<<min(s.brokenResponses, 8), FetchTimeout)
}

// CallTimes returns how long a call waits for a change, and the limit on the complete call. random is a random number
// from [0, 1).
func (s *Schedule) CallTimes(full bool, random float64) (wait, limit time.Duration) {
	switch {
	case full:
		return 0, FetchTimeout
	case s.Push:
		return pushWait, pushWait + pushMargin
	}
	minWait, maxWait := minSpreadAskWait, MaxAskWait
	switch {
	case s.overloadUntil > 0:
		minWait, maxWait = MinOverloadWait, MaxOverloadWait
	case s.staggered:
		minWait = MinAskWait
	}
	wait = minWait + time.Duration(random*float64(maxWait-minWait))
	if limit = wait + askMargin; s.failing {
		limit = max(limit, FetchTimeout) // it queues with the calls of all nodes that lost theirs, and must not time out before its turn
	}
	return wait, limit
}

// Reset records that the policy has asked for a watch.
func (s *Schedule) Reset() { s.listDue, s.delay, s.brokenResponses = 0, 0, 0 }

// CallStarted records that a call begins.
func (s *Schedule) CallStarted(now time.Duration) {
	s.callStart = now
	if now >= s.overloadUntil {
		s.overloadUntil = 0
	}
}

// RequireFresh records that a fresh list must arrive before the grace of changes announced at the given time has passed.
func (s *Schedule) RequireFresh(announced time.Duration) {
	s.listDue = max(s.listDue, announced+s.Grace)
}

// CallSucceeded records that a call returned a list, and whether that contained a change. A change reaches all nodes
// that watch at the same moment; a response after a failure comes in this node's turn at discovery, and one without a
// change at the end of its wait.
func (s *Schedule) CallSucceeded(now time.Duration, changed bool) {
	s.staggered = !changed || s.failing
	s.listDue, s.delay, s.brokenResponses, s.lastResponse, s.failing = 0, 0, 0, now, false
}

// CallFailed records that a call has failed whose wait was to end at waitEnd, and returns the delay before the next
// one. retry is false where no list is due: then the policy decides when to ask.
func (s *Schedule) CallFailed(now, waitEnd time.Duration, failure Failure, random float64) (delay time.Duration, retry bool) {
	first, staggered := !s.failing, s.staggered
	s.failing = true
	s.staggered = staggered && failure == CallTimeout // other failures hit many nodes at once; a call times out at the end of its own wait
	switch failure {
	case CallRejected:
		if !s.Push && first && staggered { // the call was not part of a burst: discovery is overloaded by the usual calls of all nodes
			s.overloadUntil = now + time.Duration(float64(overloadPeriod)*(0.5+random))
		}
	case CallTimeout:
		s.RequireFresh(waitEnd + silentAnnounceDelay)
	case ResponseBroken:
		s.RequireFresh(now)
		s.brokenResponses++
	}
	queued := now-s.callStart >= queuedCallTime && s.lastResponse > 0 && now < s.lastResponse+MaxAnnounceDelay+s.Grace
	if !s.Push && now >= s.listDue && !queued {
		return 0, false
	}
	if failure == CallTimeout && s.delay == 0 {
		s.delay = minBackoff
		return 0, true // the call itself has waited long enough
	}
	// The changes of an agent that is back count at once: only a part of the grace may pass between two calls.
	s.delay = min(max(2*s.delay, minBackoff), max(minBackoff, min(s.Grace/4, maxBackoff)))
	return time.Duration(float64(s.delay) * (0.5 + random)), true
}
