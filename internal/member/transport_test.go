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

const testTimeout = 30 * time.Second

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come", what)
		}
	}
}

// Ten instances on loopback, with Ed25519: they find each other through two seeds; one of them lies, strangers forge; one
// that stops is given up, one that leaves has left; and none sends more than it may, measured at the sockets.
func TestTenInstances(t *testing.T) {
	const n = 10
	set := Usual()
	set.ProbeInterval, set.ProbeTimeout, set.SyncInterval = 100*time.Millisecond, 30*time.Millisecond, time.Second
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
	ring := func(i int) *Ring {
		r, err := NewRing(keys[i], members)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	var edges []*Edge
	var seeds []string
	begun := time.Now()
	for i := range n {
		addr, err := standin.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		e, err := Listen(t.Context(), Options{Name: memberName(i), Addr: addr, Seeds: seeds, Set: set, Keys: ring(i), Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		if edges = append(edges, e); i < 2 {
			seeds = append(seeds, e.Addr())
		}
	}
	closed := map[int]bool{}
	defer func() {
		for i, e := range edges {
			if !closed[i] {
				e.Close()
			}
		}
	}()
	holds := func(i, k int) (s State, known bool) {
		edges[i].Do(func(_ time.Duration, m *Member) {
			if p := m.peers[memberName(k)]; p != nil {
				s, known = p.State, true
			}
		})
		return
	}
	all := func(of, want int, s State) bool {
		for i := range of {
			if i == want || closed[i] {
				continue
			}
			if got, known := holds(i, want); !known || got != s {
				return false
			}
		}
		return true
	}
	waitFor(t, "joining", func() bool {
		for k := range n {
			if !all(n, k, Alive) {
				return false
			}
		}
		return true
	})
	// A stranger floods all with forged packets that declare everybody gone, and with nonsense.
	_, strange, _ := ed25519.GenerateKey(nil)
	stranger, err := NewRing(strange, map[string][]string{"x": {PublicText(strange)}})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Dial("udp", edges[3].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	for i := range 300 {
		p := packet{V: version, Kind: ping, From: memberName(i % n), To: memberName(3), Inc: 1 << 60, Seq: uint64(i)}
		for k := range n {
			p.Facts = append(p.Facts, signFact(&Fact{Kind: factLeft, By: memberName(k), Inc: 1 << 60}, stranger.Sign))
		}
		data := seal(&p, stranger.Sign)
		raw.Write(data[:min(len(data), 900+i)])
		raw.Write([]byte(strings.Repeat("x", i)))
	}
	// One with a valid key accuses everybody, again and again.
	var accused [n]uint64
	edges[9].Do(func(now time.Duration, m *Member) {
		for k := range n - 1 {
			p := m.peers[memberName(k)]
			accused[k] = p.Inc
			m.enqueue(now, fmt.Sprint("lie ", k), signFact(&Fact{Kind: factSuspect, By: memberName(9), About: memberName(k), Inc: p.Inc}, m.keys.Sign), 9)
		}
	})
	waitFor(t, "quiet, once each has answered the accusation", func() bool {
		for k := range n {
			if all(n, k, Dead) || all(n, k, Left) {
				t.Fatalf("%s is held for gone", memberName(k))
			}
			answered := false
			edges[k].Do(func(_ time.Duration, m *Member) { answered = k == 9 || m.Inc() > accused[k] })
			if !answered || !all(n, k, Alive) {
				return false
			}
		}
		return true
	})
	edges[3].Do(func(_ time.Duration, m *Member) {
		if m.Refused[ErrSignature] == 0 || m.Refused[ErrMalformed] == 0 {
			t.Errorf("refused: %v: the forgeries did not arrive", m.Refused)
		}
	})
	closed[4] = true
	edges[4].Close()
	waitFor(t, "one that leaves", func() bool { return all(n, 4, Left) })
	closed[5] = true
	edges[5].mu.Lock()
	edges[5].member.stopped = true // it stops without a word
	edges[5].mu.Unlock()
	edges[5].Close()
	waitFor(t, "one that stops", func() bool { return all(n, 5, Dead) })
	for i, e := range edges {
		if most := float64(set.MaxBytesPerSecond) * (time.Since(begun).Seconds() + 1); float64(e.Sent()) > most {
			t.Errorf("%s has sent %d bytes, %.0f are its most", memberName(i), e.Sent(), most)
		}
	}
}

// Key files: made once, read by their owner alone, rolled in steps of which each may be the last before a crash.
func TestKeyFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	first, err := MakeKey(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := MakeKey(path); !errors.Is(err, os.ErrExist) {
		t.Errorf("a key is written over: %v", err)
	}
	public := func(p string) string {
		k, err := ReadKey(p)
		if err != nil {
			t.Fatal(err)
		}
		return PublicText(k)
	}
	if public(path) != first {
		t.Error("another key is read than was made")
	}
	if _, err := UseNext(path); !errors.Is(err, os.ErrNotExist) || public(path) != first {
		t.Errorf("no key follows, and one is used: %v", err)
	}
	// A crash in the middle of making the next one leaves a part of it.
	if err := os.WriteFile(path+nextKeySuffix, []byte("bm9uc2"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := UseNext(path); err == nil || public(path) != first {
		t.Errorf("a broken key is used: %v", err)
	}
	next, err := NextKey(path)
	if err != nil || next == first || public(path) != first {
		t.Fatal(next, err)
	}
	if again, err := NextKey(path); err != nil || again != next { // as after a crash before the file went round
		t.Errorf("%v, %v: the next key changes", again, err)
	}
	if used, err := UseNext(path); err != nil || used != next || public(path) != next {
		t.Errorf("%v, %v", used, err)
	}
	if _, err := UseNext(path); !errors.Is(err, os.ErrNotExist) || public(path) != next { // as after a crash behind it
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
		"no name": {"": {first}}, "no key": {"a": nil}, "nonsense": {"a": {"x"}}, "a key of two": {"a": {first}, "b": {first}},
	} {
		if _, err := NewRing(key, members); err == nil {
			t.Errorf("%s is taken", what)
		}
	}
}

// Whatever comes as a packet is refused or read, and what is read has the form.
func FuzzPacket(f *testing.F) {
	w := newSimulation(3, 1)
	k := w.keys(1)
	p := packet{V: version, Kind: ping, From: memberName(1), To: memberName(0), Inc: 1001, Seq: 9, Facts: []signed{signFact(&Fact{Kind: factAlive, By: memberName(1), Inc: 1001, Addr: "a1"}, k.Sign)}}
	f.Add(seal(&p, k.Sign))
	f.Add(encode(&p))
	f.Add([]byte{0x82, 0x40, 0x40})
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := unseal(data, k); err == nil && (p.V != version || p.From == "" || len(p.Facts) > maxFacts) {
			t.Fatalf("%+v", p)
		}
		if fact, err := readFact(data); err == nil && (fact.Kind < factAlive || fact.Kind > factServerReport || len(fact.Data) > maxData) {
			t.Fatalf("%+v", fact)
		}
		m := New(0, memberName(0), "a0", 1, Usual(), w.keys(0), w.rng)
		m.Receive(second, "a1", data)
	})
}
