package handover

import "time"

// Verdict is the decision on a request's id. Its values are sent to processes of other builds: their order stays.
type Verdict uint8

const (
	// Granted: the request may begin.
	Granted Verdict = iota
	// AlreadyOpen: a request with the id is open, here or at another process.
	AlreadyOpen
	// AskFirst: the successor must be asked first; Resolved must be called once that is done.
	AskFirst
	// Undecided: no decision is possible; the request is rejected without being sent.
	Undecided
)

// RequestIDs keeps two processes of a node from having requests with the same id open at the same time. The process
// that serves decides; its predecessor asks it before each request that it still receives. Its owner guards it with a
// lock, and knows which ids are open in this process.
type RequestIDs struct {
	AskSuccessor bool                     // a successor must be asked first
	remote       map[string]remoteRequest // ids open at other processes
	pending      map[string]bool          // ids whose begin waits for the successor
}

// remoteRequest is a request that is open at another process.
type remoteRequest struct {
	peer  Peer          // 0: reported by a third process, and dropped only at its deadline
	until time.Duration // its deadline
}

// Begin decides on a request that is about to begin. The argument here says whether a request with its id is open in
// this process.
func (r *RequestIDs) Begin(now time.Duration, id string, here bool) Verdict {
	switch {
	case here || r.pending[id] || now < r.remote[id].until:
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
	case here || r.pending[id] || now < r.remote[id].until:
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

// RemoteEnded records that a request has ended at another process.
func (r *RequestIDs) RemoteEnded(id string) { delete(r.remote, id) }

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
