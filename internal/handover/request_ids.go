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

// Begin decides on a request that is about to begin. Here is whether a request with its id is open in this process.
func (i *RequestIDs) Begin(now time.Duration, id string, here bool) Verdict {
	switch {
	case here || i.pending[id] || now < i.remote[id].until:
		return AlreadyOpen
	case i.AskSuccessor:
		if i.pending == nil {
			i.pending = map[string]bool{}
		}
		i.pending[id] = true
		return AskFirst
	}
	return Granted
}

// Pending returns the ids whose begin waits for a successor's reply. For a process that adopts the state they are open
// here.
func (i *RequestIDs) Pending() (ids []string) {
	for id := range i.pending {
		ids = append(ids, id)
	}
	return ids
}

// Resolved ends the wait that Begin started with AskFirst.
func (i *RequestIDs) Resolved(id string) { delete(i.pending, id) }

// Claim decides on a request that a predecessor is about to begin, and that ends at until at the latest.
func (i *RequestIDs) Claim(now time.Duration, from Peer, id string, here bool, until time.Duration) Verdict {
	switch {
	case here || i.pending[id] || now < i.remote[id].until:
		return AlreadyOpen
	case i.AskSuccessor: // another process decides now, and this one may exit before the request has ended
		return Undecided
	}
	i.addRemote(id, remoteRequest{from, until})
	return Granted
}

// addRemote records a request that is open at another process.
func (i *RequestIDs) addRemote(id string, t remoteRequest) {
	if i.remote == nil {
		i.remote = map[string]remoteRequest{}
	}
	i.remote[id] = t
}

// SetRemote replaces what is known about another process: the requests that it has open, and those that it knows to be
// open elsewhere (indirect), each with its deadline.
func (i *RequestIDs) SetRemote(from Peer, open, indirect map[string]time.Duration) {
	i.PeerExited(from)
	for id, until := range indirect {
		i.addRemote(id, remoteRequest{0, until})
	}
	for id, until := range open {
		i.addRemote(id, remoteRequest{from, until})
	}
}

// RemoteEnded records that a request has ended at another process.
func (i *RequestIDs) RemoteEnded(id string) { delete(i.remote, id) }

// PeerExited records that another process has exited, which ends its requests.
func (i *RequestIDs) PeerExited(from Peer) {
	for id, t := range i.remote {
		if t.peer == from && from != 0 {
			delete(i.remote, id)
		}
	}
}

// Remote returns the requests that are open at other processes, and drops those past their deadline.
func (i *RequestIDs) Remote(now time.Duration) map[string]time.Duration {
	all := make(map[string]time.Duration, len(i.remote))
	for id, t := range i.remote {
		if now < t.until {
			all[id] = t.until
		} else {
			delete(i.remote, id)
		}
	}
	return all
}
