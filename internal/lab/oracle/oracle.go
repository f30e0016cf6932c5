// Package oracle checks the rules that every node must keep. It has its own records, which share no state with the code
// under check. The model reports each event as it happens; the rig reports what its stubs recorded, sorted by time.
//
// The rules: each request that a running node has accepted gets one final response, in time; a request is sent again
// only as its class allows, and never while another attempt is in flight; a server that was announced as draining or
// removed gets no new requests after the grace period; a key stays in its pod; a cold server gets no more work than its
// budget; and nothing is left open at the end.
package oracle

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Rule is the name of a rule. It is part of a run's result.
type Rule string

// The rules. FinalResponse is broken by a final response that is missing, repeated or late, and by a send after it;
// Repeat by a send or a refusal that the class does not allow; Key by requests with one key in two pods within the
// key's window; UnknownTarget by actions on requests or servers that do not exist.
const (
	FinalResponse Rule = "one final answer"
	Repeat        Rule = "repeat rule"
	InFlight      Rule = "one attempt in flight"
	Drain         Rule = "drains kept"
	Cold          Rule = "cold budget"
	Key           Rule = "a key stays in its pod"
	Leak          Rule = "nothing leaked"
	UnknownTarget Rule = "known request and server"
)

// Rules lists all rules.
var Rules = []Rule{FinalResponse, Repeat, InFlight, Drain, Cold, Key, Leak, UnknownTarget}

// Class is a request class with its effect and group, as the operators configure them.
type Class struct {
	Name   string
	Effect string        // safe, keyed or unsafe
	Group  string        // keyed: all, zone or pod
	Window time.Duration // keyed: how long servers recognize repeats
}

// Limits are the limits that the rules apply to the nodes.
type Limits struct {
	MaxAttempts   int
	ResponseSlack time.Duration // a response may come this much after the client's timeout
	DrainGrace    time.Duration // new requests may be sent to a server for this long after its drain was announced
	TunnelDrain   time.Duration // an open tunnel may last this much longer than the grace
	WindowSlack   time.Duration // precision of the clocks of a real run, for the window of a key
	ColdMultiple  float64       // multiple of what a cold server's present capacity can do in ColdWindow: its budget
	ColdWindow    time.Duration // the window of a cold server's budget
	// MeanWork is the mean work of a request in seconds. It allows for random variation of a cold server's work: where its
	// budget is N mean requests, 2 x root of N + 2 more are allowed. At 0 none are.
	MeanWork float64
}

// Breach is one breach of a rule.
type Breach struct {
	Rule   Rule
	At     time.Duration
	Node   int
	ID     string // of the request; empty: the breach concerns none
	Detail string
	Trace  []string // the events of the request, if traces are recorded
}

// String returns the breach as text, followed by the trace of its request.
func (b Breach) String() string {
	s := fmt.Sprintf("%v node %d: %s: %s", b.At, b.Node, b.Rule, b.Detail)
	if len(b.Trace) > 0 {
		s += "\n    " + strings.Join(b.Trace, "\n    ")
	}
	return s
}

// Server is a web server with the properties that the rules depend on.
type Server struct {
	ID        uint32
	Zone, Pod int
}

// attempt is one send of a request to a server.
type attempt struct {
	server     Server
	at         time.Duration
	open       bool
	mayHaveRun bool // it has ended, and its outcome does not exclude that it ran
}

// request is the record of one request that is not finished.
type request struct {
	class      *Class
	node       int
	key        string        // must stay in one pod; empty: none
	deadline   time.Duration // when its client's timeout expires
	attempts   []attempt
	open       int  // attempts in flight
	responses  int  // final responses
	clientLeft bool // the client has disconnected or timed out
	excused    bool // its node was suspended meanwhile, so its response may be late
	trace      []traceEntry
}

// keyedAttempt is an attempt with a key that may have run in a pod.
type keyedAttempt struct {
	pod     int
	at      time.Duration
	id      string
	attempt int
}

// notice is the latest state of a server that a node was notified of.
type notice struct {
	withdrawnAt time.Duration // when the node was notified that the server drains or is removed; 0: neither
	launched    time.Duration // the latest start that the node was notified of
}

// arrival is work that was sent to a cold server.
type arrival struct {
	at       time.Duration
	work     float64 // in seconds
	informed bool    // sent by a node that was notified of the server's start
}

// coldServer is a server that has started and was not seen warm yet.
type coldServer struct {
	launched    time.Duration
	window      []arrival // within the window of the budget
	sum         float64   // seconds of work in the window
	informedSum float64   // seconds of work in the window from nodes that were notified of the start
	overloaded  bool      // its budget was exceeded
}

// Records are the records of a run: its open requests, what the nodes were notified of, and the breaches found.
// Requests are removed at their end, so that memory does not grow with time. Not safe for concurrent use.
type Records struct {
	limits          Limits
	classes         []Class
	servers         map[uint32]Server
	requests        map[string]*request
	keys            map[string][]keyedAttempt
	keyedSinceSweep int                 // attempts with a key since expired keys were removed
	notices         []map[uint32]notice // by node, then by server
	cold            map[uint32]*coldServer
	counts          map[Rule]int
	breaches        []Breach
	traces          bool
}

// MaxBreaches is the number of breaches that are stored; all are counted.
const MaxBreaches = 20

// New creates records for a number of nodes. With traces, breaches include the events of their request.
func New(limits Limits, classes []Class, nodes int, traces bool) *Records {
	rec := &Records{limits: limits, classes: classes, servers: map[uint32]Server{}, requests: map[string]*request{},
		keys: map[string][]keyedAttempt{},
		cold: map[uint32]*coldServer{}, counts: map[Rule]int{}, traces: traces}
	for range nodes {
		rec.notices = append(rec.notices, map[uint32]notice{})
	}
	return rec
}

// AddServer adds a server to those that requests may be sent to.
func (rec *Records) AddServer(s Server) { rec.servers[s.ID] = s }

// Counts returns the number of breaches of each rule.
func (rec *Records) Counts() map[Rule]int { return rec.counts }

// Breaches returns the first MaxBreaches breaches.
func (rec *Records) Breaches() []Breach { return rec.breaches }

// BreachCount returns the number of breaches of all rules.
func (rec *Records) BreachCount() int {
	n := 0
	for _, c := range rec.counts {
		n += c
	}
	return n
}

// addBreach counts a breach, and stores it unless MaxBreaches are stored.
func (rec *Records) addBreach(rule Rule, at time.Duration, node int, id, format string, args ...any) {
	rec.counts[rule]++
	if len(rec.breaches) >= MaxBreaches {
		return
	}
	breach := Breach{Rule: rule, At: at, Node: node, ID: id, Detail: fmt.Sprintf(format, args...)}
	if r := rec.requests[id]; r != nil {
		for _, l := range r.trace {
			breach.Trace = append(breach.Trace, fmt.Sprintf("%v ", l.at)+fmt.Sprintf(l.format, l.args...))
		}
	}
	rec.breaches = append(rec.breaches, breach)
}

// traceEntry is one event of a request. It is formatted only for a breach, since few requests are part of one.
type traceEntry struct {
	at     time.Duration
	format string
	args   []any
}

// addTrace adds an event to a request's trace if traces are recorded. A trace has at most 60 entries.
func (rec *Records) addTrace(r *request, at time.Duration, format string, args ...any) {
	if rec.traces && len(r.trace) < 60 {
		r.trace = append(r.trace, traceEntry{at, format, args})
	}
}

// Accepted records that a node has accepted a request whose client's timeout expires at until.
func (rec *Records) Accepted(at time.Duration, node int, id string, class int, until time.Duration) {
	if rec.requests[id] != nil {
		rec.addBreach(UnknownTarget, at, node, id, "request %s was accepted twice", id)
		return
	}
	r := &request{class: &rec.classes[class], node: node, deadline: until}
	rec.requests[id] = r
	rec.addTrace(r, at, "accepted by node %d: class %s, client times out at %v", node, r.class.Name, until)
}

// Sent records that a node starts an attempt. work is the mean work of the request's class in seconds, capacity the
// work that the server can do now in seconds per second. Both matter only for a cold server; capacity is 0 for a warm
// one.
func (rec *Records) Sent(at time.Duration, node int, id string, server uint32, work, capacity float64) {
	r, s := rec.requests[id], rec.servers[server]
	if r == nil || r.node != node {
		rec.addBreach(FinalResponse, at, node, id, "%s is sent although it has its final response, or was never accepted", id)
		return
	}
	rec.addTrace(r, at, "sent to %d (zone %d, pod %d)", server, s.Zone, s.Pod)
	if s.ID != server {
		rec.addBreach(UnknownTarget, at, node, id, "there is no server %d", server)
	}
	if r.responses > 0 || r.clientLeft {
		rec.addBreach(FinalResponse, at, node, id, "sent after its final response, or after its client disconnected")
	}
	if r.open > 0 {
		rec.addBreach(InFlight, at, node, id, "sent while %d attempts are in flight", r.open)
	}
	if len(r.attempts) >= rec.limits.MaxAttempts {
		rec.addBreach(Repeat, at, node, id, "attempt %d of at most %d", len(r.attempts)+1, rec.limits.MaxAttempts)
	}
	c := r.class
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveRun {
			continue
		}
		switch {
		case c.Effect == "unsafe":
			rec.addBreach(Repeat, at, node, id, "class %s may not run twice", c.Name)
		case c.Effect == "keyed" && at > a.at+c.Window+rec.limits.WindowSlack:
			rec.addBreach(Repeat, at, node, id,
				"class %s is sent again %v after an attempt that may have run; repeats are dropped for %v",
				c.Name, at-a.at, c.Window)
		case c.Effect == "keyed" && c.Group == "zone" && a.server.Zone != s.Zone,
			c.Effect == "keyed" && c.Group == "pod" && a.server.Pod != s.Pod:
			rec.addBreach(Repeat, at, node, id, "class %s is sent outside the %s in which it may have run", c.Name, c.Group)
		default:
			continue
		}
		break
	}
	if last := rec.notices[node][server]; last.withdrawnAt > 0 && at > last.withdrawnAt+rec.limits.DrainGrace {
		rec.addBreach(Drain, at, node, id, "sent to server %d; the node was notified %v ago that it drains or is removed", server,
			at-last.withdrawnAt)
	}
	if r.key != "" {
		rec.checkKey(at, node, id, r, s)
	}
	r.attempts = append(r.attempts, attempt{server: s, at: at, open: true})
	r.open++
	rec.recordColdWork(at, node, server, work, capacity)
}

// SetKey records that an accepted request has a key, which must stay in one pod for the window of its class, also when
// other requests have the same key.
func (rec *Records) SetKey(id, key string) {
	if r := rec.requests[id]; r != nil {
		r.key = key
	}
}

// checkKey checks that a key was not sent to another pod, and records the attempt. Expired keys are removed from time
// to time.
func (rec *Records) checkKey(at time.Duration, node int, id string, r *request, s Server) {
	const sweepInterval = 4096
	if rec.keyedSinceSweep++; rec.keyedSinceSweep%sweepInterval == 0 {
		maps.DeleteFunc(rec.keys, func(_ string, all []keyedAttempt) bool { return at > all[len(all)-1].at+r.class.Window })
	}
	all := rec.keys[r.key]
	for _, o := range all {
		if o.pod != s.Pod && at < o.at+r.class.Window-rec.limits.WindowSlack {
			rec.addBreach(Key, at, node, id, "key %s goes to pod %d; %v before, as %s, it went to pod %d", r.key, s.Pod, at-o.at,
				o.id, o.pod)
			break
		}
	}
	rec.keys[r.key] = append(all, keyedAttempt{s.Pod, at, id, len(r.attempts)})
}

// recordColdWork records work that is sent to a cold server and checks its budget. An overload counts as a breach only
// if nodes that were notified of the start sent at least two thirds of the work: the others could not know that the
// server is cold.
func (rec *Records) recordColdWork(at time.Duration, node int, server uint32, work, capacity float64) {
	c := rec.cold[server]
	if c == nil {
		return
	}
	if capacity <= 0 { // the server is warm
		delete(rec.cold, server)
		return
	}
	knows := rec.notices[node][server].launched >= c.launched
	c.window = append(c.window, arrival{at, work, knows})
	c.sum += work
	if knows {
		c.informedSum += work
	}
	for len(c.window) > 0 && c.window[0].at < at-rec.limits.ColdWindow {
		c.sum -= c.window[0].work
		if c.window[0].informed {
			c.informedSum -= c.window[0].work
		}
		c.window = c.window[1:]
	}
	budget := rec.limits.ColdMultiple * capacity * rec.limits.ColdWindow.Seconds()
	budget += 2*math.Sqrt(budget*rec.limits.MeanWork) + 2*rec.limits.MeanWork // in requests: N + 2 x root of N + 2
	if c.sum <= budget || c.overloaded {
		return
	}
	c.overloaded = true
	if c.informedSum >= c.sum*2/3 {
		rec.addBreach(Cold, at, node, "", "server %d, cold since %v, was sent %.2f s of work within %v; its budget is %.2f",
			server, c.launched, c.sum, rec.limits.ColdWindow, budget)
	}
}

// Overloaded reports whether the work that was sent to a cold server has exceeded its budget.
func (rec *Records) Overloaded(server uint32) bool {
	c := rec.cold[server]
	return c != nil && c.overloaded
}

// AttemptEnded records the outcome of an attempt. neverRan is set if the outcome proves that the request did not run;
// served is set if the outcome is the request's final response.
func (rec *Records) AttemptEnded(at time.Duration, node int, id string, index int, outcome string, neverRan, served bool) {
	r := rec.requests[id]
	if r == nil || index >= len(r.attempts) || !r.attempts[index].open {
		rec.addBreach(UnknownTarget, at, node, id, "attempt %d of %s ended, but is not in flight", index, id)
		return
	}
	rec.addTrace(r, at, "attempt %d ended: %s", index, outcome)
	a := &r.attempts[index]
	if last := rec.notices[node][a.server.ID]; r.responses > 0 && last.withdrawnAt > 0 &&
		at > last.withdrawnAt+rec.limits.DrainGrace+rec.limits.TunnelDrain {
		rec.addBreach(Drain, at, node, id, "a tunnel stays open after the drain limit of server %d, by %v", a.server.ID,
			at-last.withdrawnAt-rec.limits.DrainGrace-rec.limits.TunnelDrain)
	}
	a.open, a.mayHaveRun = false, !neverRan
	if neverRan && r.key != "" {
		all := slices.DeleteFunc(rec.keys[r.key], func(o keyedAttempt) bool { return o.id == id && o.attempt == index })
		if rec.keys[r.key] = all; len(all) == 0 {
			delete(rec.keys, r.key)
		}
	}
	r.open--
	if served {
		rec.recordResponse(at, r, id, "served")
	}
	rec.removeClosed(id, r)
}

// Refused records a refusal, a final response that promises that another try is harmless.
func (rec *Records) Refused(at time.Duration, node int, id string) {
	if r := rec.requests[id]; r != nil {
		c := r.class
		runsOnce := c.Effect == "unsafe" || c.Effect == "keyed" && c.Group != "all" && c.Group != ""
		if runsOnce && slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun || a.open }) {
			rec.addTrace(r, at, "refused")
			rec.addBreach(Repeat, at, node, id, "refused although it may have run, and class %s may not run twice", c.Name)
		}
	}
	rec.recordFinal(at, node, id, "refused")
}

// Failed records a failure, a final response that promises nothing.
func (rec *Records) Failed(at time.Duration, node int, id string) {
	rec.recordFinal(at, node, id, "failed")
}

// Served records that the client has received a server's response. The model reports this with AttemptEnded, except for
// tunnels; the rig observes clients and servers separately and reports it here.
func (rec *Records) Served(at time.Duration, node int, id string) {
	rec.recordFinal(at, node, id, "served")
}

// recordFinal records a final response to a request, which must be open.
func (rec *Records) recordFinal(at time.Duration, node int, id, what string) {
	r := rec.requests[id]
	if r == nil {
		rec.addBreach(FinalResponse, at, node, id, "%s is %s although it has its final response, or was never accepted", id, what)
		return
	}
	rec.recordResponse(at, r, id, what)
	rec.removeClosed(id, r)
}

// recordResponse checks a final response: it must be the only one, and in time.
func (rec *Records) recordResponse(at time.Duration, r *request, id, what string) {
	rec.addTrace(r, at, "final response: %s", what)
	if r.responses++; r.responses > 1 || r.clientLeft {
		rec.addBreach(FinalResponse, at, r.node, id, "a second final response (%s), or one after its client disconnected", what)
	}
	if at > r.deadline+rec.limits.ResponseSlack && !r.excused {
		rec.addBreach(FinalResponse, at, r.node, id, "%s %v after its client timed out", what, at-r.deadline)
	}
}

// ClientLeft records that the client disconnected before its timeout. The request needs no response any more.
func (rec *Records) ClientLeft(at time.Duration, node int, id string) {
	if r := rec.requests[id]; r != nil {
		rec.addTrace(r, at, "client disconnected")
		r.clientLeft = true
		rec.removeClosed(id, r)
	}
}

// ClientTimedOut records that the client's timeout expired without a response.
func (rec *Records) ClientTimedOut(at time.Duration, node int, id string) {
	if r := rec.requests[id]; r != nil && r.responses == 0 && !r.clientLeft {
		if !r.excused {
			rec.addBreach(FinalResponse, at, node, id, "no response before its client timed out at %v", r.deadline)
		}
		r.clientLeft = true
		rec.removeClosed(id, r)
	}
}

// removeClosed removes a request that has its final response, or whose client has disconnected, if it has no open
// attempts.
func (rec *Records) removeClosed(id string, r *request) {
	if (r.responses > 0 || r.clientLeft) && r.open == 0 {
		delete(rec.requests, id)
	}
}

// Notified records that a node was notified of a server's state. withdrawn is set if the server drains or is removed;
// launched is its last start, 0 for long ago.
func (rec *Records) Notified(at time.Duration, node int, server uint32, withdrawn bool, launched time.Duration) {
	last := rec.notices[node][server]
	switch {
	case !withdrawn:
		last.withdrawnAt = 0
	case last.withdrawnAt == 0:
		last.withdrawnAt = at
	}
	last.launched = max(last.launched, launched)
	rec.notices[node][server] = last
}

// ServerStarted records that a server has started and is cold.
func (rec *Records) ServerStarted(at time.Duration, server uint32) {
	rec.cold[server] = &coldServer{launched: at}
}

// NodeKilled records that a node was killed. The requests ids that it held need no response any more.
func (rec *Records) NodeKilled(node int, ids []string) {
	for _, id := range ids {
		delete(rec.requests, id)
	}
}

// NodeSuspended records that the node of a request is suspended for some time. The request may get its response late.
func (rec *Records) NodeSuspended(node int, id string) {
	if r := rec.requests[id]; r != nil && r.node == node {
		r.excused = true
	}
}

// OpenRequests returns the number of requests that are not finished.
func (rec *Records) OpenRequests() int { return len(rec.requests) }

// Close checks that no request is open at the end of a run. leftovers has the numbers of other resources that must not
// remain, such as timers and connections.
func (rec *Records) Close(at time.Duration, leftovers map[string]int) {
	if n := len(rec.requests); n > 0 {
		id, first := "", ""
		for id = range rec.requests {
			if first == "" || id < first { // the smallest ID, so that the result does not depend on the order of the map
				first = id
			}
		}
		rec.addBreach(Leak, at, rec.requests[first].node, first, "%d requests are still open, %s among them", n, first)
	}
	for _, what := range slices.Sorted(maps.Keys(leftovers)) {
		if leftovers[what] != 0 {
			rec.addBreach(Leak, at, 0, "", "%d %s remain at the end", leftovers[what], what)
		}
	}
}

// IsOpen reports whether a request is not finished.
func (rec *Records) IsOpen(id string) bool { return rec.requests[id] != nil }
