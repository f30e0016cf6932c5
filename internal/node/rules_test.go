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
	"portstall/internal/lab/oracle"
)

// judge holds what stands and clients saw against the rules of the brief, by the lab's books. Whoever sees something tells it
// before anybody can act on it, so that no verdict hangs on which goroutine runs first.
type judge struct {
	start   time.Time
	maxWait time.Duration // how long at most for a stand's notice of an attempt's end

	mu         sync.Mutex
	records    *oracle.Book
	open       map[string]int // attempts that a stand has and that have not ended, by request
	sends      map[string]int
	violations []string // of what the books do not know: answers nobody made, refusals that say nothing
}

// The figures are those of settingsJSON but for the grace, which the cells shorten. A stand does half a second's work a second
// when it is cold and counts each request as coldWork.
const (
	trialGrace = 300 * time.Millisecond
	coldWork   = 0.05
	coldRate   = 0.3
)

var checkedClasses = []oracle.Class{{Name: "view", Effect: "safe"}, {Name: "save", Effect: "keyed", Group: "zone", Window: 30 * time.Second},
	{Name: "quote", Effect: "unsafe"}}

func newRuleChecker() *judge {
	// The books take 0 for never: an hour has passed before anything happens.
	return &judge{start: time.Now().Add(-time.Hour), maxWait: patience, open: map[string]int{}, sends: map[string]int{}, records: oracle.New(oracle.Figures{MaxAttempts: 3,
		AnswerSlack: patience, DrainGrace: trialGrace, FallMultiple: 4, FallFor: 1500 * time.Millisecond, MeanWork: coldWork}, checkedClasses, 1, true)}
}

func (c *judge) now() time.Duration { return time.Since(c.start) }

func (c *judge) record(f func(b *oracle.Book)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.records)
}

func (c *judge) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// settled returns once a stand has booked the end of each of a request's attempts. What the node gave up, or saw break, may be on
// its way to the stand's notice; an attempt that stays open is left to the books.
func (c *judge) waitForEnds(id string) {
	for end := time.Now().Add(c.maxWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		open := c.open[id]
		c.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// sent books an attempt that a stand has got, and returns its number.
func (c *judge) sent(at time.Duration, id string, s *stagedServer) int {
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

func (c *judge) ended(id string, index int, what string, neverRan bool) {
	c.record(func(b *oracle.Book) {
		c.open[id]--
		b.Ended(c.now(), 0, id, index, what, neverRan, false)
	})
}

// final books what a client was told, and holds it against what the stands make and what a refusal owes.
func (c *judge) final(id string, resp *http.Response, body []byte) {
	if resp.StatusCode != 200 { // one that is served was booked before its answer went out
		c.waitForEnds(id)
	}
	switch {
	case resp.StatusCode == 200 && !bytes.Equal(body, bodyFor(id, len(body) > 1000)):
		c.addViolation("%s is served with %d bytes that no web server made for it", id, len(body))
		fallthrough
	case resp.StatusCode == 200:
		c.record(func(b *oracle.Book) { b.Served(c.now(), 0, id) })
	case resp.StatusCode == 429 || resp.StatusCode == 503:
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 2 {
			c.addViolation("%s is refused with Retry-After %q, want it over 0 and at most the settings' 2", id, resp.Header.Get("Retry-After"))
		}
		c.record(func(b *oracle.Book) { b.Refused(c.now(), 0, id) })
	default:
		if after := resp.Header.Get("Retry-After"); after != "" {
			c.addViolation("%s has failed, and is told to come back after %s", id, after)
		}
		c.record(func(b *oracle.Book) { b.Failed(c.now(), 0, id) })
	}
}

// verdict is all that was broken, once everything is over.
func (c *judge) findings() []string {
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
	for _, b := range c.records.Breaches() {
		out = append(out, b.String())
	}
	return out
}

// madeFor is the body that a stand makes for a request.
func bodyFor(id string, large bool) []byte {
	if large {
		return bytes.Repeat([]byte(id+" "), (200<<10)/(len(id)+1))
	}
	return []byte("made for " + id)
}

// temper is what a stand does with a request that it has got.
type behavior int32

const (
	behaveNormally  behavior = iota
	staySilent               // says nothing, and notices when the node gives up
	resetConnection          // ends the connection with a reset
	sendMalformed            // answers what is no answer
	sendBadReport            // serves, with a report that can't be read
)

// stand is a web server whose requests stop at the cell's stage until the cell lets them go on.
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

func (s *stagedServer) entry(state string) listed {
	return listed{ID: s.id, Addr: s.ln.Addr().String(), Zone: "north", Kind: "k", State: state}
}

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

// restart is what a process's end does: its connections are reset.
func (s *stagedServer) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *stagedServer) close() {
	s.ln.Close()
	s.resetConnections()
	s.wg.Wait()
}

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

// answer takes one request whose first byte has come, and tells whether the connection goes on.
func (s *stagedServer) serveRequest(conn net.Conn, in *bufio.Reader, first time.Duration) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false // a head that breaks off: nothing was sent that could run
	}
	c, j, id := s.trial, s.trial.rules, r.Header.Get("X-Request-Id")
	index := j.sent(first, id, s)
	c.recordArrival(stageHalfWritten, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		j.ended(id, index, "broke off before its last byte", true)
		return false
	}
	gone := make(chan struct{}) // closed when the node closes, or something more comes
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		if _, err := in.Peek(1); err != nil {
			close(gone)
		}
	}()
	hold := func(here stage) bool {
		c.recordArrival(here, id)
		if c.stopsAt(here, id) {
			select {
			case <-c.released:
			case <-gone:
				return false
			}
		}
		return true
	}
	if !hold(stageWaiting) || !hold(stageSecondAttempt) {
		j.ended(id, index, "given up", false)
		return false
	}
	large := c.stage == stageStreaming && strings.HasPrefix(id, "r")
	body, headers := bodyFor(id, large), ""
	if large {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		if !hold(stageStreaming) {
			j.ended(id, index, "given up", false)
			return false
		}
	}
	switch behavior(s.behavior.Load()) {
	case staySilent:
		select {
		case <-gone:
		case <-c.finished:
		}
		j.ended(id, index, "never answered", false)
		return false
	case resetConnection:
		j.ended(id, index, "reset", false)
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case sendMalformed:
		j.ended(id, index, "spoilt", false)
		io.WriteString(conn, "HTP/9 \x00 noise\r\n\r\n")
		<-looked
		return false
	case sendBadReport:
		headers = "X-Load: {\"queue\": \"many\"}\r\n"
	}
	j.ended(id, index, "answered", false)
	if large {
		if _, err := conn.Write(body[len(body)/2:]); err != nil {
			return false
		}
	} else if !reply(conn, 200, headers, string(body)) {
		return false
	}
	<-looked
	select {
	case <-gone:
		return false
	default:
		return true
	}
}

// via is how the node reaches a stand: the cell holds it before it connects, and again before the node learns that it has.
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
		return nil, back.ErrSockets // the first attempt is never sent, which is held against nobody
	}
	if err := wait(stageSelected); err != nil {
		return nil, err
	}
	conn, err := back.Direct(ctx, d, addr)
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

// The check that ends each cell can fail: a breach of each rule, made by hand on the same stands, is found.
func TestRuleCheckerFindsBreaches(t *testing.T) {
	t.Parallel()
	for _, p := range []struct {
		name, want string
		play       func(c *trial, a, b *stagedServer)
	}{
		{"nothing wrong", "", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.final("x", sendDirect(c, a, "x"), bodyFor("x", false))
		}},
		{"two final answers", "one final answer", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 0)
			resp := sendDirect(c, a, "x")
			c.rules.final("x", resp, bodyFor("x", false))
			c.rules.final("x", resp, bodyFor("x", false))
		}},
		{"no final answer", "one final answer", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 0)
			sendDirect(c, a, "x")
			c.rules.record(func(k *oracle.Book) { k.Overdue(c.rules.now(), 0, "x") })
		}},
		{"an unsafe request twice", "repeat rule", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 2)
			a.behavior.Store(int32(resetConnection))
			sendDirect(c, a, "x")
			c.rules.final("x", sendDirect(c, b, "x"), bodyFor("x", false))
		}},
		{"two attempts in flight", "one attempt in flight", func(c *trial, a, b *stagedServer) {
			c.rules.maxWait = time.Second // the first one stays open
			c.recordAccepted("x", 0)
			a.behavior.Store(int32(staySilent))
			go sendDirect(c, a, "x")
			wait(c.t, "the first attempt", func() bool { return c.reached(stageHalfWritten) > 0 })
			c.rules.final("x", sendDirect(c, b, "x"), bodyFor("x", false))
			close(c.finished)
			wait(c.t, "the end of the first", func() bool {
				c.rules.mu.Lock()
				defer c.rules.mu.Unlock()
				return c.rules.open["x"] == 0
			})
		}},
		{"sent to a server that drains", "drains kept", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.record(func(k *oracle.Book) { k.Told(c.rules.now(), 0, a.number, true, 0) })
			time.Sleep(trialGrace)
			c.rules.final("x", sendDirect(c, a, "x"), bodyFor("x", false))
		}},
		{"a cold server pushed over", "cold budget", func(c *trial, a, b *stagedServer) {
			a.cold.Store(true)
			c.rules.record(func(k *oracle.Book) {
				k.Started(time.Nanosecond, a.number)
				k.Told(c.rules.now(), 0, a.number, false, time.Nanosecond)
				for i := range 60 { // at one instant: no machine is too slow for it
					id := fmt.Sprint("x", i)
					k.Taken(time.Second, 0, id, 0, time.Minute)
					k.Sent(time.Second, 0, id, a.number, coldWork, coldRate)
					k.Ended(time.Second, 0, id, 0, "OK", false, true)
				}
			})
		}},
		{"a request left over", "nothing leaked", func(c *trial, a, b *stagedServer) { c.recordAccepted("x", 0) }},
		{"an answer nobody made", "no web server made", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.final("x", sendDirect(c, a, "x"), []byte("made up"))
		}},
		{"a refusal that says nothing", "Retry-After", func(c *trial, a, b *stagedServer) {
			c.recordAccepted("x", 0)
			c.rules.final("x", &http.Response{StatusCode: 503, Header: http.Header{}}, nil)
		}},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			c := newTrial(t, stageBeforeRead)
			a, b := c.newServer("s-1"), c.newServer("s-2")
			p.play(c, a, b)
			found := strings.Join(c.rules.findings(), "\n")
			if (p.want == "") != (found == "") || !strings.Contains(found, p.want) {
				t.Errorf("found %q, want %q", found, p.want)
			}
		})
	}
}

// plant sends a request to a stand as a node would, and returns what comes back, if anything does.
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
