package node

import "time"

const (
	pushWait = 2 * time.Second         // how long a watch waits where it costs nothing: a silent agent is noticed soon
	pushOver = 1500 * time.Millisecond // an answer that is later than the wait by this is not to come any more
	// Where each call is work for all nodes' discovery a watch waits as long as it may: one that fell silent once its call was
	// taken is opened anew toldIn after that, within a grace of drains of half a second for all that lies between two calls.
	askMost  = 5600 * time.Millisecond
	askLeast = 5200 * time.Millisecond
	askOver  = 400 * time.Millisecond // a call that then stands in line for 2 s is answered within toldAfter and a short grace
	// Nodes that were answered together come apart at their next call, over about as long as discovery takes to hear all of them.
	askApart = 500 * time.Millisecond
	// Where discovery can't bear that, as it shows by refusing a call that comes of no herd, a watch waits longer for a while.
	crowdLeast = 8 * time.Second
	crowdMost  = 24 * time.Second
	crowdFor   = 10 * time.Minute // about; by chance half as much more or less

	stoodFor = 500 * time.Millisecond // a call that failed so late stood in line: it has waited long enough

	fetchWait = 2500 * time.Millisecond // for any answer: discovery lets a call stand in line for less
	dialWait  = time.Second             // an address where no connection comes up is as good as one that refuses

	// By PROTOCOL, what a silent watch misses counts as told so long after its wait is over,
	toldAfter = 2 * time.Second
	// and whatever else holds, a change so long after discovery had it and could be reached, once a call failed or was given up.
	toldIn = 6 * time.Second
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

	began time.Duration // of the latest call
	fresh time.Duration // when the latest answer was there; 0: none yet
	alone bool          // it came while most others' did not: what is called next is called at another time than theirs
	broke bool          // a call has failed since
	crowd time.Duration // until then a watch waits longer; 0: it does not
}

// failure is how a call failed.
type failure uint8

const (
	failedCall failure = iota // an error, or the connection broke before an answer
	turnedAway                // answered, but not with a list: 503 where too many stand in line
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
	least, most := askApart, askMost
	switch {
	case r.crowd > 0:
		least, most = crowdLeast, crowdMost
	case r.alone:
		least = askLeast
	}
	wait = least + time.Duration(draw*float64(most-least))
	if limit = wait + askOver; r.broke {
		limit = max(limit, fetchWait) // it stands in line with all that have lost theirs, and is not given up before it is heard
	}
	return wait, limit
}

// resume notes that the policy has asked for a watch.
func (r *rhythm) resume() { r.due, r.rest, r.slow = 0, 0, 0 }

// begin notes that a call begins.
func (r *rhythm) begin(now time.Duration) {
	r.began = now
	if now >= r.crowd {
		r.crowd = 0
	}
}

// owe notes that a fresh list is to be in hand once what counts as told then is past its grace.
func (r *rhythm) owe(told time.Duration) { r.due = max(r.due, told+r.grace) }

// answered notes that a call was answered with a list, and whether that told anything. News come to all nodes that watch at the
// same moment; an answer behind a failure comes when discovery has turned to this one, and one without news at its wait's end.
func (r *rhythm) answered(now time.Duration, news bool) {
	r.alone = !news || r.broke
	r.due, r.rest, r.slow, r.fresh, r.broke = 0, 0, 0, now, false
}

// failed notes that a call has failed, whose wait was over at the given time, and tells how long to rest before the next one. Not
// again: nothing is owed, and the policy says when to ask.
func (r *rhythm) failed(now, over time.Duration, how failure, draw float64) (rest time.Duration, again bool) {
	first, alone := !r.broke, r.alone
	r.broke = true
	r.alone = alone && how == noAnswer // others lose theirs in the same moment, but each gives up at the end of its own wait
	switch how {
	case turnedAway:
		if !r.push && first && alone { // it comes of no herd, but of all nodes' usual calls
			r.crowd = now + time.Duration(float64(crowdFor)*(0.5+draw))
		}
	case noAnswer:
		r.owe(over + toldAfter)
	case brokenOff:
		r.owe(now)
		r.slow++
	}
	stood := now-r.began >= stoodFor && r.fresh > 0 && now < r.fresh+toldIn+r.grace
	if !r.push && now >= r.due && !stood {
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
