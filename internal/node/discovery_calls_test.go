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
	"portstall/internal/endpoints"
)

// askSettingsJSON is the settings of nodes that ask for lists.
var askSettingsJSON = strings.Replace(settingsJSON, `"push"`, `"ask"`, 1)

// unavailableResponse is discovery's response where too many calls are queued.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// fastClock is a clock that runs clockSpeed times as fast as the system's.
type fastClock struct{ start time.Time }

const clockSpeed = 20

func (c fastClock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + clockSpeed*time.Since(c.start)
}

func (fastClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d/clockSpeed, f) }

// A call to discovery times out within 6 s, whether or not the response before contained a change, and carries its wait
// to discovery. With a longer limit a silent watch would be noticed only after what it missed counts as announced.
func TestWatchTimesOutInTime(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			server := newStubServer(t, respondOK)
			type times struct{ wait, limit time.Duration }
			var mu sync.Mutex
			var got []times
			urls := make(chan string, 10)
			discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, url string) bool {
				if nth > 4 {
					return false
				}
				urls <- url
				response := endpoints.List{Version: min(1+nth, 3)} // the third and fourth contain no change
				if nth < 3 {
					response.Servers = []endpoints.Endpoint{server.entry("s-1")}
				}
				io.WriteString(c, listResponse(response))
				return true
			})
			newTestNode(t, &stubDiscovery{addr: discovery.addr}, strings.Replace(settingsJSON, `"push"`, `"`+mode+`"`, 1), func(c *Config) {
				c.adjustWatch = func(wait, limit time.Duration) (time.Duration, time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, times{wait, limit})
					return wait, testTimeout
				}
			}, server.entry("s-1"))
			waitFor(t, "five calls", func() bool { return discovery.calls.Load() == 5 })
			mu.Lock()
			defer mu.Unlock()
			for i, c := range got[:4] {
				if url := receive(t, "a call", urls); !strings.HasSuffix(url, fmt.Sprintf("&timeout_ms=%d", c.wait.Milliseconds())) {
					t.Errorf("call %d: asked %q, want a wait of %v", i, url, c.wait)
				}
				if c.limit <= c.wait || c.limit > endpoints.MaxAnnounceDelay {
					t.Errorf("call %d: waits %v and times out after %v, want a limit within %v", i, c.wait, c.limit, endpoints.MaxAnnounceDelay)
				}
			}
			if c := got[4]; mode == "ask" && c.wait < endpoints.MinAskWait {
				t.Errorf("after a response without a change: waits %v, want at least %v, as each call is work", c.wait, endpoints.MinAskWait)
			}
		})
	}
}

// A node whose call is rejected under normal load waits longer from then on, also after its watch loop has ended and
// the policy has started it again.
func TestRejectedWatchWaitsLonger(t *testing.T) {
	t.Parallel()
	waits := make(chan time.Duration, 10)
	discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, _ string) bool {
		switch nth {
		case 1:
			io.WriteString(c, listResponse(endpoints.List{Version: 1}))
		case 2:
			io.WriteString(c, unavailableResponse)
		}
		return nth < 3
	})
	newTestNode(t, &stubDiscovery{addr: discovery.addr}, askSettingsJSON, func(c *Config) {
		c.clock = fastClock{time.Now()}
		c.adjustWatch = func(wait, _ time.Duration) (time.Duration, time.Duration) {
			waits <- wait
			return wait, testTimeout
		}
	}, newStubServer(t, respondOK).entry("s-1"))
	waitFor(t, "the third call", func() bool { return discovery.calls.Load() == 3 })
	first, second, third := receive(t, "the first wait", waits), receive(t, "the second wait", waits), receive(t, "the third wait", waits)
	if max(first, second) > endpoints.MaxAskWait || third < endpoints.MinOverloadWait || third > endpoints.MaxOverloadWait {
		t.Errorf("waits %v, %v and, after the rejection, %v", first, second, third)
	}
}

// A call that queued for 2.4 s and is rejected is retried without the policy, and so is the next one: the policy's
// timers never fire here. The missed change then arrives. Once 6 s and the grace have passed the policy decides when to
// ask.
func TestQueuedAndRejectedCallIsRetried(t *testing.T) {
	t.Parallel()
	first, second := newStubServer(t, respondOK), newStubServer(t, respondOK)
	draining := first.entry("s-1")
	draining.State = "Terminating"
	var now, reads atomic.Int64
	now.Store(int64(time.Hour))
	discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, _ string) bool {
		switch nth {
		case 1:
			io.WriteString(c, listResponse(endpoints.List{Version: 2, Servers: []endpoints.Endpoint{second.entry("s-2")}}))
		case 2, 3:
			now.Add(int64(2400 * time.Millisecond))
			io.WriteString(c, unavailableResponse)
		case 4:
			io.WriteString(c, listResponse(endpoints.List{Version: 3, Servers: []endpoints.Endpoint{draining}}))
		case 5, 6, 7, 8:
			now.Add(int64(2400 * time.Millisecond))
			io.WriteString(c, unavailableResponse)
		default:
			t.Errorf("call %d: after %v nothing asks for it", nth, endpoints.MaxAnnounceDelay)
			return false
		}
		return true
	})
	node := newTestNode(t, &stubDiscovery{addr: discovery.addr}, askSettingsJSON, func(c *Config) {
		c.clock = manualClock{&now, &reads}
		c.adjustWatch = longPollLimits
	}, first.entry("s-1"), second.entry("s-2"))
	waitFor(t, "the drain", func() bool { return node.serverByID("s-1").StopAt.Load() != 0 })
	waitFor(t, "the end of the watch loop", func() bool {
		node.core.Lock()
		defer node.core.Unlock()
		return !node.discovery.watching
	})
	// The grace is 2 s here: the third rejection comes 7.2 s after the latest response, the fourth 9.6 s after it.
	if calls := discovery.calls.Load(); calls != 8 {
		t.Errorf("%d calls, want four, and four more of which each but the last was rejected within %v and the grace", calls, endpoints.MaxAnnounceDelay)
	}
}

// A drain that was announced while discovery could not be reached is applied once it can. Discovery is down and resets
// connections; or the discovery that SIGHUP names rejects the call for the complete list twice in a row, without the
// policy's timers.
func TestDrainIsAppliedAfterDiscoveryReturns(t *testing.T) {
	t.Parallel()
	for _, cause := range []string{"down", "reload"} {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			first, second := newStubServer(t, respondOK), newStubServer(t, respondOK)
			draining := first.entry("s-1")
			draining.State = "Terminating"
			text := listResponse(endpoints.List{Version: 3, Full: true, Servers: []endpoints.Endpoint{draining, second.entry("s-2")}})
			urls := make(chan string, 10)
			respond := func(c net.Conn, nth int64, url string) bool {
				switch {
				case nth > 3:
					return false
				case nth == 3:
					io.WriteString(c, text)
				case cause == "down":
					c.Close()
					return false
				default:
					io.WriteString(c, unavailableResponse)
				}
				urls <- url
				return true
			}
			if cause == "down" {
				node := newTestNode(t, &stubDiscovery{addr: newScriptedDiscovery(t, respond).addr}, askSettingsJSON, func(c *Config) { c.clock = fastClock{time.Now()} },
					first.entry("s-1"), second.entry("s-2"))
				waitFor(t, "the drain", func() bool { return node.serverByID("s-1").StopAt.Load() != 0 })
				return
			}
			old, next := newScriptedDiscovery(t, func(net.Conn, int64, string) bool { return false }), newScriptedDiscovery(t, respond)
			node := newTestNode(t, &stubDiscovery{addr: old.addr}, askSettingsJSON, func(c *Config) {
				c.clock = timerlessClock{follow.SystemClock()}
				c.adjustWatch = longPollLimits
			}, first.entry("s-1"), second.entry("s-2"))
			cfg := node.cfg
			cfg.Discovery = next.addr
			node.reload(cfg)
			waitFor(t, "the drain", func() bool { return node.serverByID("s-1").StopAt.Load() != 0 })
			for range 3 {
				if url := receive(t, "a call", urls); url != "/v1/endpoints" {
					t.Errorf("asked %q, want the complete list", url)
				}
			}
		})
	}
}
