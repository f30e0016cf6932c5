package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/control/follow"
	"portstall/internal/core"
	"portstall/internal/endpoints"
	"portstall/internal/lab/standin"
	"portstall/policy"
)

// timerlessClock is a clock whose timers never fire: nothing that the policy wants later is done.
type timerlessClock struct{ core.Clock }

func (timerlessClock) AfterFunc(time.Duration, func()) {}

// scriptedDiscovery is a stub discovery whose responses a test writes.
type scriptedDiscovery struct {
	addr  string
	calls atomic.Int64
}

// newScriptedDiscovery starts a stub discovery. respond is called for each request, with its number from 1 on, and
// returns whether the connection goes on; otherwise it stays silent until the node closes it.
func newScriptedDiscovery(t *testing.T, respond func(c net.Conn, nth int64, url string) bool) *scriptedDiscovery {
	t.Helper()
	ln, err := standin.Listen()
	must(t, err)
	discovery := &scriptedDiscovery{addr: ln.Addr().String()}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil || !respond(c, discovery.calls.Add(1), r.URL.String()) {
						io.Copy(io.Discard, in) // silent until the node closes the connection
						return
					}
				}
			}()
		}
	}()
	return discovery
}

// listResponse is a response of discovery as it is sent, with the JSON indented.
func listResponse(response endpoints.List) string {
	text, _ := json.MarshalIndent(response, "", "\t")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// A watch that falls silent after its call was accepted, after the response's head or within its body is reopened from
// the version that the node has, and the missed change arrives. The policy can't help: its timers never fire here.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		for _, grace := range []string{"0.5", "1"} {
			for _, silentAfter := range []string{"the call", "the head", "half a body"} {
				t.Run(mode+" "+grace+" "+silentAfter, func(t *testing.T) {
					t.Parallel()
					first, second := newStubServer(t, respondOK), newStubServer(t, respondOK)
					draining := first.entry("s-1")
					draining.State = "Terminating"
					text := listResponse(endpoints.List{Version: 2, Servers: []endpoints.Endpoint{draining}})
					sentBytes := map[string]int{"the call": 0, "the head": strings.Index(text, "\r\n\r\n") + 4, "half a body": len(text) - 9}[silentAfter]
					urls := make(chan string, 10)
					discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, url string) bool {
						urls <- url
						if nth == 1 {
							io.WriteString(c, text[:sentBytes])
							return false
						}
						io.WriteString(c, text)
						return nth == 2
					})
					stub := &stubDiscovery{addr: discovery.addr}
					settings := strings.NewReplacer(`"push"`, `"`+mode+`"`, `"drain_grace_s":2`, `"drain_grace_s":`+grace).Replace(settingsJSON)
					node := newTestNode(t, stub, settings, func(c *Config) {
						c.clock = timerlessClock{follow.SystemClock()}
						c.adjustWatch = func(wait, limit time.Duration) (time.Duration, time.Duration) {
							if discovery.calls.Load() == 0 {
								return 0, 200 * time.Millisecond // until a call was accepted, which is the one that falls silent
							}
							return longPollLimits(wait, limit)
						}
						withProductTimeouts(c)
					}, first.entry("s-1"), second.entry("s-2"))
					for range 2 {
						select {
						case url := <-urls:
							if !strings.HasPrefix(url, "/v1/endpoints?since=1&") {
								t.Errorf("asked %q, want a watch from version 1", url)
							}
						case <-time.After(testTimeout):
							t.Fatal("the watch is not reopened")
						}
					}
					waitFor(t, "the missed drain", func() bool { return node.serverByID("s-1").StopAt.Load() != 0 })
				})
			}
		}
	}
}

// The contents of a response that has begun were announced. A response that stalls, is cut off or is malformed is asked
// for again at once and without the policy, though the watch could wait for long.
func TestBrokenResponseIsRetried(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"stalls", "cut off", "no list"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			first, second := newStubServer(t, respondOK), newStubServer(t, respondOK)
			draining := first.entry("s-1")
			draining.State = "Terminating"
			text := listResponse(endpoints.List{Version: 2, Servers: []endpoints.Endpoint{draining}})
			discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, _ string) bool {
				switch {
				case nth > 1:
					io.WriteString(c, text)
				case how == "no list":
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"versio:")
				default:
					io.WriteString(c, text[:len(text)-9])
					if how == "cut off" {
						c.Close()
					}
					return false
				}
				return true
			})
			node := newTestNode(t, &stubDiscovery{addr: discovery.addr}, strings.Replace(settingsJSON, `"push"`, `"ask"`, 1), func(c *Config) {
				withProductTimeouts(c)
				c.clock, c.adjustWatch = timerlessClock{follow.SystemClock()}, longPollLimits
			}, first.entry("s-1"), second.entry("s-2"))
			waitFor(t, "the drain", func() bool { return node.serverByID("s-1").StopAt.Load() != 0 })
		})
	}
}

// The drain grace runs from the first byte of a response, however long the rest takes: the drain was announced before
// that.
func TestDrainGraceStartsAtFirstResponseByte(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	draining := server.entry("s-1")
	draining.State = "Terminating"
	text := listResponse(endpoints.List{Version: 2, Servers: []endpoints.Endpoint{draining}})
	var now, reads atomic.Int64
	now.Store(int64(time.Hour))
	callStarted, sendRest := make(chan int64), make(chan struct{})
	discovery := newScriptedDiscovery(t, func(c net.Conn, nth int64, _ string) bool {
		if nth > 1 {
			return false
		}
		callStarted <- reads.Load() // the node has nothing to do but to read the response
		io.WriteString(c, text[:20])
		<-sendRest
		io.WriteString(c, text[20:])
		return true
	})
	node := newTestNode(t, &stubDiscovery{addr: discovery.addr}, settingsJSON, func(c *Config) {
		withTestTimeouts(c)
		c.clock, c.adjustWatch = manualClock{&now, &reads}, longPollLimits
	}, server.entry("s-1"))
	before := receive(t, "the call to discovery", callStarted)
	waitFor(t, "the node to read the first bytes", func() bool { return reads.Load() > before })
	now.Add(int64(time.Minute)) // the delay of a node that is short of processor time
	close(sendRest)
	waitFor(t, "the drain", func() bool { return node.serverByID("s-1").StopAt.Load() != 0 })
	if stop := time.Duration(node.serverByID("s-1").StopAt.Load()); stop > time.Hour+2*time.Second {
		t.Errorf("sends stop %v after the first byte, want them to stop within the grace of 2 s", stop-time.Hour)
	}
}

// manualClock is a clock that a test sets, and that counts its reads. Its timers never fire.
type manualClock struct{ now, reads *atomic.Int64 }

func (m manualClock) Now() time.Duration {
	m.reads.Add(1)
	return time.Duration(m.now.Load())
}

func (manualClock) AfterFunc(time.Duration, func()) {}

// A server that was announced as draining or removed is not brought back by an older full list, of a watch whose sender
// lags or of the discovery that a reload names. A later list brings it back, and so does a later start of the server.
func TestOlderListDoesNotUndoDrain(t *testing.T) {
	t.Parallel()
	first, second := newStubServer(t, respondOK), newStubServer(t, respondOK)
	entry := func(state string) endpoints.Endpoint {
		current := first.entry("s-1")
		current.State = state
		return current
	}
	for _, source := range []string{"watch", "reload"} {
		for _, state := range []string{"Terminating", "Gone"} {
			node := newTestNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.001`, 1), nil, entry("Ready"), second.entry("s-2"))
			isDrained := func() bool {
				server := node.serverByID("s-1")
				return server == nil || server.StopAt.Load() != 0
			}
			discovery := node.discovery
			applyFull := func(l endpoints.List) {
				if source == "reload" {
					node.core.Lock()
					discovery.fullListPending = true
					node.core.Unlock()
				}
				discovery.applyResponse(&l, policy.ListFull, true)
			}
			discovery.applyResponse(&endpoints.List{Version: 9, Servers: []endpoints.Endpoint{entry(state)}}, policy.ListDelta, true)
			if state == "Gone" {
				waitFor(t, "the end of the grace", func() bool { return node.serverByID("s-1") == nil })
			}
			applyFull(endpoints.List{Version: 8, Full: true, Servers: []endpoints.Endpoint{entry("Ready"), second.entry("s-2")}})
			if !isDrained() {
				t.Errorf("%s, announced %s: an older list brings it back", source, state)
			}
			restarted := entry("Ready")
			restarted.StartedMS = time.Now().UnixMilli()
			applyFull(endpoints.List{Version: 7, Full: true, Servers: []endpoints.Endpoint{restarted, second.entry("s-2")}})
			if isDrained() {
				t.Errorf("%s, announced %s: an older list with a later start does not bring it back", source, state)
			}
			discovery.applyResponse(&endpoints.List{Version: 10, Servers: []endpoints.Endpoint{entry("Terminating")}}, policy.ListDelta, true)
			discovery.applyResponse(&endpoints.List{Version: 11, Servers: []endpoints.Endpoint{entry("Ready")}}, policy.ListDelta, true)
			if isDrained() {
				t.Errorf("%s, announced %s: a later list does not bring it back", source, state)
			}
		}
	}
}

// An attempt that waits after its server was selected holds the old process. Once the server was started again, at the
// same address or another, or another ID took over its address, such an attempt is stopped by the grace, whatever is
// announced of the new process.
func TestSendToReplacedProcessStopsAfterGrace(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	moved := newStubServer(t, respondOK).entry("s-1")
	again := server.entry("s-1")
	again.StartedMS = time.Now().UnixMilli()
	other := server.entry("s-9")
	for name, next := range map[string]endpoints.Endpoint{"restarted": again, "moved": moved, "another id there": other} {
		node := newTestNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.001`, 1), nil, server.entry("s-1"))
		held := node.serverByID("s-1").Server
		node.publishList(2, next)
		drain := next
		drain.State = "Terminating"
		node.publishList(3, drain)
		waitFor(t, name+": the end of sends to the old process", func() bool {
			return held.Pass(func() error { return nil }) == back.ErrNoNewRequests
		})
	}
}
