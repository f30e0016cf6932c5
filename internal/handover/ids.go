package handover

import "time"

// Verdict is what becomes of a request's id.
type Verdict uint8

const (
	Granted Verdict = iota // the request may begin
	Open                   // one of that id is open, here or at another process
	Ask                    // the successor is to be asked first; Answered is told of what it said
	Busy                   // it can't be told: the request is turned away unsent
)

// Ids keeps two processes of a node from having requests of one id open at the same time. The one that serves decides; its
// predecessor asks it before each request that still comes to it. Its owner guards it, and knows which ids are open here.
type Ids struct {
	Asks    bool // a successor is asked first
	remote  map[string]remoteRequest
	pending map[string]bool
}

// their is a request open at another process.
type remoteRequest struct {
	peer  Peer // 0: known by hearsay, and until its time alone
	until time.Duration
}

// Begin takes in that a request wants to begin; here tells whether one of its id is open here.
func (i *Ids) Begin(now time.Duration, id string, here bool) Verdict {
	switch {
	case here || i.pending[id] || now < i.remote[id].until:
		return Open
	case i.Asks:
		if i.pending == nil {
			i.pending = map[string]bool{}
		}
		i.pending[id] = true
		return Ask
	}
	return Granted
}

// Asked names the requests whose begin waits for a successor's word: to whoever takes over they are open here.
func (i *Ids) Asked() (ids []string) {
	for id := range i.pending {
		ids = append(ids, id)
	}
	return ids
}

// Answered ends what Begin left with Ask.
func (i *Ids) Answered(id string) { delete(i.pending, id) }

// Claim takes in that a predecessor wants to begin a request that lasts until then at most.
func (i *Ids) Claim(now time.Duration, from Peer, id string, here bool, until time.Duration) Verdict {
	switch {
	case here || i.pending[id] || now < i.remote[id].until:
		return Open
	case i.Asks: // another one decides by now, and this one may be gone before the request has ended
		return Busy
	}
	i.addRemote(id, remoteRequest{from, until})
	return Granted
}

func (i *Ids) addRemote(id string, t remoteRequest) {
	if i.remote == nil {
		i.remote = map[string]remoteRequest{}
	}
	i.remote[id] = t
}

// Hold takes in what another process has open, and what that knows of others (hearsay). It takes the place of what was
// known of it.
func (i *Ids) Hold(from Peer, open, hearsay map[string]time.Duration) {
	i.Gone(from)
	for id, until := range hearsay {
		i.addRemote(id, remoteRequest{0, until})
	}
	for id, until := range open {
		i.addRemote(id, remoteRequest{from, until})
	}
}

// Ended takes in that a request has ended at another process.
func (i *Ids) Ended(id string) { delete(i.remote, id) }

// Gone takes in that a process has ended, and its requests with it.
func (i *Ids) Gone(from Peer) {
	for id, t := range i.remote {
		if t.peer == from && from != 0 {
			delete(i.remote, id)
		}
	}
}

// Theirs names the requests that other processes have open, and drops those whose time is up.
func (i *Ids) Theirs(now time.Duration) map[string]time.Duration {
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
