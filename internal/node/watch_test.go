package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/control/follow"
	"portstall/internal/core"
	"portstall/internal/lab/standin"
	"portstall/policy"
)

// Whatever becomes of a watch, and however long discovery lets calls stand in line, the next call that it may answer is made
// before what was missed is past its grace. Played in virtual time, in both modes, with graces of 0.5 and 1 s.
func TestRhythm(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, push := range []bool{false, true} {
		for _, grace := range []time.Duration{500 * time.Millisecond, time.Second} {
			for range 2000 {
				r := &rhythm{push: push, grace: grace}
				began := time.Duration(rng.Int64N(int64(time.Hour)))
				wait, limit := r.call(false, rng.Float64())
				fell := began + time.Duration(rng.Int64N(int64(wait))) // when it fell silent
				told := max(fell+6*time.Second, began+wait+2*time.Second)
				now := began + limit
				rest, again := r.failed(now, began+wait, noAnswer, rng.Float64())
				line := time.Duration(rng.Int64N(int64(2 * time.Second))) // a call stands in line for so long,
				turned := rng.IntN(3)                                     // or was turned away so often before
				for range turned {
					if !again {
						t.Fatalf("push %v, grace %v: the loop gives up %v before what was missed counts", push, grace, told-now)
					}
					now += rest + 50*time.Millisecond
					rest, again = r.failed(now, 0, failedCall, rng.Float64())
				}
				if now += rest; turned == 0 {
					now += line
				}
				if !again || now > told+grace*9/10 {
					t.Fatalf("push %v, grace %v: a list only at %v, what was missed counts from %v", push, grace, now-began, told-began)
				}
			}
			// While a pushed list's agent is out nothing rests for longer than a part of the grace; elsewhere the policy says when.
			r := &rhythm{push: push, grace: grace}
			for range 50 {
				rest, again := r.failed(time.Hour, 0, failedCall, 0.999)
				if again != push || rest > grace/2 {
					t.Fatalf("push %v, grace %v: rests for %v, again %v", push, grace, rest, again)
				}
			}
			// What breaks off once it has begun was told: it is asked for again within the grace, and an answer that always takes
			// longer than it may is heard in the end.
			r = &rhythm{push: push, grace: grace}
			if b := r.body(); b > grace/2 {
				t.Errorf("push %v, grace %v: the rest of an answer may take %v", push, grace, b)
			}
			if rest, again := r.failed(time.Hour, 0, brokenOff, 0.999); !again || r.rest == 0 || rest > grace/4 {
				t.Errorf("push %v, grace %v: broken off, rests for %v, again %v", push, grace, rest, again)
			}
			for range 8 {
				r.failed(time.Hour, 0, brokenOff, 0)
			}
			if b := r.body(); b != fetchWait {
				t.Errorf("push %v, grace %v: slow answers may take %v in the end", push, grace, b)
			}
			r.owe(time.Hour)
			if _, again := r.failed(time.Hour+grace/2, 0, failedCall, 0); !again {
				t.Errorf("push %v, grace %v: gives up though a list is owed", push, grace)
			}
		}
	}
}

// timeless is a clock whose timers never come: nothing that a policy wants later is done.
type timeless struct{ core.Clock }

func (timeless) AfterFunc(time.Duration, func()) {}

// mute is a discovery that answers each call by a function, of the call's number; it returns whether the connection goes on.
type mute struct {
	addr  string
	taken atomic.Int64
}

func newMute(t *testing.T, answer func(c net.Conn, nth int64, url string) bool) *mute {
	t.Helper()
	ln, err := standin.Listen()
	must(t, err)
	m := &mute{addr: ln.Addr().String()}
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
					if err != nil || !answer(c, m.taken.Add(1), r.URL.String()) {
						io.Copy(io.Discard, in) // silent until the node closes it
						return
					}
				}
			}()
		}
	}()
	return m
}

// listText is an answer of discovery as it is on the wire, indented.
func listText(l list) string {
	text, _ := json.MarshalIndent(l, "", "\t")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// A watch that falls silent once its call was taken, after its head or within its body is opened anew from the version that
// the node has, without the policy: its timers never come here. What was missed is then in hand.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		for _, grace := range []string{"0.5", "1"} {
			for _, upTo := range []string{"the call", "the head", "half a body"} {
				t.Run(mode+" "+grace+" "+upTo, func(t *testing.T) {
					t.Parallel()
					a, b := newBox(t, served), newBox(t, served)
					draining := a.entry("s-1")
					draining.State = "Terminating"
					text := listText(list{Version: 2, Servers: []listed{draining}})
					silent := map[string]int{"the call": 0, "the head": strings.Index(text, "\r\n\r\n") + 4, "half a body": len(text) - 9}[upTo]
					urls := make(chan string, 10)
					m := newMute(t, func(c net.Conn, nth int64, url string) bool {
						urls <- url
						if nth == 1 {
							io.WriteString(c, text[:silent])
							return false
						}
						io.WriteString(c, text)
						return nth == 2
					})
					g := &registry{addr: m.addr}
					settings := strings.NewReplacer(`"push"`, `"`+mode+`"`, `"drain_grace_s":2`, `"drain_grace_s":`+grace).Replace(settingsJSON)
					r := newRig(t, g, settings, func(c *Config) {
						c.clock = timeless{follow.SystemClock()}
						c.watch = func(wait, limit time.Duration) (time.Duration, time.Duration) {
							if m.taken.Load() == 0 {
								return 0, 200 * time.Millisecond // until a call was taken; it is that one which falls silent
							}
							return longWatch(wait, limit)
						}
						hurried(c)
					}, a.entry("s-1"), b.entry("s-2"))
					for range 2 {
						select {
						case url := <-urls:
							if !strings.HasPrefix(url, "/v1/endpoints?since=1&") {
								t.Errorf("asked %q, want a watch from version 1", url)
							}
						case <-time.After(patience):
							t.Fatal("the watch is not opened anew")
						}
					}
					wait(t, "the drain that was missed", func() bool { return r.backendOf("s-1").Stop.Load() != 0 })
				})
			}
		}
	}
}

// An answer that has begun was told. One that stands still, is cut off or makes no sense is asked for again at once and without the
// policy, though its watch could wait for long.
func TestBrokenAnswerIsAskedForAgain(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"stands still", "cut off", "no list"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a, b := newBox(t, served), newBox(t, served)
			draining := a.entry("s-1")
			draining.State = "Terminating"
			text := listText(list{Version: 2, Servers: []listed{draining}})
			m := newMute(t, func(c net.Conn, nth int64, _ string) bool {
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
			r := newRig(t, &registry{addr: m.addr}, strings.Replace(settingsJSON, `"push"`, `"ask"`, 1), func(c *Config) {
				hurried(c)
				c.clock, c.watch = timeless{follow.SystemClock()}, longWatch
			}, a.entry("s-1"), b.entry("s-2"))
			wait(t, "the drain", func() bool { return r.backendOf("s-1").Stop.Load() != 0 })
		})
	}
}

// The grace runs from the first byte of an answer, however long the rest takes: it was told before that.
func TestGraceRunsFromTheAnswersFirstByte(t *testing.T) {
	t.Parallel()
	a := newBox(t, served)
	draining := a.entry("s-1")
	draining.State = "Terminating"
	text := listText(list{Version: 2, Servers: []listed{draining}})
	var now, looks atomic.Int64
	now.Store(int64(time.Hour))
	held, rest := make(chan int64), make(chan struct{})
	m := newMute(t, func(c net.Conn, nth int64, _ string) bool {
		if nth > 1 {
			return false
		}
		held <- looks.Load() // the node has nothing to do but to read the answer
		io.WriteString(c, text[:20])
		<-rest
		io.WriteString(c, text[20:])
		return true
	})
	r := newRig(t, &registry{addr: m.addr}, settingsJSON, func(c *Config) {
		unhurried(c)
		c.clock, c.watch = manual{&now, &looks}, longWatch
	}, a.entry("s-1"))
	before := receive(t, "the call to discovery", held)
	wait(t, "the node's reading of the first bytes", func() bool { return looks.Load() > before })
	now.Add(int64(time.Minute)) // a day of a node that is short of processor time
	close(rest)
	wait(t, "the drain", func() bool { return r.backendOf("s-1").Stop.Load() != 0 })
	if stop := time.Duration(r.backendOf("s-1").Stop.Load()); stop > time.Hour+2*time.Second {
		t.Errorf("sends stop %v behind the first byte, want within the grace of 2 s", stop-time.Hour)
	}
}

// manual is a clock that a test sets. Its timers never come.
type manual struct{ now, looks *atomic.Int64 }

func (m manual) Now() time.Duration {
	m.looks.Add(1)
	return time.Duration(m.now.Load())
}

func (manual) AfterFunc(time.Duration, func()) {}

// What was told to drain, or to be gone, is not brought back by a whole list that is older: of a watch whose sender lags, or of
// the discovery that a reload names. A later list brings it back, and so does a start since.
func TestOlderListUndoesNoDrain(t *testing.T) {
	t.Parallel()
	a, b := newBox(t, served), newBox(t, served)
	entry := func(state string) listed {
		e := a.entry("s-1")
		e.State = state
		return e
	}
	for _, way := range []string{"watch", "reload"} {
		for _, told := range []string{"Terminating", "Gone"} {
			r := newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.001`, 1), nil, entry("Ready"), b.entry("s-2"))
			out := func() bool {
				s := r.backendOf("s-1")
				return s == nil || s.Stop.Load() != 0
			}
			d := r.disc
			hand := func(l list) {
				if way == "reload" {
					r.core.Lock()
					d.whole = true
					r.core.Unlock()
				}
				d.news(&l, policy.ListFull, true)
			}
			d.news(&list{Version: 9, Servers: []listed{entry(told)}}, policy.ListDelta, true)
			if told == "Gone" {
				wait(t, "the end of the grace", func() bool { return r.backendOf("s-1") == nil })
			}
			hand(list{Version: 8, Full: true, Servers: []listed{entry("Ready"), b.entry("s-2")}})
			if !out() {
				t.Errorf("%s, told %s: an older list brings it back", way, told)
			}
			restarted := entry("Ready")
			restarted.StartedMS = time.Now().UnixMilli()
			hand(list{Version: 7, Full: true, Servers: []listed{restarted, b.entry("s-2")}})
			if out() {
				t.Errorf("%s, told %s: an older list with a later start does not bring it back", way, told)
			}
			d.news(&list{Version: 10, Servers: []listed{entry("Terminating")}}, policy.ListDelta, true)
			d.news(&list{Version: 11, Servers: []listed{entry("Ready")}}, policy.ListDelta, true)
			if out() {
				t.Errorf("%s, told %s: a later list does not bring it back", way, told)
			}
		}
	}
}

// A send that has picked a server and waits holds the process that was: once that was started anew under its id, at its address
// or another, it is stopped by the grace as one that is gone, whatever is told of the new one.
func TestSendHoldsTheProcessThatWas(t *testing.T) {
	t.Parallel()
	a := newBox(t, served)
	moved := newBox(t, served).entry("s-1")
	again := a.entry("s-1")
	again.StartedMS = time.Now().UnixMilli()
	other := a.entry("s-9")
	for name, next := range map[string]listed{"restarted": again, "moved": moved, "another id there": other} {
		r := newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.001`, 1), nil, a.entry("s-1"))
		held := r.backendOf("s-1").Server
		r.lists(2, next)
		drain := next
		drain.State = "Terminating"
		r.lists(3, drain)
		wait(t, name+": the end of what a send may do", func() bool {
			return held.Pass(func() error { return nil }) == back.ErrShut
		})
	}
}
