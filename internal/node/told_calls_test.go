package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/control/follow"
)

// asked is the settings of nodes that ask for lists.
var asked = strings.Replace(settingsJSON, `"push"`, `"ask"`, 1)

// refusal is an answer where too many stand in line.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// hasty is a clock that runs twenty times as fast.
type hasty struct{ start time.Time }

const haste = 20

func (h hasty) Now() time.Duration {
	return time.Duration(h.start.UnixNano()) + haste*time.Since(h.start)
}

func (hasty) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d/haste, f) }

// A node gives each call up within 6 s, whether or not the answer before told anything, and tells discovery how long it waits.
func TestWatchIsGivenUpInTime(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a := newBox(t, served)
			type times struct{ wait, limit time.Duration }
			var mu sync.Mutex
			var got []times
			urls := make(chan string, 10)
			m := newMute(t, func(c net.Conn, nth int64, url string) bool {
				if nth > 4 {
					return false
				}
				urls <- url
				l := list{Version: min(1+nth, 3)} // the third tells nothing, nor does the fourth
				if nth < 3 {
					l.Servers = []listed{a.entry("s-1")}
				}
				io.WriteString(c, listText(l))
				return true
			})
			newRig(t, &registry{addr: m.addr}, strings.Replace(settingsJSON, `"push"`, `"`+mode+`"`, 1), func(c *Config) {
				c.watch = func(wait, limit time.Duration) (time.Duration, time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, times{wait, limit})
					return wait, patience
				}
			}, a.entry("s-1"))
			wait(t, "five calls", func() bool { return m.taken.Load() == 5 })
			mu.Lock()
			defer mu.Unlock()
			for i, c := range got[:4] {
				if url := receive(t, "a call", urls); !strings.HasSuffix(url, fmt.Sprintf("&timeout_ms=%d", c.wait.Milliseconds())) {
					t.Errorf("call %d: asked %q, want a wait of %v", i, url, c.wait)
				}
				if c.limit <= c.wait || c.limit > toldIn {
					t.Errorf("call %d: waits %v and is given up after %v, want that within %v", i, c.wait, c.limit, toldIn)
				}
			}
			if c := got[4]; mode == "ask" && c.wait < askLeast {
				t.Errorf("behind an answer with no news: waits %v, want %v at least: each call is work", c.wait, askLeast)
			}
		})
	}
}

// A node that is refused on a quiet day waits longer from then on, also once its watch loop was ended and the policy began it anew.
func TestRefusedNodeWaitsLonger(t *testing.T) {
	t.Parallel()
	waits := make(chan time.Duration, 10)
	m := newMute(t, func(c net.Conn, nth int64, _ string) bool {
		switch nth {
		case 1:
			io.WriteString(c, listText(list{Version: 1}))
		case 2:
			io.WriteString(c, refusal)
		}
		return nth < 3
	})
	newRig(t, &registry{addr: m.addr}, asked, func(c *Config) {
		c.clock = hasty{time.Now()}
		c.watch = func(wait, _ time.Duration) (time.Duration, time.Duration) {
			waits <- wait
			return wait, patience
		}
	}, newBox(t, served).entry("s-1"))
	wait(t, "the third call", func() bool { return m.taken.Load() == 3 })
	first, second, third := receive(t, "the first wait", waits), receive(t, "the second wait", waits), receive(t, "the third wait", waits)
	if max(first, second) > askMost || third < crowdLeast || third > crowdMost {
		t.Errorf("waits %v, %v and, behind the refusal, %v", first, second, third)
	}
}

// A call that has stood in line for 2.4 s and is refused, and the next one too, is made again by itself: the policy's timers never
// come here. What was missed is in hand then, and past 6 s and the grace the policy says when to ask.
func TestStoodCallIsMadeAgain(t *testing.T) {
	t.Parallel()
	a, b := newBox(t, served), newBox(t, served)
	draining := a.entry("s-1")
	draining.State = "Terminating"
	var now, looks atomic.Int64
	now.Store(int64(time.Hour))
	m := newMute(t, func(c net.Conn, nth int64, _ string) bool {
		switch nth {
		case 1:
			io.WriteString(c, listText(list{Version: 2, Servers: []listed{b.entry("s-2")}}))
		case 2, 3:
			now.Add(int64(2400 * time.Millisecond))
			io.WriteString(c, refusal)
		case 4:
			io.WriteString(c, listText(list{Version: 3, Servers: []listed{draining}}))
		case 5, 6, 7, 8:
			now.Add(int64(2400 * time.Millisecond))
			io.WriteString(c, refusal)
		default:
			t.Errorf("call %d: past %v nothing says that it is made", nth, toldIn)
			return false
		}
		return true
	})
	r := newRig(t, &registry{addr: m.addr}, asked, func(c *Config) {
		c.clock = manual{&now, &looks}
		c.watch = longWatch
	}, a.entry("s-1"), b.entry("s-2"))
	wait(t, "the drain", func() bool { return r.backendOf("s-1").Stop.Load() != 0 })
	wait(t, "the policy's turn", func() bool {
		r.core.Lock()
		defer r.core.Unlock()
		return !r.disc.watching
	})
	// The grace is 2 s here: the third refusal behind the latest answer comes 7.2 s behind it, the fourth 9.6 s.
	if n := m.taken.Load(); n != 8 {
		t.Errorf("%d calls, want four, and four more of which each but the last was refused within %v and the grace", n, toldIn)
	}
}

// Discovery is down, its connections reset, and comes back; a server drains then. A whole list of the discovery that SIGHUP names is
// refused twice in a row first, without the policy's timers.
func TestDrainBehindDiscoverysReturn(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"down", "reload"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			a, b := newBox(t, served), newBox(t, served)
			draining := a.entry("s-1")
			draining.State = "Terminating"
			text := listText(list{Version: 3, Full: true, Servers: []listed{draining, b.entry("s-2")}})
			urls := make(chan string, 10)
			answer := func(c net.Conn, nth int64, url string) bool {
				switch {
				case nth > 3:
					return false
				case nth == 3:
					io.WriteString(c, text)
				case way == "down":
					c.Close()
					return false
				default:
					io.WriteString(c, refusal)
				}
				urls <- url
				return true
			}
			if way == "down" {
				r := newRig(t, &registry{addr: newMute(t, answer).addr}, asked, func(c *Config) { c.clock = hasty{time.Now()} },
					a.entry("s-1"), b.entry("s-2"))
				wait(t, "the drain", func() bool { return r.backendOf("s-1").Stop.Load() != 0 })
				return
			}
			old, next := newMute(t, func(net.Conn, int64, string) bool { return false }), newMute(t, answer)
			r := newRig(t, &registry{addr: old.addr}, asked, func(c *Config) {
				c.clock = timeless{follow.SystemClock()}
				c.watch = longWatch
			}, a.entry("s-1"), b.entry("s-2"))
			cfg := r.cfg
			cfg.Discovery = next.addr
			r.reload(cfg)
			wait(t, "the drain", func() bool { return r.backendOf("s-1").Stop.Load() != 0 })
			for range 3 {
				if url := receive(t, "a call", urls); url != "/v1/endpoints" {
					t.Errorf("asked %q, want the whole list", url)
				}
			}
		})
	}
}
