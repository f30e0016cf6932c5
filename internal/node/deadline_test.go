package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/flow"
)

// A client's time runs from its request's last byte, also while that stands in the node's socket because the body waits for room:
// what is left of it then is what the server is told and the answer has. Where the last byte comes once there is room, no time has
// run; where all has gone by, the request is refused and no attempt is made. A body in chunks does not tell how long it is: it
// counts as there.
func TestDeadlineRunsWhileBodyWaitsForBudget(t *testing.T) {
	t.Parallel()
	const told = 50 * time.Second // what the clients say
	length := flow.Keep / 2
	body := strings.Repeat("x", length)
	whole, chunks := quote("x"), quote("x")
	whole.body = body
	chunked := strings.Replace(chunks.text(), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chunks.body), chunks.body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body), 1)
	for _, c := range []struct {
		name, text string
		late       int           // so many bytes come once there is room
		waits      time.Duration // for room, on the node's clock
		left       time.Duration // of the client's time then; 0: none
	}{
		{"all of it stands there", whole.text(), 0, 20 * time.Second, 30 * time.Second},
		{"all of it stands there, in chunks", chunked, 0, 20 * time.Second, 30 * time.Second},
		{"its last byte is still to come", whole.text(), 1, 20 * time.Second, told},
		{"its time is up", whole.text(), 0, told, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := &stepClock{now: time.Hour}
			server := newBox(t, served)
			node := newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) {
				unhurried(cfg)
				cfg.clock = clock
			}, server.entry("s-1"))
			makeRoom := node.fillBodyBudget(t)
			cl := newUnattachedClient(t)
			early := c.text[:len(c.text)-c.late]
			if n := cl.fill(t, early); n < len(early) {
				t.Fatalf("the kernels took %d bytes of %d", n, len(early))
			}
			node.attach(t, cl)
			node.waitForBodyWaiter(t)
			clock.advance(c.waits)
			makeRoom()
			if c.late > 0 {
				wait(t, "the reading of its first part", func() bool { return flow.Pending(cl.end) == flow.Nothing })
				cl.send(c.text[len(early):])
			}
			resp, _ := cl.answer()
			got := server.requests()
			if c.left == 0 {
				if resp.StatusCode != http.StatusServiceUnavailable || len(got) != 0 {
					t.Errorf("%d, with %d attempts; want it refused with none", resp.StatusCode, len(got))
				}
				return
			}
			if resp.StatusCode != http.StatusOK || len(got) != 1 {
				t.Fatalf("%d, with %d attempts", resp.StatusCode, len(got))
			}
			checkDeadlineHeader(t, got[0], c.left-transitAllowance)
		})
	}
}

// isTold checks how long a server is told that the node waits. The policy's seconds are rounded.
func checkDeadlineHeader(t *testing.T, r *http.Request, want time.Duration) {
	t.Helper()
	us, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Deadline"), "u"))
	if off := time.Duration(us)*time.Microsecond - want; err != nil || off.Abs() > time.Millisecond {
		t.Errorf("its server is told %q, want %v", r.Header.Get("X-Deadline"), want)
	}
}

// stepping is a clock that a test sets.
type stepClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []stepTimer
}

type stepTimer struct {
	at time.Duration
	f  func()
}

func (s *stepClock) Now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *stepClock) AfterFunc(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers = append(s.timers, stepTimer{s.now + d, f})
}

// jump lets time go by while nothing runs: timers that are due come with the next advance.
func (s *stepClock) jump(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now += d
}

// advance lets time go by, and each timer come when it is due.
func (s *stepClock) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for end := s.now + d; ; {
		first := -1
		for i, t := range s.timers {
			if t.at <= end && (first < 0 || t.at < s.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			s.now = max(s.now, end)
			return
		}
		t := s.timers[first]
		s.timers = append(s.timers[:first], s.timers[first+1:]...)
		s.now = max(s.now, t.at)
		s.mu.Unlock()
		t.f()
		s.mu.Lock()
	}
}

// What a client sends while the node's machine does not let it run stands unread, and the client's time runs: what is left of it
// then is what the server is told and the answer has, whether the request is read before the node's timers come or behind them. It
// is known but for the time until a timer was due. Who comes later, or amid a delay of no account, has all of its time.
func TestDeadlineRunsWhileProcessIsStalled(t *testing.T) {
	t.Parallel()
	const told = 50 * time.Second // what the clients say
	const tick = 250 * time.Millisecond
	for _, c := range []struct {
		name   string
		held   time.Duration
		timers bool // come before the request is read
		later  time.Duration
		left   time.Duration // of the client's time; 0: none
	}{
		{"read first", 2 * time.Second, false, 0, told - 2*time.Second + tick},
		{"read behind the timers", 2 * time.Second, true, 0, told - 2*time.Second + tick},
		{"read a moment behind the timers", 2 * time.Second, true, 50 * time.Millisecond, told - 2*time.Second + tick - 50*time.Millisecond},
		{"its time is up, read first", told + tick, false, 0, 0},
		{"its time is up", told + tick, true, 0, 0},
		{"later", 2 * time.Second, true, 150 * time.Millisecond, told},
		{"a short delay", tick + 90*time.Millisecond, false, 0, told},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := &stepClock{now: time.Hour}
			server := newBox(t, served)
			node := newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) {
				unhurried(cfg)
				cfg.clock = clock
			}, server.entry("s-1"))
			clock.jump(c.held)
			if c.timers {
				clock.advance(c.later)
			}
			cl := node.dial(t)
			if resp, _ := cl.ask(quote("x")); c.left == 0 {
				if resp.StatusCode != http.StatusServiceUnavailable || len(server.requests()) != 0 {
					t.Errorf("%d, with %d attempts; want it refused with none", resp.StatusCode, len(server.requests()))
				}
				return
			} else if resp.StatusCode != http.StatusOK {
				t.Fatal(resp.StatusCode)
			}
			checkDeadlineHeader(t, server.requests()[0], c.left-transitAllowance)
			if !c.timers { // all that stood there is read by one that is late itself: the next one too
				if resp, _ := cl.ask(quote("y")); resp.StatusCode != http.StatusOK {
					t.Fatal(resp.StatusCode)
				}
				checkDeadlineHeader(t, server.requests()[1], c.left-transitAllowance)
			}
		})
	}
}

// Whatever a server does or leaves undone once it has a request, or on the way to it, the client has a final answer by the request's
// own time alone: all that bounds a standstill otherwise is longer here than a client of the test waits. Nothing is left over then.
func TestEveryWaitEndsAtRequestDeadline(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		says []string // what its server says, piece by piece, and then no more
		goes bool     // it repeats the last piece without end
		room bool     // there is none for an answer
		dial string   // where its connection stands still
		may  bool     // it may have run
	}{
		{name: "the answer is lost", may: true},
		{name: "an informational answer alone", says: []string{"HTTP/1.1 103 Early Hints\r\n\r\n"}, may: true},
		{name: "informational answers without end", says: []string{"HTTP/1.1 102 Processing\r\n\r\n"}, goes: true, may: true},
		{name: "half a head", says: []string{"HTTP/1.1 200 OK\r\nContent-"}, may: true},
		{name: "half a body", says: []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"}, may: true},
		{name: "half a body of no length", says: []string{"HTTP/1.1 200 OK\r\n\r\n", "half"}, may: true},
		{name: "a body of no length that trickles", says: []string{"HTTP/1.1 200 OK\r\n\r\n", "."}, goes: true, may: true},
		{name: "half a chunk", says: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"}, may: true},
		{name: "no end behind the chunks", says: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}, may: true},
		{name: "trailers without end", says: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n"}, may: true},
		{name: "no room for its answer", says: []string{"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"}, room: true, may: true},
		{name: "no connection comes up", dial: "before"},
		{name: "the connection comes up late", dial: "behind"},
	} {
		for _, ask := range []func(string) call{view, quote} {
			t.Run(c.name+" "+ask("").class, func(t *testing.T) {
				t.Parallel()
				var reached atomic.Bool
				over := make(chan struct{})
				server := newBox(t, func(conn net.Conn, r *http.Request, _ int) bool {
					for _, s := range c.says {
						io.WriteString(conn, s)
					}
					reached.Store(true)
					for c.goes {
						if _, err := io.WriteString(conn, c.says[len(c.says)-1]); err != nil {
							return false
						}
						time.Sleep(20 * time.Millisecond) // so that no bound on bytes is met
					}
					<-over
					return false
				})
				t.Cleanup(sync.OnceFunc(func() { close(over) }))
				node := newRig(t, newRegistry(t), settingsJSON, unhurried, server.entry("s-1"))
				if c.dial != "" {
					node.setDial("s-1", func(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
						reached.Store(true)
						if c.dial == "before" {
							<-ctx.Done()
							return nil, ctx.Err()
						}
						conn, err := d.Dial("tcp", addr)
						<-ctx.Done() // it is up, and the attempt's time as well
						return conn, err
					})
				}
				if c.room {
					must(t, node.budget.Answer(context.Background(), node.cfg.bodyBytes()))
					defer node.budget.AnswerDone(node.cfg.bodyBytes())
				}
				// On a slow machine the time may be up before the server has said all: then it asks anew, with more.
				for i, time := 0, 200; !reached.Load(); i, time = i+1, 2*time {
					q := ask(fmt.Sprint("x", i))
					q.deadline = fmt.Sprint(time, "m")
					want := http.StatusServiceUnavailable
					if c.may && q.class == "quote" {
						want = http.StatusInternalServerError
					}
					if resp, _ := node.dial(t).ask(q); resp.StatusCode != want && reached.Load() {
						t.Errorf("answered %d, want %d", resp.StatusCode, want)
					}
				}
				wait(t, "the end of all of it", func() bool {
					open, idle := node.pool.Counts()
					return node.openRequests() == 0 && open == idle
				})
			})
		}
	}
}
