package rig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/oracle"
)

type what uint8

const (
	toldOf what = iota
	startedUp
	taken
	sentTo
	over // an attempt
	servedTo
	refused
	failed
	left
	overdue
	broken // the connection to the node ended without an answer
	dead   // a node was killed
	frozen // or stopped
)

// record is one thing that a stand-in saw.
type record struct {
	what     what
	at       time.Duration
	node     int
	id       string
	server   int // index
	attempt  int
	class    int
	key      string
	until    time.Duration
	notRun   bool
	capacity float64
	launched time.Duration
	out      bool
}

// note keeps a record. r.mu is held.
func (r *rig) note(rec record) {
	if !r.dead {
		r.log = append(r.log, rec)
	}
}

// told books what the roster has written to a node.
func (r *rig) told(node int, full bool, servers []listed) {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[int]bool{}
	for _, e := range servers {
		seen[e.index] = true
		r.note(record{what: toldOf, at: at, node: node, server: e.index, out: e.State != "Ready", launched: max(0, e.launched)})
	}
	if full {
		for _, v := range r.servers {
			if !seen[v.index] {
				r.note(record{what: toldOf, at: at, node: node, server: v.index, out: true})
			}
		}
	}
}

// started books that a server has come up cold. Its lock is held.
func (r *rig) started(v *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(record{what: startedUp, at: r.now(), server: v.index})
}

// recorded books that the last byte of an attempt has reached a server, and returns the attempt's number.
func (r *rig) recorded(id string, v *server, capacity float64) int {
	return r.recordedAt(r.now(), id, v, capacity)
}

func (r *rig) recordedAt(at time.Duration, id string, v *server, capacity float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nth[id]
	r.nth[id]++
	r.rec.Attempt(at)
	r.note(record{what: sentTo, at: at, id: id, server: v.index, attempt: n, capacity: capacity})
	if !r.dead {
		r.open[attemptKey(id, n)] = true
	}
	return n
}

func attemptKey(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// attemptOver books that a server is done with an attempt, or has seen its connection close.
func (r *rig) attemptOver(id string, n int, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, attemptKey(id, n))
	r.note(record{what: over, at: r.now(), id: id, attempt: n, notRun: notRun})
}

// killed books that a node was killed, and with it all that it held.
func (r *rig) killed(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(record{what: dead, at: r.now(), node: node})
}

// check hands all records to the oracles in the order of their times. r.mu is held.
func (r *rig) check(end time.Duration) *oracle.Book {
	slack := r.opt.Slack
	book := fleet.Books(r.s, r.s.Fleet(), slack, true)
	settle(r.log, slack)
	slices.SortStableFunc(r.log, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	home := map[string]record{} // the taking of each request
	for _, e := range r.log {
		if e.what == taken {
			home[e.id] = e
		}
	}
	held := make([]map[string]bool, len(r.nodes)) // open requests of each node
	for i := range held {
		held[i] = map[string]bool{}
	}
	stopped := map[int]bool{}
	lost := map[string]bool{} // their node was killed, or their connection broke with it
	outs := map[string]bool{} // attempts that are out
	for _, e := range r.log {
		t, known := home[e.id]
		switch e.what {
		case toldOf:
			book.Told(e.at, e.node, r.servers[e.server].ID, e.out, e.launched)
		case startedUp:
			book.Started(e.at, r.servers[e.server].ID)
		case taken:
			held[e.node][e.id] = true
			book.Taken(e.at, e.node, e.id, e.class, e.until)
			book.Keyed(e.id, e.key)
			if stopped[e.node] {
				book.Stopped(e.node, e.id)
			}
		case sentTo:
			if known && lost[e.id] {
				continue
			}
			outs[attemptKey(e.id, e.attempt)] = true
			book.Sent(e.at, t.node, e.id, r.servers[e.server].ID, r.s.Classes[t.class].Work.Seconds(), e.capacity)
		case over:
			if !lost[e.id] && outs[attemptKey(e.id, e.attempt)] {
				delete(outs, attemptKey(e.id, e.attempt))
				if book.Holds(e.id) {
					book.Ended(e.at, t.node, e.id, e.attempt, "over at its server", e.notRun, false)
				}
			}
		case servedTo, failed, refused:
			if lost[e.id] {
				continue
			}
			delete(held[t.node], e.id)
			switch e.what {
			case refused:
				book.Refused(e.at, t.node, e.id)
			case servedTo:
				book.Served(e.at, t.node, e.id)
			default:
				book.Failed(e.at, t.node, e.id)
			}
		case left:
			delete(held[t.node], e.id)
			book.Left(e.at, t.node, e.id)
		case overdue, broken:
			if e.out { // its node was killed meanwhile
				lost[e.id] = true
				book.Killed(t.node, []string{e.id})
			}
			if !lost[e.id] {
				delete(held[t.node], e.id)
				book.Overdue(e.at, t.node, e.id)
			}
		case dead:
			var ids []string
			for id := range held[e.node] {
				ids = append(ids, id)
				lost[id] = true
			}
			held[e.node] = map[string]bool{}
			book.Killed(e.node, ids)
		case frozen:
			stopped[e.node] = e.out
			for id := range held[e.node] {
				book.Stopped(e.node, id)
			}
		}
	}
	left := map[string]int{"attempts at servers": len(r.open)}
	book.Close(end, left)
	return book
}

// settle moves the end of an attempt before the next one's arrival where the two have crossed within slack: the node
// closes the one connection before it writes to the next, but the one server may see it after the other has read. A client
// that leaves is noticed within slack too.
func settle(log []record, slack time.Duration) {
	type key struct {
		id string
		n  int
	}
	next := map[key]time.Duration{}
	for _, e := range log {
		if e.what == sentTo {
			next[key{e.id, e.attempt - 1}] = e.at
		}
	}
	for i := range log {
		e := &log[i]
		if e.what == left {
			e.at += slack
		}
		if e.what == over {
			if at, ok := next[key{e.id, e.attempt}]; ok && e.at > at && e.at <= at+slack {
				e.at = at - 1
			}
		}
	}
}
