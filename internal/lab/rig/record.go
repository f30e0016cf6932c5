package rig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/oracle"
)

type recordKind uint8

const (
	serverListed recordKind = iota
	serverStarted
	requestSent
	attemptArrived
	attemptEnded // an attempt
	requestServed
	requestRefused
	requestFailed
	clientLeft
	clientTimedOut
	connectionBroken // the connection to the node ended without an answer
	nodeKilled       // a node was killed
	nodeSuspended    // or stopped
)

// record is one thing that a stand-in saw.
type record struct {
	kind       recordKind
	at         time.Duration
	node       int
	id         string
	server     int // index
	attempt    int
	class      int
	key        string
	deadline   time.Duration
	notRun     bool
	capacity   float64
	launchedAt time.Duration
	flag       bool
}

// note keeps a record. r.mu is held.
func (r *rig) appendRecord(rec record) {
	if !r.finished {
		r.records = append(r.records, rec)
	}
}

// told books what the roster has written to a node.
func (r *rig) recordListSent(node int, full bool, servers []listEntry) {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[int]bool{}
	for _, e := range servers {
		seen[e.index] = true
		r.appendRecord(record{kind: serverListed, at: at, node: node, server: e.index, flag: e.State != "Ready", launchedAt: max(0, e.launchedAt)})
	}
	if full {
		for _, v := range r.servers {
			if !seen[v.index] {
				r.appendRecord(record{kind: serverListed, at: at, node: node, server: v.index, flag: true})
			}
		}
	}
}

// started books that a server has come up cold. Its lock is held.
func (r *rig) recordServerStart(v *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendRecord(record{kind: serverStarted, at: r.now(), server: v.index})
}

// recorded books that the last byte of an attempt has reached a server, and returns the attempt's number.
func (r *rig) recordAttempt(id string, v *server, capacity float64) int {
	return r.recordAttemptAt(r.now(), id, v, capacity)
}

func (r *rig) recordAttemptAt(at time.Duration, id string, v *server, capacity float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.attemptCounts[id]
	r.attemptCounts[id]++
	r.recorder.Attempt(at)
	r.appendRecord(record{kind: attemptArrived, at: at, id: id, server: v.index, attempt: n, capacity: capacity})
	if !r.finished {
		r.openAttempts[attemptKey(id, n)] = true
	}
	return n
}

func attemptKey(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// attemptOver books that a server is done with an attempt, or has seen its connection close.
func (r *rig) recordAttemptEnd(id string, n int, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openAttempts, attemptKey(id, n))
	r.appendRecord(record{kind: attemptEnded, at: r.now(), id: id, attempt: n, notRun: notRun})
}

// killed books that a node was killed, and with it all that it held.
func (r *rig) recordNodeKilled(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendRecord(record{kind: nodeKilled, at: r.now(), node: node})
}

// check hands all records to the oracles in the order of their times. r.mu is held.
func (r *rig) checkRules(end time.Duration) *oracle.Book {
	slack := r.options.Slack
	book := fleet.Books(r.scenario, r.scenario.Fleet(), slack, true)
	reorderCrossedEnds(r.records, slack)
	slices.SortStableFunc(r.records, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	home := map[string]record{} // the taking of each request
	for _, e := range r.records {
		if e.kind == requestSent {
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
	for _, e := range r.records {
		t, known := home[e.id]
		switch e.kind {
		case serverListed:
			book.Told(e.at, e.node, r.servers[e.server].ID, e.flag, e.launchedAt)
		case serverStarted:
			book.Started(e.at, r.servers[e.server].ID)
		case requestSent:
			held[e.node][e.id] = true
			book.Taken(e.at, e.node, e.id, e.class, e.deadline)
			book.Keyed(e.id, e.key)
			if stopped[e.node] {
				book.Stopped(e.node, e.id)
			}
		case attemptArrived:
			if known && lost[e.id] {
				continue
			}
			outs[attemptKey(e.id, e.attempt)] = true
			book.Sent(e.at, t.node, e.id, r.servers[e.server].ID, r.scenario.Classes[t.class].Work.Seconds(), e.capacity)
		case attemptEnded:
			if !lost[e.id] && outs[attemptKey(e.id, e.attempt)] {
				delete(outs, attemptKey(e.id, e.attempt))
				if book.Holds(e.id) {
					book.Ended(e.at, t.node, e.id, e.attempt, "over at its server", e.notRun, false)
				}
			}
		case requestServed, requestFailed, requestRefused:
			if lost[e.id] {
				continue
			}
			delete(held[t.node], e.id)
			switch e.kind {
			case requestRefused:
				book.Refused(e.at, t.node, e.id)
			case requestServed:
				book.Served(e.at, t.node, e.id)
			default:
				book.Failed(e.at, t.node, e.id)
			}
		case clientLeft:
			delete(held[t.node], e.id)
			book.Left(e.at, t.node, e.id)
		case clientTimedOut, connectionBroken:
			if e.flag { // its node was killed meanwhile
				lost[e.id] = true
				book.Killed(t.node, []string{e.id})
			}
			if !lost[e.id] {
				delete(held[t.node], e.id)
				book.Overdue(e.at, t.node, e.id)
			}
		case nodeKilled:
			var ids []string
			for id := range held[e.node] {
				ids = append(ids, id)
				lost[id] = true
			}
			held[e.node] = map[string]bool{}
			book.Killed(e.node, ids)
		case nodeSuspended:
			stopped[e.node] = e.flag
			for id := range held[e.node] {
				book.Stopped(e.node, id)
			}
		}
	}
	left := map[string]int{"attempts at servers": len(r.openAttempts)}
	book.Close(end, left)
	return book
}

// settle moves the end of an attempt before the next one's arrival where the two have crossed within slack: the node
// closes the one connection before it writes to the next, but the one server may see it after the other has read. A client
// that leaves is noticed within slack too.
func reorderCrossedEnds(log []record, slack time.Duration) {
	type key struct {
		id string
		n  int
	}
	next := map[key]time.Duration{}
	for _, e := range log {
		if e.kind == attemptArrived {
			next[key{e.id, e.attempt - 1}] = e.at
		}
	}
	for i := range log {
		e := &log[i]
		if e.kind == clientLeft {
			e.at += slack
		}
		if e.kind == attemptEnded {
			if at, ok := next[key{e.id, e.attempt}]; ok && e.at > at && e.at <= at+slack {
				e.at = at - 1
			}
		}
	}
}
