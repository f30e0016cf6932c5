package rig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/oracle"
)

// recordKind is the kind of a record.
type recordKind uint8

const (
	serverListed     recordKind = iota // discovery sent a node an entry of the server list
	serverStarted                      // a server has started, cold
	requestSent                        // a client has written a request to a node
	attemptArrived                     // the last byte of an attempt has reached a server
	attemptEnded                       // a server has finished an attempt, or its connection was closed
	requestServed                      // a client received the response of a server
	requestRefused                     // a client received a rejection that allows retries
	requestFailed                      // a client received any other response
	clientLeft                         // a client disconnected early
	clientTimedOut                     // a client's time was up without a response
	connectionBroken                   // the connection to the node ended without a response
	nodeKilled                         // a node was killed
	nodeSuspended                      // a node was suspended or resumed
)

// record is one event as a stand-in or a client saw it. Which fields are set depends on its kind.
type record struct {
	kind     recordKind
	at       time.Duration
	node     int           // index of the node
	id       string        // of the request
	server   int           // index of the server
	attempt  int           // number of the attempt within its request
	class    int           // index of the class
	key      string        // idempotency key that must stay in one pod; empty: none
	deadline time.Duration // of the client
	notRun   bool          // the server rejected the attempt without running it
	capacity float64       // of the server, in seconds of work a second, if it is cold; 0: it is warm
	launched time.Duration // last start of the server; 0: long ago

	// flag is set if: the server is draining or removed (serverListed); the node was killed meanwhile (connectionBroken);
	// it was suspended rather than resumed (nodeSuspended).
	flag bool
}

// appendRecord stores a record until the run has finished. The caller holds r.mu.
func (r *rig) appendRecord(rec record) {
	if !r.finished {
		r.records = append(r.records, rec)
	}
}

// recordListSent records the entries that discovery has sent to a node, as a full list or as changes. A full list
// without a server says that this server is removed.
func (r *rig) recordListSent(node int, full bool, servers []listEntry) {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[int]bool{}
	for _, entry := range servers {
		listed[entry.index] = true
		r.appendRecord(record{kind: serverListed, at: at, node: node, server: entry.index, flag: entry.State != "Ready",
			launched: max(0, entry.launched)})
	}
	if full {
		for _, v := range r.servers {
			if !listed[v.index] {
				r.appendRecord(record{kind: serverListed, at: at, node: node, server: v.index, flag: true})
			}
		}
	}
}

// recordServerStart records that a server has started, cold. The caller holds the server's lock.
func (r *rig) recordServerStart(v *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendRecord(record{kind: serverStarted, at: r.now(), server: v.index})
}

// recordAttempt records that the last byte of an attempt has reached a server, and returns the attempt's number within
// its request.
func (r *rig) recordAttempt(id string, v *server, capacity float64) int {
	return r.recordAttemptAt(r.now(), id, v, capacity)
}

// recordAttemptAt is recordAttempt for an attempt that arrived at the given time.
func (r *rig) recordAttemptAt(at time.Duration, id string, v *server, capacity float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.attemptCounts[id]
	r.attemptCounts[id]++
	r.recorder.RecordAttempt(at)
	r.appendRecord(record{kind: attemptArrived, at: at, id: id, server: v.index, attempt: n, capacity: capacity})
	if !r.finished {
		r.openAttempts[attemptKey(id, n)] = true
	}
	return n
}

// attemptKey returns the key of a request's n-th attempt in maps.
func attemptKey(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// recordAttemptEnd records that a server has finished an attempt, or that its connection was closed.
func (r *rig) recordAttemptEnd(id string, n int, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openAttempts, attemptKey(id, n))
	r.appendRecord(record{kind: attemptEnded, at: r.now(), id: id, attempt: n, notRun: notRun})
}

// recordNodeKilled records that a node was killed, with all requests that it held.
func (r *rig) recordNodeKilled(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendRecord(record{kind: nodeKilled, at: r.now(), node: node})
}

// checkRules passes all records in the order of their times to the oracles' records, and returns them. The caller holds
// r.mu.
func (r *rig) checkRules(end time.Duration) *oracle.Records {
	slack := r.options.Slack
	oracleRecords := fleet.NewRecords(r.scenario, r.scenario.Fleet(), slack, true)
	reorderCrossedEnds(r.records, slack)
	slices.SortStableFunc(r.records, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	sent := map[string]record{} // requestSent record of each request
	for _, rec := range r.records {
		if rec.kind == requestSent {
			sent[rec.id] = rec
		}
	}
	held := make([]map[string]bool, len(r.nodes)) // ids of the open requests of each node
	for i := range held {
		held[i] = map[string]bool{}
	}
	suspended := map[int]bool{}
	lost := map[string]bool{}         // requests whose node was killed, or whose connection broke with it
	openAttempts := map[string]bool{} // attempts that have not ended
	for _, rec := range r.records {
		request, known := sent[rec.id]
		switch rec.kind {
		case serverListed:
			oracleRecords.Notified(rec.at, rec.node, r.servers[rec.server].ID, rec.flag, rec.launched)
		case serverStarted:
			oracleRecords.ServerStarted(rec.at, r.servers[rec.server].ID)
		case requestSent:
			held[rec.node][rec.id] = true
			oracleRecords.Accepted(rec.at, rec.node, rec.id, rec.class, rec.deadline)
			oracleRecords.SetKey(rec.id, rec.key)
			if suspended[rec.node] {
				oracleRecords.NodeSuspended(rec.node, rec.id)
			}
		case attemptArrived:
			if known && lost[rec.id] {
				continue
			}
			openAttempts[attemptKey(rec.id, rec.attempt)] = true
			oracleRecords.Sent(rec.at, request.node, rec.id, r.servers[rec.server].ID,
				r.scenario.Classes[request.class].Work.Seconds(), rec.capacity)
		case attemptEnded:
			if !lost[rec.id] && openAttempts[attemptKey(rec.id, rec.attempt)] {
				delete(openAttempts, attemptKey(rec.id, rec.attempt))
				if oracleRecords.IsOpen(rec.id) {
					oracleRecords.AttemptEnded(rec.at, request.node, rec.id, rec.attempt, "ended at its server", rec.notRun, false)
				}
			}
		case requestServed, requestFailed, requestRefused:
			if lost[rec.id] {
				continue
			}
			delete(held[request.node], rec.id)
			switch rec.kind {
			case requestRefused:
				oracleRecords.Refused(rec.at, request.node, rec.id)
			case requestServed:
				oracleRecords.Served(rec.at, request.node, rec.id)
			default:
				oracleRecords.Failed(rec.at, request.node, rec.id)
			}
		case clientLeft:
			delete(held[request.node], rec.id)
			oracleRecords.ClientLeft(rec.at, request.node, rec.id)
		case clientTimedOut, connectionBroken:
			if rec.flag { // the node was killed meanwhile
				lost[rec.id] = true
				oracleRecords.NodeKilled(request.node, []string{rec.id})
			}
			if !lost[rec.id] {
				delete(held[request.node], rec.id)
				oracleRecords.ClientTimedOut(rec.at, request.node, rec.id)
			}
		case nodeKilled:
			var ids []string
			for id := range held[rec.node] {
				ids = append(ids, id)
				lost[id] = true
			}
			held[rec.node] = map[string]bool{}
			oracleRecords.NodeKilled(rec.node, ids)
		case nodeSuspended:
			suspended[rec.node] = rec.flag
			for id := range held[rec.node] {
				oracleRecords.NodeSuspended(rec.node, id)
			}
		}
	}
	remaining := map[string]int{"attempts at servers": len(r.openAttempts)}
	oracleRecords.Close(end, remaining)
	return oracleRecords
}

// reorderCrossedEnds moves the end of an attempt before the arrival of the next one if it was seen at most slack later.
// The node closes the first connection before it writes to the next server, but the first server may notice only after
// the other one has read the request. As a node notices a client's disconnection up to slack later, such a record moves
// to slack later.
func reorderCrossedEnds(records []record, slack time.Duration) {
	type key struct {
		id string
		n  int
	}
	nextArrival := map[key]time.Duration{}
	for _, rec := range records {
		if rec.kind == attemptArrived {
			nextArrival[key{rec.id, rec.attempt - 1}] = rec.at
		}
	}
	for i := range records {
		rec := &records[i]
		if rec.kind == clientLeft {
			rec.at += slack
		}
		if rec.kind == attemptEnded {
			if at, ok := nextArrival[key{rec.id, rec.attempt}]; ok && rec.at > at && rec.at <= at+slack {
				rec.at = at - 1
			}
		}
	}
}
