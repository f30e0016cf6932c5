package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/endpoints"
	"portstall/internal/lab/oracle"
)

// ruleChecker checks what web servers and clients saw against the rules for requests, by the lab's records. Each
// observer reports an event before anything can react to it, so that no result depends on which goroutine runs first.
// mu guards all but start and maxWait.
type ruleChecker struct {
	start   time.Time
	maxWait time.Duration // limit on the wait for a web server to notice an attempt's end

	mu      sync.Mutex
	records *oracle.Records
	open    map[string]int // open attempts at web servers by request
	// Number of attempts that web servers have received, by request.
	sends      map[string]int
	violations []string // violations of what the records do not cover: responses that no web server made, incomplete refusals
}

// The numbers are those of settingsJSON except for the grace, which is shorter in the trials. A cold web server does
// coldRate seconds of work a second and counts each request as coldWork.
const (
	trialGrace = 300 * time.Millisecond
	coldWork   = 0.05
	coldRate   = 0.3
)

// checkedClasses are the classes of settingsJSON.
var checkedClasses = []oracle.Class{{Name: "view", Effect: "safe"}, {Name: "save", Effect: "keyed", Group: "zone", Window: 30 * time.Second},
	{Name: "quote", Effect: "unsafe"}}

// newRuleChecker returns a checker without records.
func newRuleChecker() *ruleChecker {
	// The records take 0 for never: an hour has passed before anything happens.
	return &ruleChecker{start: time.Now().Add(-time.Hour), maxWait: testTimeout, open: map[string]int{}, sends: map[string]int{}, records: oracle.New(oracle.Limits{MaxAttempts: 3,
		ResponseSlack: testTimeout, DrainGrace: trialGrace, ColdMultiple: 4, ColdWindow: 1500 * time.Millisecond, MeanWork: coldWork}, checkedClasses, 1, true)}
}

// now returns the checker's time.
func (c *ruleChecker) now() time.Duration { return time.Since(c.start) }

// record makes an entry in the records.
func (c *ruleChecker) record(f func(r *oracle.Records)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.records)
}

// addViolation adds a violation that the records do not cover.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// waitForEnds returns once a web server has recorded the end of each attempt of a request. What the node gave up, or
// saw break, may still be on its way to the web server; an attempt that stays open is left to the records.
func (c *ruleChecker) waitForEnds(id string) {
	for end := time.Now().Add(c.maxWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		open := c.open[id]
		c.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// sent records an attempt that a web server has received, and returns its index.
func (c *ruleChecker) sent(at time.Duration, id string, s *stagedServer) int {
	c.waitForEnds(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	capacity := 0.0
	if s.cold.Load() {
		capacity = coldRate
	}
	c.records.Sent(at, 0, id, s.number, coldWork, capacity)
	c.open[id]++
	c.sends[id]++
	return c.sends[id] - 1
}

// ended records the end of an attempt.
func (c *ruleChecker) ended(id string, index int, what string, neverRan bool) {
	c.record(func(r *oracle.Records) {
		c.open[id]--
		r.AttemptEnded(c.now(), 0, id, index, what, neverRan, false)
	})
}

// final records the final response to a client, and checks its body and its Retry-After.
func (c *ruleChecker) final(id string, resp *http.Response, body []byte) {
	if resp.StatusCode != 200 { // one that is served was recorded before its response was sent
		c.waitForEnds(id)
	}
	switch {
	case resp.StatusCode == 200 && !bytes.Equal(body, bodyFor(id, len(body) > 1000)):
		c.addViolation("%s received %d bytes that no web server made for it", id, len(body))
		fallthrough
	case resp.StatusCode == 200:
		c.record(func(r *oracle.Records) { r.Served(c.now(), 0, id) })
	case resp.StatusCode == 429 || resp.StatusCode == 503:
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 2 {
			c.addViolation("%s is refused with Retry-After %q, want more than 0 and at most the settings' 2", id, resp.Header.Get("Retry-After"))
		}
		c.record(func(r *oracle.Records) { r.Refused(c.now(), 0, id) })
	default:
		if after := resp.Header.Get("Retry-After"); after != "" {
			c.addViolation("%s has failed, and its response has Retry-After %s", id, after)
		}
		c.record(func(r *oracle.Records) { r.Failed(c.now(), 0, id) })
	}
}

// findings returns all violations, once everything has ended.
func (c *ruleChecker) findings() []string {
	c.mu.Lock()
	sent := slices.Collect(maps.Keys(c.sends))
	c.mu.Unlock()
	for _, id := range sent {
		c.waitForEnds(id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.Close(c.now(), nil)
	out := append([]string(nil), c.violations...)
	for _, r := range c.records.Breaches() {
		out = append(out, r.String())
	}
	return out
}

// bodyFor returns the body that a web server makes for a request.
func bodyFor(id string, large bool) []byte {
	if large {
		return bytes.Repeat([]byte(id+" "), (200<<10)/(len(id)+1))
	}
	return []byte("made for " + id)
}

// behavior is what a stagedServer does with a request that it has received.
type behavior int32

const (
	behaveNormally  behavior = iota
	staySilent               // never responds, and notices when the node gives up
	resetConnection          // resets the connection
	sendMalformed            // sends a malformed response
	sendBadReport            // serves, with a malformed load report
)

// stagedServer is a web server whose requests stop at the trial's stage until the trial releases them.
type stagedServer struct {
	id       string
	number   uint32
	trial    *trial
	ln       net.Listener
	behavior atomic.Int32
	cold     atomic.Bool
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// entry returns the server's entry in a server list.
func (s *stagedServer) entry(state string) endpoints.Endpoint {
	return endpoints.Endpoint{ID: s.id, Addr: s.ln.Addr().String(), Zone: "north", Kind: "k", State: state}
}

// accept serves connections until the listener is closed.
func (s *stagedServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() { s.serveConn(c) })
	}
}

// resetConnections resets all connections, as the end of a process does.
func (s *stagedServer) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// close stops the server.
func (s *stagedServer) close() {
	s.ln.Close()
	s.resetConnections()
	s.wg.Wait()
}

// serveConn serves the requests of one connection.
func (s *stagedServer) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		if !s.serveRequest(conn, in, s.trial.rules.now()) {
			return
		}
	}
}

// serveRequest serves one request whose first byte has arrived, and reports whether the connection goes on.
func (s *stagedServer) serveRequest(conn net.Conn, in *bufio.Reader, first time.Duration) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false // a truncated head: nothing was sent that could run
	}
	c, rules, id := s.trial, s.trial.rules, r.Header.Get("X-Request-Id")
	index := rules.sent(first, id, s)
	c.recordArrival(stageHalfWritten, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		rules.ended(id, index, "truncated before its last byte", true)
		return false
	}
	closedByNode := make(chan struct{}) // closed when the node closes the connection
	peeked := make(chan struct{})
	go func() {
		defer close(peeked)
		if _, err := in.Peek(1); err != nil {
			close(closedByNode)
		}
	}()
	hold := func(here stage) bool {
		c.recordArrival(here, id)
		if c.stopsAt(here, id) {
			select {
			case <-c.released:
			case <-closedByNode:
				return false
			}
		}
		return true
	}
	if !hold(stageWaiting) || !hold(stageSecondAttempt) {
		rules.ended(id, index, "given up", false)
		return false
	}
	large := c.stage == stageStreaming && strings.HasPrefix(id, "r")
	body, headers := bodyFor(id, large), ""
	if large {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		if !hold(stageStreaming) {
			rules.ended(id, index, "given up", false)
			return false
		}
	}
	switch behavior(s.behavior.Load()) {
	case staySilent:
		select {
		case <-closedByNode:
		case <-c.finished:
		}
		rules.ended(id, index, "never responded to", false)
		return false
	case resetConnection:
		rules.ended(id, index, "reset", false)
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case sendMalformed:
		rules.ended(id, index, "malformed", false)
		io.WriteString(conn, "HTP/9 \x00 noise\r\n\r\n")
		<-peeked
		return false
	case sendBadReport:
		headers = "X-Load: {\"queue\": \"many\"}\r\n"
	}
	rules.ended(id, index, "answered", false)
	if large {
		if _, err := conn.Write(body[len(body)/2:]); err != nil {
			return false
		}
	} else if !writeResponse(conn, 200, headers, string(body)) {
		return false
	}
	<-peeked
	select {
	case <-closedByNode:
		return false
	default:
		return true
	}
}

// dial connects to the server for the node. The trial may hold it before it connects, and again before the node learns
// that it has connected.
func (s *stagedServer) dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	c := s.trial
	wait := func(here stage) error {
		c.recordArrival(here, "dial")
		if c.stopsAt(here, "r") {
			select {
			case <-c.released:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	}
	if c.stage == stageSecondAttempt && c.dials.Add(1)%2 == 1 && c.reached(stageSecondAttempt) < len(c.requests()) {
		return nil, back.ErrNoSockets // the first attempt is never sent, which is held against no server
	}
	if err := wait(stageSelected); err != nil {
		return nil, err
	}
	conn, err := back.DialDirect(ctx, d, addr)
	if err == nil {
		if err = wait(stageConnecting); err != nil {
			conn.Close()
		}
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Guards against a check that cannot fail: a violation of each rule, caused directly at the same servers, is found.
func TestRuleCheckerFindsBreaches(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, want string
		play       func(c *trial, serverA, serverB *stagedServer)
	}{
		{"no violation", "", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.final("x", sendDirect(c, serverA, "x"), bodyFor("x", false))
		}},
		{"two final answers", "one final answer", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 0)
			resp := sendDirect(c, serverA, "x")
			c.rules.final("x", resp, bodyFor("x", false))
			c.rules.final("x", resp, bodyFor("x", false))
		}},
		{"no final answer", "one final answer", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 0)
			sendDirect(c, serverA, "x")
			c.rules.record(func(k *oracle.Records) { k.ClientTimedOut(c.rules.now(), 0, "x") })
		}},
		{"an unsafe request twice", "repeat rule", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 2)
			serverA.behavior.Store(int32(resetConnection))
			sendDirect(c, serverA, "x")
			c.rules.final("x", sendDirect(c, serverB, "x"), bodyFor("x", false))
		}},
		{"two attempts in flight", "one attempt in flight", func(c *trial, serverA, serverB *stagedServer) {
			c.rules.maxWait = time.Second // the first attempt stays open
			c.recordAccepted("x", 0)
			serverA.behavior.Store(int32(staySilent))
			go sendDirect(c, serverA, "x")
			waitFor(c.t, "the first attempt", func() bool { return c.reached(stageHalfWritten) > 0 })
			c.rules.final("x", sendDirect(c, serverB, "x"), bodyFor("x", false))
			close(c.finished)
			waitFor(c.t, "the end of the first attempt", func() bool {
				c.rules.mu.Lock()
				defer c.rules.mu.Unlock()
				return c.rules.open["x"] == 0
			})
		}},
		{"sent to a draining server", "drains kept", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.record(func(k *oracle.Records) { k.Notified(c.rules.now(), 0, serverA.number, true, 0) })
			time.Sleep(trialGrace)
			c.rules.final("x", sendDirect(c, serverA, "x"), bodyFor("x", false))
		}},
		{"a cold server overloaded", "cold budget", func(c *trial, serverA, serverB *stagedServer) {
			serverA.cold.Store(true)
			c.rules.record(func(k *oracle.Records) {
				k.ServerStarted(time.Nanosecond, serverA.number)
				k.Notified(c.rules.now(), 0, serverA.number, false, time.Nanosecond)
				for i := range 60 { // all at one instant, so that no machine is too slow for it
					id := fmt.Sprint("x", i)
					k.Accepted(time.Second, 0, id, 0, time.Minute)
					k.Sent(time.Second, 0, id, serverA.number, coldWork, coldRate)
					k.AttemptEnded(time.Second, 0, id, 0, "OK", false, true)
				}
			})
		}},
		{"a request that never ends", "nothing leaked", func(c *trial, serverA, serverB *stagedServer) { c.recordAccepted("x", 0) }},
		{"a response that no server made", "no web server made", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.final("x", sendDirect(c, serverA, "x"), []byte("made up"))
		}},
		{"a refusal without Retry-After", "Retry-After", func(c *trial, serverA, serverB *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.final("x", &http.Response{StatusCode: 503, Header: http.Header{}}, nil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newTrial(t, stageBeforeRead)
			serverA, serverB := c.newServer("s-1"), c.newServer("s-2")
			test.play(c, serverA, serverB)
			found := strings.Join(c.rules.findings(), "\n")
			if (test.want == "") != (found == "") || !strings.Contains(found, test.want) {
				t.Errorf("violations found: %q, want %q", found, test.want)
			}
		})
	}
}

// sendDirect sends a request to a server as a node would, and returns the response, or nil.
func sendDirect(c *trial, s *stagedServer, id string) *http.Response {
	conn, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		return nil
	}
	defer conn.Close()
	io.WriteString(conn, view(id).text())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}
