package member

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"portstall/internal/lab/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait; it is only reached when a test fails.
const testTimeout = 30 * time.Second

// waitFor polls a condition until it holds, and fails the test after testTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within the time limit", what)
		}
	}
}

// Ten instances on loopback sockets, with Ed25519 keys, join through two seeds. Forged packets of an unknown key and
// false accusations of one member remove no member, a member that leaves is known to have left, one that stops is
// declared dead, and none sends more bytes than its budget.
func TestTenInstancesOverSockets(t *testing.T) {
	const n = 10
	settings := DefaultSettings()
	settings.ProbeInterval, settings.ProbeTimeout, settings.SyncInterval = 100*time.Millisecond, 30*time.Millisecond, time.Second
	var keys []ed25519.PrivateKey
	members := map[string][]string{}
	for i := range n {
		_, k, err := ed25519.GenerateKey(nil)
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, k)
		members[memberName(i)] = []string{PublicText(k)}
	}
	keyring := func(i int) *Keyring {
		r, err := NewKeyring(keys[i], members)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	var transports []*Transport
	var seeds []string
	begun := time.Now()
	for i := range n {
		addr, err := standin.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		transport, err := Listen(t.Context(), Options{Name: memberName(i), Addr: addr, Seeds: seeds, Settings: settings, Keys: keyring(i), Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		if transports = append(transports, transport); i < 2 {
			seeds = append(seeds, transport.Addr())
		}
	}
	closed := map[int]bool{}
	defer func() {
		for i, transport := range transports {
			if !closed[i] {
				transport.Close()
			}
		}
	}()
	stateAt := func(i, k int) (s State, known bool) {
		transports[i].Do(func(_ time.Duration, m *Member) {
			if p := m.peers[memberName(k)]; p != nil {
				s, known = p.State, true
			}
		})
		return
	}
	allHaveState := func(count, subject int, s State) bool {
		for i := range count {
			if i == subject || closed[i] {
				continue
			}
			if got, known := stateAt(i, subject); !known || got != s {
				return false
			}
		}
		return true
	}
	waitFor(t, "all members joined", func() bool {
		for k := range n {
			if !allHaveState(n, k, Alive) {
				return false
			}
		}
		return true
	})
	// An unknown key signs packets by which all members leave; malformed packets come between them.
	_, unknownKey, _ := ed25519.GenerateKey(nil)
	forger, err := NewKeyring(unknownKey, map[string][]string{"x": {PublicText(unknownKey)}})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Dial("udp", transports[3].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	for i := range 300 {
		p := packet{Version: version, Kind: ping, From: memberName(i % n), To: memberName(3), Inc: 1 << 60, Seq: uint64(i)}
		for k := range n {
			p.Facts = append(p.Facts, signFact(&Fact{Kind: factLeft, By: memberName(k), Inc: 1 << 60}, forger.Sign))
		}
		data := seal(&p, forger.Sign)
		raw.Write(data[:min(len(data), 900+i)])
		raw.Write([]byte(strings.Repeat("x", i)))
	}
	// A member with a valid key accuses all others.
	var accused [n]uint64
	transports[9].Do(func(now time.Duration, m *Member) {
		for k := range n - 1 {
			p := m.peers[memberName(k)]
			accused[k] = p.Inc
			m.enqueue(now, fmt.Sprint("lie ", k), signFact(&Fact{Kind: factSuspect, By: memberName(9), About: memberName(k), Inc: p.Inc}, m.keys.Sign), 9)
		}
	})
	waitFor(t, "all members alive after each refuted the accusation", func() bool {
		for k := range n {
			if allHaveState(n, k, Dead) || allHaveState(n, k, Left) {
				t.Fatalf("%s is considered dead or left", memberName(k))
			}
			refuted := false
			transports[k].Do(func(_ time.Duration, m *Member) { refuted = k == 9 || m.Inc() > accused[k] })
			if !refuted || !allHaveState(n, k, Alive) {
				return false
			}
		}
		return true
	})
	transports[3].Do(func(_ time.Duration, m *Member) {
		if m.Refused[ErrSignature] == 0 || m.Refused[ErrMalformed] == 0 {
			t.Errorf("rejected by reason: %v: the forged packets did not arrive", m.Refused)
		}
	})
	closed[4] = true
	transports[4].Close()
	waitFor(t, "all members know that a member has left", func() bool { return allHaveState(n, 4, Left) })
	closed[5] = true
	transports[5].mu.Lock()
	transports[5].member.stopped = true // keeps Close from announcing that it leaves
	transports[5].mu.Unlock()
	transports[5].Close()
	waitFor(t, "all members consider a stopped member dead", func() bool { return allHaveState(n, 5, Dead) })
	for i, transport := range transports {
		if limit := float64(settings.MaxBytesPerSecond) * (time.Since(begun).Seconds() + 1); float64(transport.BytesSent()) > limit {
			t.Errorf("%s sent %d bytes, its budget is %.0f", memberName(i), transport.BytesSent(), limit)
		}
	}
}

// A key file is never overwritten and is readable by its owner alone. A roll of the key survives a crash after any of
// its steps.
func TestKeyFilesSurviveCrashesOfARoll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	first, err := MakeKey(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := MakeKey(path); !errors.Is(err, os.ErrExist) {
		t.Errorf("a key file is overwritten: %v", err)
	}
	public := func(p string) string {
		k, err := ReadKey(p)
		if err != nil {
			t.Fatal(err)
		}
		return PublicText(k)
	}
	if public(path) != first {
		t.Error("the key read differs from the key made")
	}
	if _, err := ActivateNextKey(path); !errors.Is(err, os.ErrNotExist) || public(path) != first {
		t.Errorf("a next key is activated that does not exist: %v", err)
	}
	// A crash while the next key is written leaves a truncated file.
	if err := os.WriteFile(path+nextKeySuffix, []byte("bm9uc2"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ActivateNextKey(path); err == nil || public(path) != first {
		t.Errorf("a truncated next key is activated: %v", err)
	}
	next, err := NextKey(path)
	if err != nil || next == first || public(path) != first {
		t.Fatal(next, err)
	}
	if again, err := NextKey(path); err != nil || again != next { // as after a crash before the public key was distributed
		t.Errorf("%v, %v: the next key changed", again, err)
	}
	if used, err := ActivateNextKey(path); err != nil || used != next || public(path) != next {
		t.Errorf("%v, %v", used, err)
	}
	if _, err := ActivateNextKey(path); !errors.Is(err, os.ErrNotExist) || public(path) != next { // as after a crash that followed
		t.Error(err)
	}
	for _, mode := range []os.FileMode{0o640, 0o604, 0o666} {
		if err := os.Chmod(path, mode); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadKey(path); !errors.Is(err, ErrKeyFileMode) || !strings.Contains(err.Error(), path) {
			t.Errorf("mode %o: %v", mode, err)
		}
	}
	_, key, _ := ed25519.GenerateKey(nil)
	for what, members := range map[string]map[string][]string{
		"an empty name": {"": {first}}, "no key": {"a": nil}, "a malformed key": {"a": {"x"}}, "a key of two members": {"a": {first}, "b": {first}},
	} {
		if _, err := NewKeyring(key, members); err == nil {
			t.Errorf("%s is accepted", what)
		}
	}
}

// Any input is either rejected or decoded within the limits, without a panic.
func FuzzPacket(f *testing.F) {
	sim := newSimulation(3, 1)
	k := sim.keys(1)
	p := packet{Version: version, Kind: ping, From: memberName(1), To: memberName(0), Inc: 1001, Seq: 9, Facts: []signed{signFact(&Fact{Kind: factAlive, By: memberName(1), Inc: 1001, Addr: "a1"}, k.Sign)}}
	f.Add(seal(&p, k.Sign))
	f.Add(encode(&p))
	f.Add([]byte{0x82, 0x40, 0x40})
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := unseal(data, k); err == nil && (p.Version != version || p.From == "" || len(p.Facts) > maxFacts) {
			t.Fatalf("%+v", p)
		}
		if fact, err := readFact(data); err == nil && (fact.Kind < factAlive || fact.Kind > factServerReport || len(fact.Data) > maxData) {
			t.Fatalf("%+v", fact)
		}
		m := New(0, memberName(0), "a0", 1, DefaultSettings(), sim.keys(0), sim.rng)
		m.Receive(second, "a1", data)
	})
}
