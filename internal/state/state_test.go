package state

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

const now = 400_000 * time.Hour // Unix time, about 2015

// full is a snapshot with something of everything.
func full(servers int) *Snapshot {
	s := &Snapshot{Taken: now, Fleet: "f", Version: 7, Out: []string{"s-1"}, Returned: []At{{"s-2", now - time.Second}},
		Open: []At{{"x", now + time.Second}}, Hearsay: []At{{"y", now + 2*time.Second}}, Keys: []Key{{9, 3, now + time.Minute}},
		Classes: []Class{{"view", policy.ClassSums{Requests: 8, Latency: 1, Answers: 7, Least: 2}}}, Totals: policy.Totals{Total: 9, Picks: 8, Retries: 4},
		Contracts: []contract.Left{{Name: "app", Tokens: -3, Work: 5}}}
	for i := range servers {
		e := policy.Evidence{Mode: 1, Others: 4, ReportAt: now.Seconds(), Room: math.Inf(1), Base: 0.2, Latency: 3, Occupancy: 30, Served: 20, LastOK: now.Seconds(), Slots: 4}
		s.Servers = append(s.Servers, Server{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "north", Kind: "k", State: "Ready", Started: int64(i), Known: Of(e)})
	}
	return s
}

func encoded(t testing.TB, s *Snapshot) []byte {
	t.Helper()
	text, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestRoundTrip(t *testing.T) {
	s := full(3)
	got, err := Decode(encoded(t, s))
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, s)
	}
}

// A file cut at every byte, with every bit flipped, of another version, with more behind it: none is taken, each says why.
func TestDamage(t *testing.T) {
	text := encoded(t, full(2))
	for n := range text {
		if _, err := Decode(text[:n]); !errors.Is(err, ErrCut) && !errors.Is(err, ErrForm) || n > len(magic) && !errors.Is(err, ErrCut) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for i := range len(text) * 8 {
		text[i/8] ^= 1 << (i % 8)
		if _, err := Decode(text); err == nil {
			t.Fatalf("bit %d is flipped, and it is taken", i)
		}
		text[i/8] ^= 1 << (i % 8)
	}
	if _, err := Decode(append(text, 0)); !errors.Is(err, ErrForm) {
		t.Errorf("a byte behind it: %v", err)
	}
	text[len(magic)]++
	if _, err := Decode(text); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), "2, not 1") {
		t.Errorf("another version: %v", err)
	}
}

// What a sound file can't say is refused, or, where it is about one server alone, forgotten.
func TestNonsense(t *testing.T) {
	for name, spoil := range map[string]func(s *Snapshot){
		"a server twice":     func(s *Snapshot) { s.Servers[1].ID = "s-0" },
		"no address":         func(s *Snapshot) { s.Servers[0].Addr = "" },
		"a long id":          func(s *Snapshot) { s.Out[0] = strings.Repeat("x", 600) },
		"no id":              func(s *Snapshot) { s.Open[0].ID = "" },
		"a time below zero":  func(s *Snapshot) { s.Taken = -1 },
		"totals":             func(s *Snapshot) { s.Totals.Mean = math.Inf(1) },
		"a class":            func(s *Snapshot) { s.Classes[0].Sums.Least = math.NaN() },
		"what a contract is": func(s *Snapshot) { s.Contracts[0].Work = math.NaN() },
	} {
		s := full(2)
		spoil(s)
		if _, err := Decode(encoded(t, s)); !errors.Is(err, ErrForm) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, spoil := range map[string]func(e *Evidence){
		"a latency": func(e *Evidence) { e.Latency = -1 }, "a mode": func(e *Evidence) { e.Mode = 3 }, "a bound": func(e *Evidence) { e.Room = math.NaN() },
	} {
		s := full(2)
		spoil(s.Servers[0].Known)
		if got, err := Decode(encoded(t, s)); err != nil || got.Servers[0].Known != nil || got.Servers[1].Known == nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Each field's rule, for one who reads at once, after a while, after an hour, by a clock a day behind, and in another fleet.
func TestAge(t *testing.T) {
	for _, c := range []struct {
		name                                        string
		exact                                       bool
		after                                       time.Duration
		fleet                                       string
		drops                                       int
		out, returned, list, open, learnt, busy, on bool
	}{
		{"at once, by a successor", true, 0, "f", 0, true, true, true, true, true, true, true},
		{"a successor whose clock was set ahead by an hour", true, time.Hour, "f", 0, true, true, true, true, true, true, true},
		{"and back by a day", true, -24 * time.Hour, "f", 0, true, true, true, true, true, true, true},
		{"after a crash", false, 900 * time.Millisecond, "f", 1, true, true, true, true, true, true, true},
		{"after 5 s", false, 5 * time.Second, "f", 1, true, true, true, false, true, false, true},
		{"after an hour", false, time.Hour, "f", 2, true, false, true, false, false, false, false},
		{"written by a clock a day ahead", false, -24 * time.Hour, "f", 2, true, true, true, false, false, false, false},
		{"of another fleet", false, time.Second / 2, "g", 2, false, false, false, false, false, false, false},
	} {
		s := full(2)
		s.Exact = c.exact
		at := now + c.after
		drops := s.Age(Reader{Now: at, Fleet: c.fleet, ColdFor: 8 * time.Second})
		var e Evidence
		learnt := len(s.Servers) > 0 && s.Servers[0].Known != nil
		if learnt {
			e = *s.Servers[0].Known
		}
		got := [...]bool{len(s.Out) == 1, len(s.Returned) == 1, len(s.Servers) == 2, len(s.Open) == 1 && s.Open[0].At > at, learnt,
			e.Others == 4 && e.Mode == 1, learnt && e.Latency > 0 && math.Abs(e.Latency/e.Occupancy-0.1) < 1e-9}
		if want := [...]bool{c.out, c.returned, c.list, c.open, c.learnt, c.busy, c.on}; got != want || len(drops) != c.drops {
			t.Errorf("%s: out, returned, list, open, learnt, queues, service times: %v, want %v; %v", c.name, got, want, drops)
		}
		if s.Totals.Retries != 4 || s.Contracts[0].Tokens != -3 {
			t.Errorf("%s: %v retries, %v tokens", c.name, s.Totals.Retries, s.Contracts[0].Tokens)
		}
		for _, r := range s.Returned {
			if r.At > at {
				t.Errorf("%s: put back by hand %v from now on", c.name, r.At-at)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	text := encoded(f, full(3))
	f.Add(text)
	f.Add(text[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= header { // the sum is put right, so that the fuzzer comes to what is behind it
			b = append([]byte(nil), b...)
			copy(b, text[:len(magic)+2])
			seal(b)
		}
		s, err := Decode(b)
		if err != nil {
			return
		}
		s.Age(Reader{Now: now, Fleet: "f", ColdFor: time.Second})
		if _, err := Encode(s); err != nil {
			t.Errorf("read and not to be written: %v", err)
		}
	})
}
