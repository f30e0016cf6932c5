package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/member"
	"portstall/internal/upgrade"
	"portstall/policy"
)

// backendOf is the server that is listed under an id.
func (n *node) backendOf(id string) *backend {
	n.core.Lock()
	defer n.core.Unlock()
	return n.names[id]
}

// attemptAt is an attempt at a listed server.
func (r *rig) attemptAt(id string, wait time.Duration) *core.Attempt {
	in, _ := http.NewRequest("GET", "http://x/api", nil)
	up, _ := flow.NewUpload(http.NoBody, 0)
	return &core.Attempt{Request: &core.Request{Message: in, Body: up}, Server: r.backendOf(id).Server, Wait: wait}
}

// through makes the way to a server a test's own.
func (r *rig) through(id string, via back.Dial) {
	b := r.backendOf(id)
	r.core.Lock()
	defer r.core.Unlock()
	b.Via = via
}

// What keeps a connection from coming up is held against the server only where it is the server's doing: not where this machine
// has no descriptor left, nor where the client's patience was over before any server could have answered.
func TestWhoseFaultItIs(t *testing.T) {
	t.Parallel()
	r := newRig(t, newRegistry(t), settingsJSON, nil, newBox(t, served).entry("s-1"))
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
		r.through("s-1", c.via)
		if res := r.Attempt(context.Background(), r.attemptAt("s-1", c.wait)); res.Outcome != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, res.Outcome, c.want)
		}
	}
	if open, _ := r.pool.Counts(); open != 0 {
		t.Errorf("%d connections are booked", open)
	}
}

// A request that finds no room for its body is refused, and told when to come back.
func TestNoRoomForABody(t *testing.T) {
	t.Parallel()
	r := newRig(t, newRegistry(t), settingsJSON, nil, newBox(t, served).entry("s-1"))
	must(t, r.budget.Request(context.Background(), r.cfg.bodyBytes()/2))
	defer r.budget.RequestDone(r.cfg.bodyBytes() / 2)
	q := save("s")
	q.body = strings.Repeat("x", flow.Keep)
	resp, _ := r.dial(t).ask(q)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != 503 || err != nil || after <= 0 || after > 2 {
		t.Errorf("%d with Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// Lines of the list that name no server or no place are passed over, and one that started in no time that there is counts as
// cold, not as long running.
func TestListWithNonsense(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	far := b.entry("s-2")
	far.StartedMS = 1 << 62
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"), listed{ID: "s-9", State: "Ready"}, listed{Addr: "127.0.0.1:1", State: "Ready"}, far)
	r.core.Lock()
	if len(r.names) != 2 || r.names["s-1"] == nil || r.names["s-2"] == nil {
		t.Errorf("%d servers", len(r.names))
	}
	r.core.Unlock()
	for i := range 40 {
		if resp, _ := r.dial(t).ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
	}
	r.lists(2, listed{ID: "s-1", State: "Gone"}, far) // the address of one that is known may be missing
	if r.backendOf("s-1") != nil && !r.backendOf("s-1").left {
		t.Error("one that has gone is there")
	}
}

// A configuration that is refused for one part of it changes nothing in the others: here its keys would have cast a member out.
func TestRefusedReloadChangesNothing(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	var addrs, publics [2]string
	for i := range 2 {
		addrs[i] = free(t)
		var err error
		publics[i], err = member.MakeKey(filepath.Join(dir, fmt.Sprint("k", i)))
		must(t, err)
	}
	file := func(i, of int, more string) func(*Config) {
		text := fmt.Sprintf("members:\n  name: n%d\n  listen: %s\n  key: %s\n  seeds: [%q]\n  of:\n", i, addrs[i], filepath.Join(dir, fmt.Sprint("k", i)), addrs[0])
		for k := range of {
			text += fmt.Sprintf("  - {name: n%d, keys: [%s]}\n", k, publics[k])
		}
		return under(t, text+more)
	}
	var rigs [2]*rig
	for i := range rigs {
		rigs[i] = newRig(t, newRegistry(t), settingsJSON, file(i, 2, ""))
		must(t, rigs[i].join(t.Context()))
		t.Cleanup(rigs[i].edge.Close)
	}
	r := rigs[0]
	wait(t, "joining", func() bool { return r.members().Alive == 2 && len(r.members().Members) == 1 })
	cfg := r.cfg
	cfg.Discovery = r.disc.addr
	cfg.Settings.Policy.MaxAttempts = 1
	file(0, 1, "cells: {size: 2}\n")(&cfg)
	r.reload(cfg)
	if all := r.members(); len(all.Members) != 1 {
		t.Errorf("members after a reload that was refused: %+v", all.Members)
	}
	if got := r.set.Load().Policy.MaxAttempts; got != 3 {
		t.Errorf("%d attempts after it", got)
	}
}

// A file cut off at any byte is refused at a start and at a reload, and so is one whose figures are out of range; each error
// names the file or the field.
func TestHalfWrittenFiles(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	good := `{"name":"n7","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","mgmt":"127.0.0.1:3","seed":"1",` +
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[]},"settings":` +
		strings.Replace(settingsJSON, `"report"`, `"projects":[{"name":"a","quota_per_s":5},{"name":"b","quota_per_s":5}],"report"`, 1) + `}`
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
func TestThreeProcessesAreOneNode(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	release := make(chan struct{})
	a := newBox(t, firstHeld(release))
	g := newRegistry(t)
	heir := func(of *rig) *rig {
		path := filepath.Join(t.TempDir(), "sock")
		l, err := upgrade.Listen(path, of, slog.New(slog.DiscardHandler), of.pair.met)
		must(t, err)
		t.Cleanup(func() { l.Close() })
		peer, text, err := upgrade.Dial(path)
		must(t, err)
		est := &estate{peer: peer}
		must(t, json.Unmarshal(text, est))
		r := newHeir(t, est, g, settingsJSON, nil)
		wait(t, "a successor", func() bool { return r.Ready() == nil })
		return r
	}
	out := func(r *rig, id string) bool {
		r.core.Lock()
		defer r.core.Unlock()
		return r.hand.disabled[id]
	}
	first := newRig(t, g, settingsJSON, nil, a.entry("s-1"), newBox(t, served).entry("s-2"))
	first.lists(2, a.entry("s-1"))
	busy := first.dial(t)
	busy.send(quote("open").text())
	wait(t, "the request at the server", func() bool { return len(a.requests()) == 1 })
	second := heir(first)
	third := heir(second)
	must(t, third.Disable(ctx, "s-1"))
	if !out(first, "s-1") || !out(second, "s-1") {
		t.Errorf("out at the first: %v, at the second: %v", out(first, "s-1"), out(second, "s-1"))
	}
	close(release)
	if resp, _ := busy.answer(); resp.StatusCode != 200 {
		t.Errorf("the first's request: %d", resp.StatusCode)
	}
	second.pair.mu.Lock()
	gone := second.pair.before
	second.pair.mu.Unlock()
	second.Alone(gone) // as the end of its process does
	must(t, third.Enable(ctx, "s-1"))
	if out(second, "s-1") {
		t.Error("the second is not told any more")
	}
	must(t, second.Disable(ctx, "s-1"))
	if !out(third, "s-1") {
		t.Error("the third is not told any more")
	}
}
