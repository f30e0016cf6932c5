package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/contract"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/handover"
	"portstall/internal/upgrade"
	"portstall/internal/wire"
	"portstall/policy"
)

// backendOf is the server that is listed under an id.
func (n *node) backendOf(id string) *backend {
	n.core.Lock()
	defer n.core.Unlock()
	return n.names[id]
}

// attemptAt is an attempt at a listed server.
func (n *rig) newAttempt(id string, wait time.Duration) *core.Attempt {
	in, _ := http.NewRequest("GET", "http://x/api", nil)
	up, _ := flow.NewUpload(http.NoBody, 0)
	return &core.Attempt{Request: &core.Request{Message: in, Body: up}, Server: n.backendOf(id).Server, Wait: wait}
}

// through makes the way to a server a test's own.
func (n *rig) setDial(id string, via back.Dial) {
	b := n.backendOf(id)
	n.core.Lock()
	defer n.core.Unlock()
	b.Via = via
}

// What keeps a connection from coming up is held against the server only where it is the server's doing: not where this machine
// has no descriptor left, nor where the client's patience was over before any server could have answered.
func TestConnectFailureIsAttributed(t *testing.T) {
	t.Parallel()
	node := newRig(t, newRegistry(t), settingsJSON, nil, newBox(t, served).entry("s-1"))
	never := func(ctx context.Context, _ *net.Dialer, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	fails := func(err error) back.Dial {
		return func(context.Context, *net.Dialer, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}
		}
	}
	for _, c := range []struct {
		name string
		via  back.Dial
		wait time.Duration
		want policy.Outcome
	}{
		{"no descriptor for the process", fails(syscall.EMFILE), patience, policy.Moot},
		{"none for the machine", fails(syscall.ENFILE), patience, policy.Moot},
		{"no memory for a socket", fails(syscall.ENOBUFS), patience, policy.Moot},
		{"refused", fails(syscall.ECONNREFUSED), patience, policy.ConnectFailed},
		{"a client of no patience", never, time.Millisecond, policy.Moot},
		{"one who waits for a while", never, 300 * time.Millisecond, policy.ConnectFailed},
	} {
		node.setDial("s-1", c.via)
		if res := node.Attempt(context.Background(), node.newAttempt("s-1", c.wait)); res.Outcome != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, res.Outcome, c.want)
		}
	}
	if open, _ := node.pool.Counts(); open != 0 {
		t.Errorf("%d connections are booked", open)
	}
}

// A request that finds no room for its body is refused, and told when to come back.
func TestBodyBeyondBudgetIsRefused(t *testing.T) {
	t.Parallel()
	node := newRig(t, newRegistry(t), settingsJSON, hurried, newBox(t, served).entry("s-1"))
	must(t, node.budget.Request(context.Background(), node.cfg.bodyBytes()/2))
	defer node.budget.RequestDone(node.cfg.bodyBytes() / 2)
	q := save("s")
	q.body = strings.Repeat("x", flow.Keep)
	resp, _ := node.dial(t).ask(q)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != 503 || err != nil || after <= 0 || after > 2 {
		t.Errorf("%d with Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// Lines of the list that name no server or no place are passed over, and one that started in no time that there is counts as
// cold, not as long running.
func TestMalformedListEntriesAreSkipped(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	far := server.entry("s-2")
	far.StartedMS = 1 << 62
	node := newRig(t, newRegistry(t), settingsJSON, nil, server.entry("s-1"), listed{ID: "s-9", State: "Ready"}, listed{Addr: "127.0.0.1:1", State: "Ready"}, far)
	node.core.Lock()
	if len(node.names) != 2 || node.names["s-1"] == nil || node.names["s-2"] == nil {
		t.Errorf("%d servers", len(node.names))
	}
	node.core.Unlock()
	for i := range 40 {
		if resp, _ := node.dial(t).ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
	}
	node.lists(2, listed{ID: "s-1", State: "Gone"}, far) // the address of one that is known may be missing
	if node.backendOf("s-1") != nil && !node.backendOf("s-1").left {
		t.Error("one that has gone is there")
	}
}

// A configuration that is refused for one part of it changes nothing in the others: here its keys would have cast a member out.
func TestRejectedReloadChangesNothing(t *testing.T) {
	t.Parallel()
	some := newFellows(t, 2)
	var rigs [2]*rig
	for i := range rigs {
		rigs[i] = newRig(t, newRegistry(t), settingsJSON, under(t, some.file(i, 2)))
		must(t, rigs[i].join(t.Context()))
		t.Cleanup(rigs[i].edge.Close)
	}
	node := rigs[0]
	wait(t, "joining", func() bool { return node.members().Alive == 2 && len(node.members().Members) == 1 })
	cfg := node.cfg
	cfg.Discovery = node.disc.addr
	cfg.Settings.Policy.MaxAttempts = 1
	under(t, some.file(0, 1)+"cells: {size: 2}\n")(&cfg)
	node.reload(cfg)
	if all := node.members(); len(all.Members) != 1 {
		t.Errorf("members after a reload that was refused: %+v", all.Members)
	}
	if got := node.set.Load().Policy.MaxAttempts; got != 3 {
		t.Errorf("%d attempts after it", got)
	}
}

// A file cut off at any byte is refused at a start and at a reload, and so is one whose figures are out of range; each error
// names the file or the field.
func TestTruncatedOrInvalidFilesAreRejected(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	good := strings.Replace(goodFile, `"report"`, `"projects":[{"name":"a","quota_per_s":5},{"name":"b","quota_per_s":5}],"report"`, 1)
	getenv := func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
	must(t, os.WriteFile(path, []byte(good), 0o600))
	inForce, err := Load(getenv)
	must(t, err)
	for i := range good {
		must(t, os.WriteFile(path, []byte(good[:i]), 0o600))
		_, first := Load(getenv)
		_, second := Reload(getenv, inForce)
		for _, err := range []error{first, second} {
			if err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
				t.Fatalf("the first %d bytes: %v", i, err)
			}
		}
	}
	for _, c := range []struct{ old, new, want string }{
		{`"cores":1`, `"cores":1e300`, "limits.cores"},
		{`"memory_mb":64`, `"memory_mb":100000000000`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":9000000000000000000`, "limits.sockets"},
		{`"sockets":256`, `"sockets":1e300`, "sockets"},
		{`"cold_s":8`, `"cold_s":1e300`, "cold_s"},
		{`"drain_grace_s":2`, `"drain_grace_s":1e19`, "drain_grace_s"},
		{`"drain_grace_s":2`, `"drain_grace_s":-2`, "DrainGrace"},
		{`"cold_share":0.3`, `"cold_share":1.5`, "ColdShare"},
		{`"cold_share":0.3`, `"cold_share":-1`, "ColdShare"},
		{`"overload_factor":4`, `"overload_factor":-4`, "FallFactor"},
		{`"overload_factor":4`, `"overload_factor":NaN`, "GW_CONFIG"},
		{`"max_retry_after_s":2`, `"max_retry_after_s":-2`, "RetryAfter"},
		{`"balancers":1`, `"balancers":0`, "Nodes"},
		{`"name":"save"`, `"name":"view"`, "Classes[1].Name"},
		{`"name":"b"`, `"name":"a"`, "Tenants[1].Name"},
		{`"quota_per_s":5`, `"quota_per_s":-5`, "QuotaPerS"},
		{`"discovery":"push"`, `"discovery":"pull"`, "discovery"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s is not there", c.old)
		}
		must(t, os.WriteFile(path, []byte(text), 0o600))
		_, first := Load(getenv)
		_, second := Reload(getenv, inForce)
		for _, err := range []error{first, second} {
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: %v, want an error that names %s", c.new, err, c.want)
			}
		}
	}
}

// A process that was replaced finishes what it took while its successor is replaced in its turn. Operators' calls reach all
// three, and the end of one leaves the other two one node.
func TestOrdersReachThreeProcesses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	release, hold := make(chan struct{}), make(chan struct{})
	server := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		switch r.Header.Get("X-Request-Id") {
		case "open":
			<-release
		case "slow":
			<-hold
		}
		return served(c, r, nth)
	})
	end := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(end)
	discoveryStub := newRegistry(t)
	out := func(node *rig, id string) bool {
		node.core.Lock()
		defer node.core.Unlock()
		return node.hand.disabled[id]
	}
	first := newRig(t, discoveryStub, settingsJSON, nil, server.entry("s-1"), newBox(t, served).entry("s-2"))
	first.lists(2, server.entry("s-1"))
	busy := first.dial(t)
	busy.send(quote("open").text())
	wait(t, "the request at the server", func() bool { return len(server.requests()) == 1 })
	second := startSuccessor(t, first.meet(t), discoveryStub, settingsJSON)
	stays := second.dial(t) // the second one ends behind the first, and not before it has answered this
	stays.send(quote("slow").text())
	wait(t, "the second's request at the server", func() bool { return len(server.requests()) == 2 })
	third := startSuccessor(t, second.meet(t), discoveryStub, settingsJSON)
	must(t, third.Disable(ctx, "s-1"))
	if !out(first, "s-1") || !out(second, "s-1") {
		t.Errorf("out at the first: %v, at the second: %v", out(first, "s-1"), out(second, "s-1"))
	}
	close(release)
	if resp, _ := busy.answer(); resp.StatusCode != 200 {
		t.Errorf("the first's request: %d", resp.StatusCode)
	}
	second.pair.mu.Lock()
	gone := second.pair.peers[second.pair.machine.Before]
	second.pair.mu.Unlock()
	second.Gone(gone) // as the end of its process does
	must(t, third.Enable(ctx, "s-1"))
	if out(second, "s-1") {
		t.Error("the second is not told any more")
	}
	must(t, second.Disable(ctx, "s-1"))
	if !out(third, "s-1") {
		t.Error("the third is not told any more")
	}
	end()
	if resp, _ := stays.answer(); resp.StatusCode != 200 {
		t.Errorf("the second's request: %d", resp.StatusCode)
	}
}

// All that several goroutines can reach at a time is reached by several at a time, for the race detector; meanwhile what was
// asked is answered, and in the end nothing is left.
func TestConcurrentOperations(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	report := func(c net.Conn, r *http.Request, nth int) bool {
		return reply(c, 200, fmt.Sprintf("X-Load: {\"depth\": %d}\r\n", nth%9), "done "+r.Header.Get("X-Request-Id"))
	}
	serverA, serverB := newBox(t, report), newBox(t, report)
	node := newRig(t, newRegistry(t), settingsJSON, under(t, teams+"- {name: rest}\nhealth: {checks: {interval: 100ms, tcp: {}}}\n"), serverA.entry("s-1"), serverB.entry("s-2"))
	cfg := node.cfg
	cfg.Discovery = node.disc.addr
	set, err := wire.DecodeSettings([]byte(strings.Replace(settingsJSON, `"max_attempts":3`, `"max_attempts":2`, 1)))
	must(t, err)
	var asked, served atomic.Int64
	var over atomic.Bool
	var askers, others sync.WaitGroup
	for i := range 6 {
		askers.Go(func() {
			c := node.dial(t)
			for n := range 60 {
				asked.Add(1)
				text := with(view(fmt.Sprint("v", i, "-", n)), "X-Tenant: somebody")
				for tries := 0; ; tries++ { // a close may cross a request that was not read: it is sent again, and had it been taken it were refused
					c.SetDeadline(time.Now().Add(patience))
					io.WriteString(c, text)
					resp, err := http.ReadResponse(c.in, nil)
					if err == nil {
						resp.Body.Close()
						if served.Add(1); resp.StatusCode == http.StatusConflict {
							t.Errorf("request %d of asker %d was lost", n, i)
						}
						if resp.Close {
							c = node.dial(t)
						}
						break
					}
					if tries == 100 {
						t.Errorf("asker %d: %v", i, err)
						return
					}
					c = node.dial(t)
				}
			}
		})
	}
	version := int64(1)
	for _, act := range []func(n int){
		func(n int) { version++; node.lists(version, serverA.entry("s-1"), serverB.entry("s-2")) },
		func(n int) {
			e := serverB.entry("s-2")
			e.State = []string{"Ready", "Terminating", "Ready"}[n%3]
			node.core.Lock()
			defer node.core.Unlock()
			node.takeList(&list{Version: node.version, Servers: []listed{e}}, policy.ListDelta)
		},
		func(n int) { node.Disable(ctx, "s-1"); node.Enable(ctx, "s-1") },
		func(n int) {
			change := cfg
			if n%2 == 0 {
				change.Settings = set
			}
			node.reload(change)
		},
		func(n int) { node.core.Stats(10); node.core.Explain(&contract.Caller{Tenant: "app"}, "view", false) },
		func(n int) { node.healthOf(""); node.readinessStatus(); node.Ready(); node.standing() },
		func(n int) {
			node.pool.Resize(10 + n%20)
			node.pool.Counts()
			node.clients.Resize(50 + n%9)
			node.opaque.Stats()
		},
		func(n int) { node.Drain(ctx); node.Resume(ctx) },
		func(n int) { node.core.Lock(); node.snapshot(n%2 == 0); node.core.Unlock(); node.setLimits(1) },
	} {
		others.Go(func() {
			for n := 0; !over.Load(); n++ {
				act(n)
				time.Sleep(time.Millisecond) // so that the askers get their turn at the locks
			}
		})
	}
	askers.Wait()
	over.Store(true)
	others.Wait()
	if asked.Load() != served.Load() || asked.Load() != 360 {
		t.Errorf("%d asked, %d answered", asked.Load(), served.Load())
	}
	wait(t, "the end of all requests", func() bool { return node.core.Stats(0).Open == 0 })
}

// A server out by hand that comes back at another address costs no request its only attempt: the policy knows, and not the gate
// alone.
func TestDisabledServerCostsNoAttempt(t *testing.T) {
	t.Parallel()
	serverA, moved, serverB := newBox(t, served), newBox(t, served), newBox(t, served)
	one := strings.Replace(settingsJSON, `"max_attempts":3`, `"max_attempts":1`, 1)
	node := newRig(t, newRegistry(t), one, nil, serverA.entry("s-1"), serverB.entry("s-2"))
	must(t, node.Disable(context.Background(), "s-1"))
	node.lists(2, moved.entry("s-1"), serverB.entry("s-2"))
	for i := range 40 {
		if resp, _ := node.dial(t).ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
	}
	if n := len(moved.requests()); n > 0 {
		t.Errorf("%d requests at the server that is out", n)
	}
}

// A request's id that its predecessor takes on a kept connection after the hand-over is not known to the successor.
func TestIDAcceptedByPredecessorAfterHandover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Header.Get("X-Request-Id") == "late" && nth == 2 {
			<-release
		}
		return served(c, r, nth)
	})
	defer close(release)
	discoveryStub := newRegistry(t)
	old := newRig(t, discoveryStub, settingsJSON, nil, server.entry("s-1"))
	keeps := old.dial(t)
	keeps.ask(view("v"))
	est := old.meet(t)
	keeps.send(quote("late").text()) // taken behind the state
	wait(t, "the request at the server", func() bool { return len(server.requests()) == 2 })
	young := startSuccessor(t, est, discoveryStub, settingsJSON)
	if resp, _ := young.dial(t).ask(quote("late")); resp.StatusCode != http.StatusConflict {
		t.Errorf("the id of a request that the predecessor took behind its state: %d", resp.StatusCode)
	}
}

// Behind the hand-over a predecessor asks before each request on the connections that clients keep: an id that is open at the
// successor does not begin there, nor the other way round, and one that has ended may be used again.
func TestOpenIDsAreSharedAfterHandover(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	server := newSlowBox(t, hold)
	discoveryStub := newRegistry(t)
	old := newRig(t, discoveryStub, settingsJSON, unhurried, server.entry("s-1"))
	keeps, again := old.dial(t), old.dial(t)
	keeps.ask(view("v"))
	again.ask(view("w"))
	est := old.meet(t)
	keeps.send(quote("slow").text()[:40]) // its first bytes keep the connection while others are closed
	again.send(view("free").text()[:40])
	young := startSuccessor(t, est, discoveryStub, settingsJSON)
	first := young.dial(t)
	first.send(quote("slow").text())
	wait(t, "the request at the server", func() bool { return len(server.requests()) == 3 })
	keeps.send(quote("slow").text()[40:])
	if resp, _ := keeps.answer(); resp.StatusCode != http.StatusConflict {
		t.Errorf("an id that is open at the successor: %d at the predecessor", resp.StatusCode)
	}
	again.send(view("free").text()[40:])
	if resp, _ := again.answer(); resp.StatusCode != http.StatusOK {
		t.Errorf("another one at the predecessor: %d", resp.StatusCode)
	}
	wait(t, "its end's notice", func() bool {
		young.core.Lock()
		defer young.core.Unlock()
		return len(young.core.Ids().Theirs(young.core.Now())) == 0
	})
	if resp, _ := young.dial(t).ask(view("free")); resp.StatusCode != http.StatusOK {
		t.Errorf("an id that has ended at the predecessor: %d", resp.StatusCode)
	}
	close(hold)
	if resp, _ := first.answer(); resp.StatusCode != http.StatusOK {
		t.Errorf("the request at the successor: %d", resp.StatusCode)
	}
}

// A process that was relieved and told to end does so, also when its successor ends before it has.
func TestRelievedProcessEndsOnSIGTERM(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	server := newSlowBox(t, hold)
	discoveryStub := newRegistry(t)
	old := newRig(t, discoveryStub, settingsJSON, unhurried, server.entry("s-1"))
	busy := old.dial(t)
	busy.send(view("slow").text())
	wait(t, "the request at the server", func() bool { return len(server.requests()) == 1 })
	young := startSuccessor(t, old.meet(t), discoveryStub, settingsJSON)
	wait(t, "relief", func() bool { return old.life.now() == relieved })
	old.leave()
	wait(t, "the order to end", func() bool { return old.life.now() == leaving })
	young.leave()
	young.exited <- receive(t, "the successor's end", young.exited)
	wait(t, "its notice", func() bool { return old.pair.currentPhase() == handover.Serves })
	close(hold)
	if resp, _ := busy.answer(); resp.StatusCode != http.StatusOK {
		t.Errorf("what it had taken: %d", resp.StatusCode)
	}
	select {
	case err := <-old.exited:
		must(t, err)
		old.exited <- err
	case <-time.After(patience):
		t.Error("it does not end")
	}
}

// successor is the other end of a hand-over as a test wants it: it says what it is told to and no more.
type successor struct {
	messages chan handover.Message
}

func (s successor) Heard(_ *upgrade.Peer, what handover.Message, _ uint64, _ []byte) {
	s.messages <- what
}
func (successor) Hello(*upgrade.Peer) {}
func (successor) Claim(*upgrade.Peer, string, time.Duration) handover.Verdict {
	return handover.Granted
}
func (successor) Ended(*upgrade.Peer, string)             {}
func (successor) Obey(*upgrade.Peer, upgrade.Order) error { return nil }
func (successor) Gone(*upgrade.Peer)                      {}

// A successor that ends leaves its predecessor serving, with its listener: before it was told that clients are its own, after
// that, and after it has said that it serves. One that hangs after its yes is not waited for, unless it has the token.
func TestPredecessorServesWhenSuccessorEnds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name          string
		ready, serves bool
		ends          bool
	}{{"before it is ready", false, false, true}, {"once it is told", true, false, true}, {"once it serves", true, true, true},
		{"it hangs once it is told", true, false, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := newBox(t, served)
			path := meetAt(t)
			old := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.meet = path }, server.entry("s-1"))
			m := old.meet(t)
			s := successor{make(chan handover.Message, 10)}
			m.peer.Follow(s)
			var token *upgrade.Token
			if c.ready {
				m.peer.Tell(handover.Ready, 0, nil)
				if what := receive(t, "the predecessor's word", s.messages); what != handover.Yours {
					t.Fatalf("told %d", what)
				}
			}
			if c.serves {
				var err error
				token, err = upgrade.OpenToken(path + "-token")
				must(t, err)
				number, had, err := token.Lock()
				if !had || err != nil {
					t.Fatal("the token is not to be had", err)
				}
				must(t, token.Mark(number+1))
				m.peer.Tell(handover.Serving, 0, nil)
				wait(t, "the predecessor's relief", func() bool { return old.pair.currentPhase() == handover.Relieved })
			}
			if c.ends {
				if token != nil {
					token.Close()
				}
				m.peer.Close()
			}
			if c.ready {
				wait(t, "the predecessor", func() bool { return old.pair.currentPhase() == handover.Serves })
			}
			wait(t, "its clients", func() bool { return !old.life.sendsAway() })
			if resp, _ := old.dial(t).ask(view("v")); resp.StatusCode != http.StatusOK || resp.Close {
				t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
			}
			if !c.ends {
				m.peer.Close()
			}
		})
	}
}
