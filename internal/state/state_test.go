package state

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

const now = 400_000 * time.Hour // Unix time, about 2015

// fullSnapshot returns a snapshot with entries in each list and the given number of servers.
func fullSnapshot(servers int) *Snapshot {
	s := &Snapshot{Taken: now, Fleet: "f", ListVersion: 7, Disabled: []string{"s-1"}, Enabled: []TimedID{{"s-2", now - time.Second}},
		OpenRequests: []TimedID{{"x", now + time.Second}}, PeerOpenRequests: []TimedID{{"y", now + 2*time.Second}}, Keys: []KeyRecord{{9, 3, now + time.Minute}},
		Classes: []Class{{"view", policy.ClassStats{Requests: 8, Latency: 1, Responses: 7, MinTimeLeft: 2}}}, Totals: policy.TotalStats{RequestCount: 9, InitialSelections: 8, Retries: 4},
		Contracts: []contract.ContractState{{Name: "app", RateTokens: -3, WorkLeft: 5}}}
	for i := range servers {
		stats := policy.ServerStats{Mode: 1, RemoteLoad: 4, ReportAt: now.Seconds(), MinRejectedOccupancy: math.Inf(1), MinTypeServiceTime: 0.2, Latency: 3, Occupancy: 30, SuccessCount: 20, LastSuccessAt: now.Seconds(), MaxInWork: 4}
		s.Servers = append(s.Servers, Server{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "north", ServerType: "k", State: "Ready", StartedMS: int64(i), Stats: StatsOf(stats)})
	}
	return s
}

// mustEncode returns the stored form of a snapshot.
func mustEncode(t testing.TB, s *Snapshot) []byte {
	t.Helper()
	text, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A snapshot is the same after it was encoded and decoded.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	s := fullSnapshot(3)
	got, err := Decode(mustEncode(t, s))
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("error %v\n got %+v\nwant %+v", err, got, s)
	}
}

// storedSnapshot returns a snapshot in which each field has a value of its own that is not zero.
func storedSnapshot() *Snapshot {
	return &Snapshot{Taken: 1001, Fleet: "fleet", Exact: true, Drained: true, ListVersion: 1002,
		Servers: []Server{{ID: "s-1", Addr: "192.0.2.1:80", Zone: "north", ServerType: "large", Cell: 1003, State: "Ready", StartedMS: 1004,
			Stats: &ServerStats{Mode: 2, Trial: true, EjectedUntil: 1.5, RemoteLoad: 2.5, ReportAt: 3.5, RejectedOccupancy: 4.5, RejectedAt: 5.5,
				MinRejectedOccupancy: 6.5, MaxInWork: 7.5, Latency: 8.5, Occupancy: 9.5, LastSuccessAt: 10.5,
				ReportedServiceTime: 11.5, MinTypeServiceTime: 12.5, FailureShare: 13.5, Ejections: 14, SuccessCount: 15.5}}},
		Disabled: []string{"s-2"}, Enabled: []TimedID{{ID: "s-3", At: 1005}}, OpenRequests: []TimedID{{ID: "r-1", At: 1006}},
		PeerOpenRequests: []TimedID{{ID: "r-2", At: 1007}}, Keys: []KeyRecord{{Key: 1008, Pod: 1009, Until: 1010}},
		Classes: []Class{{Name: "view", Stats: policy.ClassStats{Requests: 16.5, Latency: 17.5, Responses: 18.5, MinTimeLeft: 19.5}}},
		Totals: policy.TotalStats{RequestCount: 20.5, LowPriorityCount: 21.5, InitialSelections: 22.5, SelectionSpan: 23.5,
			LoadReports: 24.5, MeanRemoteLoad: 25.5, NoNormalShare: 26.5, Retries: 27.5},
		Contracts: []contract.ContractState{{Name: "app", RateTokens: 28.5, WorkLeft: 29.5, BytesLeft: 30.5, GuaranteeLeft: 31.5, FirstAttempts: 32.5,
			Retries: 33.5, MeanCost: 34.5, Demand: 35.5, Removed: &contract.RemovedContract{SinceRemoval: 1011, Rate: 36.5, Burst: 37.5, Limit: 38.5,
				Bandwidth: 39.5, Guaranteed: 40.5, RetryWindow: 1012}}}}
}

// Releases read each other's files, so the stored bytes must not change with the Go names of the fields. The file was
// written before these were first renamed.
func TestEncodeWritesTheStoredFormat(t *testing.T) {
	want, err := os.ReadFile("testdata/snapshot-v1.bin")
	if err != nil {
		t.Fatal(err)
	}
	s := storedSnapshot()
	checkNoZeroField(t, "snapshot", reflect.ValueOf(s))
	if got := mustEncode(t, s); !bytes.Equal(got, want) {
		t.Errorf("stored format changed:\n got %q\nwant %q", got, want)
	}
	if got, err := Decode(want); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("error %v\n got %+v\nwant %+v", err, got, s)
	}
}

// checkNoZeroField fails the test for each field in v that is zero or an empty list.
func checkNoZeroField(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0 {
		t.Errorf("%s is not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkNoZeroField(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			checkNoZeroField(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkNoZeroField(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

// A crash or a faulty disk can leave a file that is cut at any byte, has a flipped bit or surplus bytes, or is of
// another version: none is accepted, and the error says which of these it is.
func TestDecodeRejectsDamage(t *testing.T) {
	text := mustEncode(t, fullSnapshot(2))
	for n := range text {
		if _, err := Decode(text[:n]); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrMalformed) || n > len(magic) && !errors.Is(err, ErrTruncated) {
			t.Fatalf("cut at byte %d: error %v, want ErrTruncated", n, err)
		}
	}
	for i := range len(text) * 8 {
		text[i/8] ^= 1 << (i % 8)
		if _, err := Decode(text); err == nil {
			t.Fatalf("a snapshot with bit %d flipped is accepted", i)
		}
		text[i/8] ^= 1 << (i % 8)
	}
	if _, err := Decode(append(text, 0)); !errors.Is(err, ErrMalformed) {
		t.Errorf("surplus byte after the snapshot: error %v, want ErrMalformed", err)
	}
	text[len(magic)]++
	if _, err := Decode(text); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), "found 2, expected 1") {
		t.Errorf("another format version: error %v, want ErrVersion with both versions", err)
	}
}

// A file with a correct checksum may still hold values that no node writes. The snapshot is rejected, or, if the values
// are the statistics of a single server, these alone are removed.
func TestDecodeRejectsInvalidValues(t *testing.T) {
	for name, change := range map[string]func(s *Snapshot){
		"duplicate server":        func(s *Snapshot) { s.Servers[1].ID = "s-0" },
		"empty address":           func(s *Snapshot) { s.Servers[0].Addr = "" },
		"id too long":             func(s *Snapshot) { s.Disabled[0] = strings.Repeat("x", 600) },
		"empty id":                func(s *Snapshot) { s.OpenRequests[0].ID = "" },
		"negative time":           func(s *Snapshot) { s.Taken = -1 },
		"infinite mean in totals": func(s *Snapshot) { s.Totals.MeanRemoteLoad = math.Inf(1) },
		"NaN in a class":          func(s *Snapshot) { s.Classes[0].Stats.MinTimeLeft = math.NaN() },
		"NaN in a contract":       func(s *Snapshot) { s.Contracts[0].WorkLeft = math.NaN() },
	} {
		s := fullSnapshot(2)
		change(s)
		if _, err := Decode(mustEncode(t, s)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
	for name, change := range map[string]func(e *ServerStats){
		"negative latency": func(e *ServerStats) { e.Latency = -1 }, "unknown mode": func(e *ServerStats) { e.Mode = 3 }, "NaN capacity": func(e *ServerStats) { e.MinRejectedOccupancy = math.NaN() },
	} {
		s := fullSnapshot(2)
		change(s.Servers[0].Stats)
		if got, err := Decode(mustEncode(t, s)); err != nil || got.Servers[0].Stats != nil || got.Servers[1].Stats == nil {
			t.Errorf("%s: error %v, or statistics are not removed for this server alone", name, err)
		}
	}
}

// Each field follows its rule of Age for readers that read at once, some seconds later, after an hour, with a clock a
// day behind the writer's, and in another fleet.
func TestAge(t *testing.T) {
	for _, c := range []struct {
		name                                                  string
		exact                                                 bool
		after                                                 time.Duration
		fleet                                                 string
		drops                                                 int
		disabled, enabled, list, open, learned, queues, times bool
	}{
		{"by a successor at once", true, 0, "f", 0, true, true, true, true, true, true, true},
		{"by a successor whose clock is an hour ahead", true, time.Hour, "f", 0, true, true, true, true, true, true, true},
		{"by a successor whose clock is a day behind", true, -24 * time.Hour, "f", 0, true, true, true, true, true, true, true},
		{"900 ms after a crash", false, 900 * time.Millisecond, "f", 1, true, true, true, true, true, true, true},
		{"5 s after a crash", false, 5 * time.Second, "f", 1, true, true, true, false, true, false, true},
		{"an hour after a crash", false, time.Hour, "f", 2, true, false, true, false, false, false, false},
		{"after a crash, written a day in the future", false, -24 * time.Hour, "f", 2, true, true, true, false, false, false, false},
		{"after a crash, in another fleet", false, time.Second / 2, "g", 2, false, false, false, false, false, false, false},
	} {
		s := fullSnapshot(2)
		s.Exact = c.exact
		at := now + c.after
		drops := s.Age(LoadContext{Now: at, Fleet: c.fleet, ColdFor: 8 * time.Second})
		var stats ServerStats
		learned := len(s.Servers) > 0 && s.Servers[0].Stats != nil
		if learned {
			stats = *s.Servers[0].Stats
		}
		got := [...]bool{len(s.Disabled) == 1, len(s.Enabled) == 1, len(s.Servers) == 2, len(s.OpenRequests) == 1 && s.OpenRequests[0].At > at, learned,
			stats.RemoteLoad == 4 && stats.Mode == 1, learned && stats.Latency > 0 && math.Abs(stats.Latency/stats.Occupancy-0.1) < 1e-9}
		if want := [...]bool{c.disabled, c.enabled, c.list, c.open, c.learned, c.queues, c.times}; got != want || len(drops) != c.drops {
			t.Errorf("%s: disabled, enabled, server list, open requests, learned state, queues, service times kept: %v, want %v; dropped %v",
				c.name, got, want, drops)
		}
		if s.Totals.Retries != 4 || s.Contracts[0].RateTokens != -3 {
			t.Errorf("%s: %v retries and %v tokens, want 4 and -3", c.name, s.Totals.Retries, s.Contracts[0].RateTokens)
		}
		for _, r := range s.Enabled {
			if r.At > at {
				t.Errorf("%s: server enabled by an operator %v in the future", c.name, r.At-at)
			}
		}
	}
}

// Decode and Age accept any bytes without a panic, and what was decoded can be encoded again.
func FuzzDecode(f *testing.F) {
	text := mustEncode(f, fullSnapshot(3))
	f.Add(text)
	f.Add(text[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= headerLen { // correct the header, so that the fuzzer reaches the body
			b = append([]byte(nil), b...)
			copy(b, text[:len(magic)+2])
			writeLengthAndSum(b)
		}
		s, err := Decode(b)
		if err != nil {
			return
		}
		s.Age(LoadContext{Now: now, Fleet: "f", ColdFor: time.Second})
		if _, err := Encode(s); err != nil {
			t.Errorf("a snapshot that was decoded cannot be encoded: %v", err)
		}
	})
}
