package node

import "time"

const (
	pushWait = 2 * time.Second         // how long a watch waits where it costs nothing: a silent agent is noticed soon
	pushOver = 1500 * time.Millisecond // an answer that is later than the wait by this is not to come any more
	// Where each call is work for all nodes' discovery a watch waits longer, and each of them by chance: nodes whose watches
	// fell silent together find out one after the other, over more time than discovery takes to hear all of them once.
	askLeast = 8 * time.Second
	askMost  = 24 * time.Second
	askOver  = 400 * time.Millisecond // a call that then stands in line for 2 s is answered within toldAfter and a short grace of drains

	fetchWait = 2500 * time.Millisecond // for a whole list: discovery lets a call stand in line for less
	dialWait  = time.Second             // an address where no connection comes up is as good as one that refuses

	// By PROTOCOL, what a silent watch misses counts as told so long after its wait is over,
	toldAfter = 2 * time.Second
	// and all that another discovery has so long after SIGHUP.
	reloadTold = 4 * time.Second

	bodyWait = 250 * time.Millisecond // for the rest of an answer that has begun, at first

	backoff   = 50 * time.Millisecond
	backoffTo = 2 * time.Second
)

// rhythm says how long a call to discovery may take and when the next one follows, so that a fresh list is in hand before
// what a broken watch misses counts as told and the drains' grace is over. It is pure: its caller has the time and the dice.
// It belongs to one watch loop.
type rhythm struct {
	push  bool          // a call costs nobody else anything, and what the agent has counts whether or not it is asked
	grace time.Duration // of drains
	due   time.Duration // until then a fresh list is owed, and a failed call is made anew by itself
	rest  time.Duration // behind the latest failure; 0: none since an answer
	slow  int           // answers since the latest whole one that broke off once they had begun
}

// failure is how a call failed.
type failure uint8

const (
	failedCall failure = iota // an error, or the connection broke before an answer
	noAnswer                  // nothing came within the call's limit
	brokenOff                 // an answer had begun: what it was to tell may count as told
)

// body is how long the rest of an answer that has begun may take. It was told as it was written, so that a part of the grace is
// all there is; where answers keep breaking off at that they take longer, and half a grace is not to be had.
func (r *rhythm) body() time.Duration {
	return min(max(bodyWait, r.grace/2)<<min(r.slow, 8), fetchWait)
}

// call is how long a call waits for news, and the limit on the whole of it. Draw is from [0, 1).
func (r *rhythm) call(whole bool, draw float64) (wait, limit time.Duration) {
	switch {
	case whole:
		return 0, fetchWait
	case r.push:
		return pushWait, pushWait + pushOver
	}
	wait = askLeast + time.Duration(draw*float64(askMost-askLeast))
	return wait, wait + askOver
}

// owe notes that a fresh list is to be in hand once what counts as told then is past its grace.
func (r *rhythm) owe(told time.Duration) { r.due = max(r.due, told+r.grace) }

// answered notes that a call was answered with a list.
func (r *rhythm) answered() { r.due, r.rest, r.slow = 0, 0, 0 }

// failed notes that a call has failed, whose wait was over at the given time, and tells how long to rest before the next one. Not
// again: nothing is owed, and the policy says when to ask.
func (r *rhythm) failed(now, over time.Duration, how failure, draw float64) (rest time.Duration, again bool) {
	switch how {
	case noAnswer:
		r.owe(over + toldAfter)
	case brokenOff:
		r.owe(now)
		r.slow++
	}
	if !r.push && now >= r.due {
		return 0, false
	}
	if how == noAnswer && r.rest == 0 {
		r.rest = backoff
		return 0, true // it has waited long enough
	}
	// An agent's news count at once when it is back: a part of the grace is all that may go by without asking.
	r.rest = min(max(2*r.rest, backoff), max(backoff, min(r.grace/4, backoffTo)))
	return time.Duration(float64(r.rest) * (0.5 + draw)), true
}
