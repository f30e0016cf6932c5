package handover

import (
	"time"

	"portstall/policy"
)

// Verdict is the decision on a request's id. Its values are sent to processes of other builds: their order stays.
type Verdict uint8

const (
	// Granted: the request may begin.
	Granted Verdict = iota
	// AlreadyOpen: a request with the id is open here or at another process, or may have run at another one.
	AlreadyOpen
	// AskFirst: the successor must be asked first; Resolved must be called once that is done.
	AskFirst
	// Undecided: no decision is possible; the request is rejected without being sent.
	Undecided
)

// RequestIDs keeps requests with the same id from being open at the same time, or from running one after the other, at the
// processes of a node. The process that serves decides; its predecessor asks it before each request that it still receives. Its owner guards it with a
// lock, and knows which ids are open in this process.
type RequestIDs struct {
	AskSuccessor bool                     // a successor must be asked first
	remote       map[string]remoteRequest // ids open at other processes
	pending      map[string]bool          // ids whose begin waits for the successor
	ranHere      finishedRequests         // ended requests of this process that may have run
	ranElsewhere finishedRequests         // those of other processes
	sweepAt      time.Duration            // when remote is swept next
}

// remoteRequest is a request that is open at another process.
type remoteRequest struct {
	peer  Peer          // 0: reported by a third process, and dropped only at its deadline
	until time.Duration // its deadline
}

// Begin decides on a request that is about to begin. The argument here says whether a request with its id is open in
// this process.
func (r *RequestIDs) Begin(now time.Duration, id string, here bool) Verdict {
	r.dropExpired(now)
	switch {
	case here || r.openElsewhere(now, id):
		return AlreadyOpen
	case r.AskSuccessor:
		if r.pending == nil {
			r.pending = map[string]bool{}
		}
		r.pending[id] = true
		return AskFirst
	}
	return Granted
}

// dropExpired drops the requests at other processes that are past their deadline, once every sweepInterval.
func (r *RequestIDs) dropExpired(now time.Duration) {
	if len(r.remote) > 0 && now >= r.sweepAt {
		r.Remote(now)
		r.sweepAt = now + sweepInterval
	}
}

// sweepInterval is the interval at which expired requests of other processes are dropped.
const sweepInterval = 10 * time.Second

// Pending returns the ids whose begin waits for a successor's reply. For a process that adopts the state they are open
// here.
func (r *RequestIDs) Pending() (ids []string) {
	for id := range r.pending {
		ids = append(ids, id)
	}
	return ids
}

// Resolved ends the wait that Begin started with AskFirst.
func (r *RequestIDs) Resolved(id string) { delete(r.pending, id) }

// Claim decides on a request that a predecessor is about to begin, and that ends at until at the latest.
func (r *RequestIDs) Claim(now time.Duration, from Peer, id string, here bool, until time.Duration) Verdict {
	switch {
	case here || r.openElsewhere(now, id) || r.ran(now, id):
		return AlreadyOpen
	case r.AskSuccessor: // another process decides now, and this one may exit before the request has ended
		return Undecided
	}
	r.addRemote(id, remoteRequest{from, until})
	return Granted
}

// addRemote records a request that is open at another process.
func (r *RequestIDs) addRemote(id string, request remoteRequest) {
	if r.remote == nil {
		r.remote = map[string]remoteRequest{}
	}
	r.remote[id] = request
}

// SetRemote replaces what is known about another process: the requests that it has open, and those that it knows to be
// open elsewhere (indirect), each with its deadline.
func (r *RequestIDs) SetRemote(from Peer, open, indirect map[string]time.Duration) {
	r.PeerExited(from)
	for id, until := range indirect {
		r.addRemote(id, remoteRequest{0, until})
	}
	for id, until := range open {
		r.addRemote(id, remoteRequest{from, until})
	}
}

// openElsewhere reports whether a request is open at another process, may have run there, or waits for the successor's
// reply here.
func (r *RequestIDs) openElsewhere(now time.Duration, id string) bool {
	_, ran := r.ranElsewhere.find(now, id)
	return ran || r.pending[id] || now < r.remote[id].until
}

// ran reports whether a request has ended here that may have run.
func (r *RequestIDs) ran(now time.Duration, id string) bool {
	_, ran := r.ranHere.find(now, id)
	return ran
}

// Run returns the first attempt of an ended request of this process that may have run, if there was one.
func (r *RequestIDs) Run(now time.Duration, id string) (run policy.Run, known bool) {
	return r.ranHere.find(now, id)
}

// Ended records that a request has ended here that may have run, and returns until when that is remembered.
func (r *RequestIDs) Ended(now time.Duration, id string, run policy.Run) (until time.Duration) {
	until = now + FinishedRetention
	r.ranHere.add(now, id, finishedRequest{until, run})
	return until
}

// RemoteEnded records that a request has ended at another process. If it may have run, it must not begin here before the
// given time; 0 if it never ran.
func (r *RequestIDs) RemoteEnded(now time.Duration, id string, until time.Duration) {
	delete(r.remote, id)
	if now < until {
		r.ranElsewhere.add(now, id, finishedRequest{until: until})
	}
}

// RetainOpen records that the requests that are open at another process may have run: that process is about to be
// forgotten, and whether they did is not known.
func (r *RequestIDs) RetainOpen(now time.Duration, at Peer) {
	for id, request := range r.remote {
		if request.peer == at && at != 0 {
			r.ranElsewhere.add(now, id, finishedRequest{until: now + FinishedRetention})
		}
	}
}

// Blocked returns the ids that another process that serves must not begin: those open at other processes, and those that
// may have run.
func (r *RequestIDs) Blocked(now time.Duration) map[string]time.Duration {
	all := r.Remote(now)
	r.ranElsewhere.addTo(now, all)
	r.ranHere.addTo(now, all)
	return all
}

// PeerExited records that another process has exited, which ends its requests.
func (r *RequestIDs) PeerExited(from Peer) {
	for id, request := range r.remote {
		if request.peer == from && from != 0 {
			delete(r.remote, id)
		}
	}
}

// Remote returns the requests that are open at other processes, and drops those past their deadline.
func (r *RequestIDs) Remote(now time.Duration) map[string]time.Duration {
	all := make(map[string]time.Duration, len(r.remote))
	for id, request := range r.remote {
		if now < request.until {
			all[id] = request.until
		} else {
			delete(r.remote, id)
		}
	}
	return all
}
