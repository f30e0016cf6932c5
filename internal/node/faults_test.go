package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"portstall/internal/endpoints"
	"portstall/internal/flow"
	"portstall/internal/lab/oracle"
	"portstall/internal/lab/standin"
	"portstall/internal/wire"
	"portstall/policy"
)

// stage is how far a request has got when the fault is injected. There is no pause before a retry: the policy decides
// on it with the outcome of the attempt before.
type stage int

const (
	// Not yet read by the node.
	stageBeforeRead    stage = iota
	stageSelected            // a server is selected, the connection is not begun
	stageConnecting          // the connection is established, and the node does not know
	stageHalfWritten         // the first part is at the server, the rest still at the client
	stageWaiting             // completely written
	stageStreaming           // half of a large response has passed
	stageSecondAttempt       // a second attempt, completely written
	// Not yet read; the node has a connection to its server from before.
	stageKeptConnection
	stageCount
)

var stageNames = [...]string{"before the selection", "between selection and connect", "while connecting", "half written", "written and waiting",
	"during a streamed response", "in a second attempt", "on a kept connection"}

// fault is a fault to inject, and the stages at which it cannot occur.
type fault struct {
	name         string
	inject       func(c *trial)
	shortTimeout bool             // clients have a short timeout: the fault ends by a time-out alone
	excluded     map[stage]string // stages at which it cannot occur, and why
}

var noRequestYet = map[stage]string{stageBeforeRead: "there is no request yet", stageKeptConnection: "there is no request yet"}

var faultTable = []fault{
	{name: "none: a slow server", inject: func(c *trial) {}},
	{name: "the server drains", inject: func(c *trial) {
		c.publishList(c.entries(c.targets, "Terminating", c.healthy)...)
		c.recordNotified(c.targets...)
	}},
	{name: "the server is removed", inject: func(c *trial) {
		c.publishDelta(c.entries(c.targets, "Gone", c.healthy)...)
		c.recordNotified(c.targets...)
	}},
	{name: "a full list replaces all servers", inject: func(c *trial) {
		c.publishList(c.healthy.entry("Ready"))
		c.recordNotified(c.targets...)
	}},
	{name: "the server restarts under its id", inject: func(c *trial) {
		for _, s := range c.targets {
			c.restartCold(s)
		}
		all := c.entries(c.targets, "Ready", c.healthy)
		for i := range c.targets {
			all[i].StartedMS = time.Now().UnixMilli()
		}
		c.publishList(all...)
	}},
	{name: "a new id at its address", inject: func(c *trial) {
		for _, s := range c.targets {
			s.resetConnections()
		}
		all := c.entries(c.targets, "Ready", c.healthy)
		for i := range c.targets {
			all[i].ID += "-new"
		}
		c.publishList(all...)
	}},
	{name: "its id at another address", inject: func(c *trial) {
		moved := c.newServer("moved")
		e := moved.entry("Ready")
		e.ID = c.targets[0].id
		c.publishList(e, c.healthy.entry("Ready"))
		c.recordNotified(c.targets...)
	}},
	{name: "the server is listed and removed repeatedly", inject: func(c *trial) {
		for range 3 {
			c.publishList(c.healthy.entry("Ready"))
			c.publishList(c.entries(c.targets, "Terminating", c.healthy)...)
			c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
		}
	}},
	{name: "an operator disables the server", inject: func(c *trial) {
		c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
		for _, s := range c.targets {
			must(c.t, c.current().Disable(context.Background(), s.id))
			c.rules.record(func(b *oracle.Records) { b.Notified(c.rules.now()-trialGrace, 0, s.number, true, 0) }) // counted from the return of Disable
		}
	}},
	{name: "the only server left is cold", inject: func(c *trial) {
		e := c.healthy.entry("Ready")
		e.StartedMS = time.Now().UnixMilli()
		c.restartCold(c.healthy)
		c.publishList(e)
		c.recordNotified(c.targets...)
	}},
	{name: "an empty list", inject: func(c *trial) {
		c.publishList()
		c.recordNotified(c.targets...)
		c.publishList(c.healthy.entry("Ready"))
	}},
	{name: "an older list after a newer one", inject: func(c *trial) {
		c.publishList(c.healthy.entry("Ready"))
		n := c.current()
		n.discovery.applyResponse(&endpoints.List{Version: 1, Full: true, Servers: c.entries(c.targets, "Ready")}, policy.ListFull, false)
		c.recordNotified(c.targets...)
	}},
	{name: "the server is silent", shortTimeout: true, inject: func(c *trial) {
		c.setBehavior(staySilent)
		c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
	}},
	{name: "the connection is reset", inject: func(c *trial) {
		c.setBehavior(resetConnection)
		c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
		for _, s := range c.targets {
			s.resetConnections()
		}
	}},
	{name: "connections are refused", inject: func(c *trial) {
		c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
		for _, s := range c.targets {
			s.ln.Close()
			s.resetConnections()
		}
	}},
	{name: "responses are malformed", inject: func(c *trial) {
		c.setBehavior(sendMalformed)
		c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
	}, excluded: map[stage]string{stageStreaming: "malformed bytes within a body are its body"}},
	{name: "load reports are malformed", inject: func(c *trial) { c.setBehavior(sendBadReport) }},
	{name: "the client disconnects", inject: func(c *trial) { c.disconnectClients() }, excluded: noRequestYet},
	{name: "a second request has the id", inject: func(c *trial) {
		for _, q := range c.requests() {
			q.body = q.body[:min(len(q.body), 10)]
			if resp, _ := c.current().dial(c.t).roundTrip(q); resp.StatusCode != http.StatusConflict {
				c.t.Errorf("%s a second time while it is open: status %d, want 409", q.id, resp.StatusCode)
			}
		}
	}, excluded: map[stage]string{stageBeforeRead: noRequestYet[stageBeforeRead], stageKeptConnection: noRequestYet[stageKeptConnection]}},
	{name: "discovery is down", inject: func(c *trial) {
		calls := len(c.discovery.calls())
		for range 3 {
			c.discovery.responses <- discoveryResponse{status: 503}
		}
		waitFor(c.t, "another call to discovery", func() bool { return len(c.discovery.calls()) > calls })
	}},
	{name: "SIGTERM", inject: func(c *trial) {
		c.terminated = true
		c.current().terminate()
		waitFor(c.t, "the start of the node's leaving", func() bool { return c.current().lifecycle.closingConnections() })
	}, excluded: map[stage]string{stageBeforeRead: "which clients still connect is up to the front: TestSIGTERMFinishesAcceptedRequests", stageKeptConnection: "as before the selection"}},
	{name: "a successor takes over", inject: func(c *trial) { c.handOver() }},
	{name: "no descriptor is left", inject: func(c *trial) {
		c.current().pool.Resize(0)
		c.undo = func() { c.current().pool.Resize(100) }
	}},
	{name: "a reload", inject: func(c *trial) {
		c.reload(`"effect":"guarded"`, `"effect":"single_shot"`, `"max_attempts":3`, `"max_attempts":2`, `"name":"view"`, `"name":"look"`)
	}},
	{name: "a reload that makes all classes safe, and a reset", inject: func(c *trial) {
		c.reload(`"effect":"single_shot"`, `"effect":"free"`, `"effect":"guarded","group":"zone"`, `"effect":"free","group":"all"`)
		c.setBehavior(resetConnection)
		c.publishList(c.entries(c.targets, "Ready", c.healthy)...)
		for _, s := range c.targets {
			s.resetConnections()
		}
	}, excluded: map[stage]string{stageBeforeRead: "a new request has the new class", stageKeptConnection: "a new request has the new class"}},
	{name: "a reload with another discovery and a list", inject: func(c *trial) {
		set, err := wire.DecodeSettings([]byte(trialSettings))
		must(c.t, err)
		other := newStubDiscovery(c.t)
		other.responses <- discoveryResponse{200, endpoints.List{Version: 1, Full: true, Servers: []endpoints.Endpoint{c.healthy.entry("Ready")}}}
		c.current().reload(Config{Discovery: other.addr, Settings: set})
		waitFor(c.t, "the other discovery's list", func() bool { return c.current().serverByID(c.healthy.id) != nil })
		c.recordNotified(c.targets...)
	}},
	{name: "operators drain and resume", inject: func(c *trial) {
		must(c.t, c.current().Drain(context.Background()))
		must(c.t, c.current().Resume(context.Background()))
	}},
}

// Guards against broken rules, lost responses and leaks under faults: each fault is injected into requests of each
// class at each stage. The table is that of docs/readiness-review.md.
func TestFaultsAtEveryRequestStage(t *testing.T) {
	freeAddr(t) // the claim on its hosts is a descriptor that stays open
	openBefore := openFiles(t)
	ignore := goleak.IgnoreCurrent()
	t.Run("cells", func(t *testing.T) {
		for _, f := range faultTable {
			for at := range stageCount {
				if f.excluded[at] != "" {
					continue
				}
				t.Run(f.name+" "+stageNames[at], func(t *testing.T) {
					t.Parallel()
					// Where this machine was too slow for a fault that a time-out ends, it is injected again with more
					// time before that.
					for timeout := 900 * time.Millisecond; !newTrial(t, at).run(f, timeout); timeout *= 4 {
						if timeout > testTimeout {
							t.Fatal("the requests ended before the fault could be injected, even with long timeouts")
						}
					}
				})
			}
		}
	})
	waitForGoroutines(t, ignore)
	waitFor(t, "the descriptors to be closed", func() bool { return openFiles(t) <= openBefore })
}

// waitForGoroutines waits until all goroutines have ended but those to be ignored. Each check of them waits for half a
// second by itself.
func waitForGoroutines(t *testing.T, ignore goleak.Option) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		err := goleak.Find(ignore)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// openFiles returns the number of this process's open descriptors.
func openFiles(t *testing.T) int {
	files, err := os.ReadDir("/proc/self/fd")
	must(t, err)
	return len(files)
}

// trialSettings are settingsJSON with a shorter drain grace.
var trialSettings = strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.3`, 1)

// trial is one fault injected at one stage. mu guards arrivals, conns, disconnected and streamsStarted.
type trial struct {
	t         *testing.T
	stage     stage
	rules     *ruleChecker
	discovery *stubDiscovery
	// The node, and the one that takes over from it; nil until then.
	first, successor *testNode
	targets          []*stagedServer // the servers that the fault affects
	healthy          *stagedServer   // a healthy server, which is listed when the fault is injected
	// Undoes the fault; may be nil.
	undo          func()
	terminated    bool          // the node accepts nothing after the fault
	clientTimeout time.Duration // the clients' timeout; 0: a long one
	ended         atomic.Int64  // number of requests that have ended
	version       int64
	released      chan struct{} // closed when the requests may continue
	finished      chan struct{} // closed at the end of the trial
	clients       sync.WaitGroup

	mu          sync.Mutex
	serverCount uint32
	// Number of requests that have reached a stage.
	arrivals       map[stage]int
	conns          map[string]net.Conn
	disconnected   map[string]bool // requests whose clients have disconnected
	streamsStarted int             // number of large responses whose first half has arrived
	dials          atomic.Int64
}

// newTrial returns a trial at a stage.
func newTrial(t *testing.T, at stage) *trial {
	return &trial{t: t, stage: at, rules: newRuleChecker(), released: make(chan struct{}), finished: make(chan struct{}), version: 1,
		arrivals: map[stage]int{}, conns: map[string]net.Conn{}, disconnected: map[string]bool{}}
}

// newServer starts a web server that is part of the trial.
func (c *trial) newServer(id string) *stagedServer {
	ln, err := standin.Listen()
	must(c.t, err)
	c.serverCount++
	s := &stagedServer{id: id, number: c.serverCount, trial: c, ln: ln, conns: map[net.Conn]struct{}{}}
	c.rules.record(func(b *oracle.Records) { b.AddServer(oracle.Server{ID: s.number}) })
	go s.accept()
	c.t.Cleanup(s.close)
	return s
}

// current returns the node that serves new clients.
func (c *trial) current() *testNode {
	if c.successor != nil {
		return c.successor
	}
	return c.first
}

// requests returns the requests that the fault affects: one of each class.
func (c *trial) requests() []testRequest {
	requests := []testRequest{view("r-view"), save("r-save"), quote("r-quote")}
	if c.stage == stageHalfWritten {
		requests = requests[1:] // a GET has no body
		for i := range requests {
			requests[i].body = strings.Repeat("x", 200<<10)
		}
	}
	if c.clientTimeout > 0 {
		for i := range requests {
			requests[i].deadline = fmt.Sprint(c.clientTimeout.Milliseconds(), "m")
		}
	}
	return requests
}

// run runs the trial with a fault. It returns false if requests had ended before the fault could be injected at their
// stage, because their time had passed.
func (c *trial) run(f fault, timeout time.Duration) (injected bool) {
	if f.shortTimeout {
		c.clientTimeout = timeout
	}
	c.discovery = newStubDiscovery(c.t)
	c.targets = []*stagedServer{c.newServer("s-1")}
	if c.stage == stageSecondAttempt {
		c.targets = append(c.targets, c.newServer("s-2"))
	}
	c.healthy = c.newServer("s-9")
	c.first = newTestNode(c.t, c.discovery, trialSettings, withTestTimeouts, c.entries(c.targets, "Ready")...)
	for _, s := range c.targets {
		c.first.setDial(s.id, s.dial)
	}
	injected = true
	switch c.stage {
	case stageKeptConnection:
		c.send(view("warm"), 0)
		f.inject(c)
		c.sendRequests()
	case stageBeforeRead:
		f.inject(c)
		c.sendRequests()
	default:
		c.sendRequests()
		waitFor(c.t, "the requests to reach their stage", func() bool { return c.reached(c.stage) >= len(c.requests()) || c.timedOut() })
		f.inject(c)
		injected = !c.timedOut()
	}
	close(c.released)
	c.clients.Wait()
	if c.undo != nil {
		c.undo()
	}
	for i := 0; !c.terminated; i++ { // the node must serve again afterwards
		q := save(fmt.Sprint("after-", i))
		if f.shortTimeout {
			q.deadline = "900m"
		}
		if resp := c.send(q, 1); resp != nil && (resp.StatusCode == 200 || resp.StatusCode == 400) {
			break // 400: a reload has removed its class
		}
		if i > 400 {
			c.t.Fatal("the node serves nothing after the fault")
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, r := range []*testNode{c.first, c.successor} {
		if r != nil {
			waitFor(c.t, "the end of all requests", func() bool { return r.core.Stats(0).OpenRequests == 0 })
			if c.successor == nil { // after a hand-over part of the budget is lent
				waitBudgetReleased(c.t, r)
			}
		}
	}
	close(c.finished)
	for _, violation := range c.rules.findings() {
		c.t.Error(violation)
	}
	return injected
}

// timedOut reports whether the time of a held request has passed. Where the client holds its other half, the response
// is then on its way.
func (c *trial) timedOut() bool {
	if c.clientTimeout == 0 || c.ended.Load() > 0 {
		return c.clientTimeout > 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if c.stage == stageHalfWritten && flow.PeekInput(conn) != flow.NoInput {
			return true
		}
	}
	return false
}

// sendRequests sends the requests.
func (c *trial) sendRequests() {
	for i, q := range c.requests() {
		class := i + 3 - len(c.requests())
		c.clients.Go(func() {
			c.send(q, class)
			c.ended.Add(1)
		})
		if c.stage == stageSecondAttempt { // one by one, so that each request has one attempt that is not sent
			waitFor(c.t, "the second attempt to arrive", func() bool { return c.reached(stageSecondAttempt) > i || c.timedOut() })
		}
	}
}

// recordAccepted records a request that is about to be sent.
func (c *trial) recordAccepted(id string, class int) {
	c.rules.record(func(b *oracle.Records) { b.Accepted(c.rules.now(), 0, id, class, c.rules.now()+50*time.Second) })
}

// send sends a request over a connection of its own and records the result. It returns nil for a client that has
// disconnected, and if there is no complete response.
func (c *trial) send(q testRequest, class int) *http.Response {
	conn, err := net.Dial("tcp", c.current().addr)
	if err != nil {
		c.t.Errorf("%s: %v", q.id, err)
		return nil
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * testTimeout)) // the client waits for the stage, for the fault and for its response
	c.mu.Lock()
	c.conns[q.id] = conn
	c.mu.Unlock()
	c.recordAccepted(q.id, class)
	text := q.text()
	if c.stage == stageHalfWritten && len(q.body) > 1000 {
		io.WriteString(conn, text[:len(text)-100<<10])
		<-c.released
		text = text[len(text)-100<<10:]
	}
	io.WriteString(conn, text) // an error shows when the response is read
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	var body []byte
	if err == nil {
		if resp.ContentLength > 1000 {
			c.mu.Lock()
			c.streamsStarted++
			c.mu.Unlock()
		}
		body, err = io.ReadAll(resp.Body)
	}
	c.mu.Lock()
	disconnected := c.disconnected[q.id]
	c.mu.Unlock()
	switch {
	case disconnected:
		return nil
	case err == nil:
		c.rules.final(q.id, resp, body)
		return resp
	case resp != nil: // the client can tell that the response is incomplete
		c.rules.record(func(b *oracle.Records) { b.Failed(c.rules.now(), 0, q.id) })
	default:
		c.rules.addViolation("%s: its connection ends without a response: %v", q.id, err)
		c.rules.record(func(b *oracle.Records) { b.ClientTimedOut(c.rules.now(), 0, q.id) })
	}
	return nil
}

// recordArrival records that a request has reached a stage.
func (c *trial) recordArrival(here stage, id string) {
	if strings.HasPrefix(id, "r") || id == "dial" || id == "x" {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.arrivals[here]++
	}
}

// reached returns how many requests have reached a stage.
func (c *trial) reached(s stage) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == stageStreaming {
		return c.streamsStarted
	}
	return c.arrivals[s]
}

// stopsAt reports whether a request is to stop at a stage.
func (c *trial) stopsAt(here stage, id string) bool {
	return here == c.stage && strings.HasPrefix(id, "r")
}

// entries returns the list entries of servers in the given state, and of more as ready.
func (c *trial) entries(of []*stagedServer, state string, more ...*stagedServer) (all []endpoints.Endpoint) {
	for _, s := range of {
		all = append(all, s.entry(state))
	}
	for _, s := range more {
		all = append(all, s.entry("Ready"))
	}
	return all
}

// publishList applies a full list to the node.
func (c *trial) publishList(servers ...endpoints.Endpoint) {
	c.version++
	c.current().publishList(c.version, servers...)
}

// publishDelta applies a delta to the node.
func (c *trial) publishDelta(servers ...endpoints.Endpoint) {
	n := c.current()
	n.core.Lock()
	defer n.core.Unlock()
	c.version++
	n.applyList(&endpoints.List{Version: c.version, Servers: servers}, policy.ListDelta)
}

// recordNotified records that the node knows that servers are to get nothing new, and returns once their grace is over:
// what is released then may reach none of them, however busy the machine is.
func (c *trial) recordNotified(of ...*stagedServer) {
	now := c.rules.now()
	c.rules.record(func(b *oracle.Records) {
		for _, s := range of {
			b.Notified(now, 0, s.number, true, 0)
		}
	})
	time.Sleep(trialGrace)
}

// restartCold restarts a server: it is cold, and its connections from before are reset.
func (c *trial) restartCold(s *stagedServer) {
	s.resetConnections()
	s.cold.Store(true)
	c.rules.record(func(b *oracle.Records) {
		b.ServerStarted(c.rules.now(), s.number)
		b.Notified(c.rules.now(), 0, s.number, false, c.rules.now())
	})
}

// reload applies changed settings; change holds old and new text in turn.
func (c *trial) reload(change ...string) {
	set, err := wire.DecodeSettings([]byte(strings.NewReplacer(change...).Replace(trialSettings)))
	must(c.t, err)
	c.current().reload(Config{Discovery: c.discovery.addr, Settings: set})
}

// setBehavior changes the behavior of the targets.
func (c *trial) setBehavior(t behavior) {
	for _, s := range c.targets {
		s.behavior.Store(int32(t))
	}
}

// disconnectClients closes the clients' connections, and returns once the node has noticed.
func (c *trial) disconnectClients() {
	for _, q := range c.requests() {
		c.rules.record(func(b *oracle.Records) { b.ClientLeft(c.rules.now(), 0, q.id) })
		c.mu.Lock()
		c.disconnected[q.id] = true
		c.conns[q.id].Close()
		c.mu.Unlock()
	}
	if c.stage != stageStreaming && c.stage != stageHalfWritten { // at those stages the node notices when it passes on more data
		waitFor(c.t, "the node to notice the disconnect", func() bool { return c.current().core.Stats(0).OpenRequests == 0 })
	}
}

// handOver lets another process take over, which new clients then reach.
func (c *trial) handOver() {
	c.successor = startSuccessor(c.t, c.first.requestHandover(c.t), c.discovery, trialSettings)
}
