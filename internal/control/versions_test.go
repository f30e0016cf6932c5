package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"portstall/internal/resource"
)

// startTime is the Unix time at which the tests begin.
const startTime = 1_764_640_000 * time.Second

// contract returns a contract resource with a rate.
func contract(name string, rate int) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: resource.Contract, Name: name}, Spec: json.RawMessage(fmt.Sprintf(`{"rate":%d}`, rate))}
}

// contracts returns n contracts with rate 1: c0000, c0001, ...
func contracts(n int) (all []resource.Resource) {
	for i := range n {
		all = append(all, contract(fmt.Sprintf("c%04d", i), 1))
	}
	return all
}

// newStartedStore returns a store that has begun an epoch at startTime.
func newStartedStore(t *testing.T, l Limits, all []resource.Resource, known ...*resource.Delta) *VersionStore {
	t.Helper()
	store := NewVersionStore(l)
	if _, err := store.BeginEpoch(startTime, known, all); err != nil {
		t.Fatal(err)
	}
	return store
}

// nodeQuery returns a query of node n0 that may be held.
func nodeQuery(since resource.Version, sum resource.Checksum) Query {
	return Query{Since: since, Sum: sum, Name: "n0", Role: "node", MaxWait: 10 * time.Second}
}

// mustChange makes a change that has to result in a version.
func mustChange(t *testing.T, store *VersionStore, now time.Duration, put []resource.Resource, removed ...resource.Key) *resource.Delta {
	t.Helper()
	d, err := store.Change(now, put, removed)
	if err != nil || d == nil {
		t.Fatal(d, err)
	}
	return d
}

func oneContract(name string, rate int) []resource.Resource {
	return []resource.Resource{contract(name, rate)}
}

func newVersion(epoch, number uint64) resource.Version {
	return resource.Version{Epoch: epoch, Number: number}
}

// startEpoch is the epoch that a VersionStore begins at startTime.
const startEpoch = uint64(startTime / time.Millisecond)

// Each query gets its status, and the delta, empty delta or snapshot that leads from its version to the store's.
func TestWatchReplies(t *testing.T) {
	store := newStartedStore(t, Limits{History: resource.HistoryLimits{Deltas: 2}}, contracts(3))
	var sums []resource.Checksum
	sums = append(sums, store.Set().Checksum())
	for i := range 4 {
		sums = append(sums, mustChange(t, store, startTime, oneContract("c0000", 10+i)).Checksum)
	}
	now := newVersion(startEpoch, 4)
	for _, c := range []struct {
		name   string
		q      Query
		status int
		from   resource.Version
		to     resource.Version
		put    int
		wait   bool
		err    string
	}{
		{name: "caller without a version", q: nodeQuery(resource.Version{}, 0), status: 200, to: now, put: 3},
		{name: "one version behind", q: nodeQuery(newVersion(startEpoch, 3), sums[3]), status: 200, from: newVersion(startEpoch, 3), to: now, put: 1},
		{name: "oldest version that the history covers", q: nodeQuery(newVersion(startEpoch, 2), sums[2]), status: 200, from: newVersion(startEpoch, 2), to: now, put: 1},
		{name: "one version before the history", q: nodeQuery(newVersion(startEpoch, 1), sums[1]), status: 200, to: now, put: 3},
		{name: "earlier epoch", q: nodeQuery(newVersion(startEpoch-1, 9), sums[1]), status: 200, to: now, put: 3},
		{name: "earlier epoch with the same content", q: nodeQuery(newVersion(startEpoch-1, 9), sums[4]), status: 200, from: newVersion(startEpoch-1, 9), to: now},
		{name: "up to date", q: nodeQuery(now, sums[4]), status: 200, from: now, to: now, wait: true},
		{name: "up to date, without a wait", q: Query{Since: now, Sum: sums[4], Name: "n0", Role: "node"}, status: 200, from: now, to: now},
		{name: "current version is refused", q: Query{Since: newVersion(startEpoch, 3), Sum: sums[3], Name: "n0", Role: "node", Refused: now, Why: "no", MaxWait: 1}, status: 200,
			from: newVersion(startEpoch, 3), to: newVersion(startEpoch, 3), wait: true},
		{name: "current version is refused by a caller without a version", q: Query{Name: "n0", Role: "node", Refused: now, MaxWait: 1}, status: 200, wait: true},
		{name: "older version is refused", q: Query{Since: newVersion(startEpoch, 2), Sum: sums[2], Name: "n0", Role: "node", Refused: newVersion(startEpoch, 3), MaxWait: 1}, status: 200,
			from: newVersion(startEpoch, 2), to: now, put: 1},
		{name: "ahead", q: nodeQuery(newVersion(startEpoch, 5), 0), status: 409, err: fmt.Sprintf("behind: this control process has %d.4", startEpoch)},
		{name: "ahead by an epoch", q: nodeQuery(newVersion(startEpoch+1, 0), 0), status: 409, err: fmt.Sprintf("behind: this control process has %d.4", startEpoch)},
		{name: "same version with different content", q: nodeQuery(now, 1), status: 409, err: "different content under version"},
		{name: "no name", q: Query{Role: "node"}, status: 400, err: "name: want 1 to 300 bytes"},
		{name: "long name", q: Query{Name: strings.Repeat("n", 301), Role: "node"}, status: 400, err: "name: want 1 to 300 bytes"},
		{name: "no role", q: Query{Name: "n0"}, status: 400, err: "role \"\": want node or control"},
		{name: "long process", q: Query{Name: "n0", Process: strings.Repeat("p", maxProcessBytes+1), Role: "node"}, status: 400, err: "process: at most 64 bytes"},
		{name: "long why", q: Query{Name: "n0", Role: "node", Why: strings.Repeat("y", resource.MaxReason+1)}, status: 400, err: "why: 1025 bytes: at most 1024"},
		{name: "negative wait", q: Query{Name: "n0", Role: "control", MaxWait: -1}, status: 400, err: "timeout_ms: below 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := store.Watch(startTime, c.q)
			if r.Status != c.status || r.Hold != c.wait || (r.WatchID != 0) != c.wait || (r.Err != nil) != (c.err != "") || r.Err != nil && !strings.HasPrefix(r.Err.Error(), c.err) {
				t.Fatalf("unexpected reply: %+v", r)
			}
			if c.status != 200 {
				if r.Delta != nil {
					t.Fatalf("unexpected delta: %+v", r.Delta)
				}
				return
			}
			if r.Delta.From != c.from || r.Delta.To != c.to || len(r.Delta.Put) != c.put || r.Delta.From == r.Delta.To && r.Delta.Checksum != c.q.Sum {
				t.Fatalf("unexpected delta: %+v", r.Delta)
			}
			if c.wait {
				c.q.WatchID, c.q.WaitOver = r.WatchID, true
				store.Watch(startTime, c.q)
			}
			if store.watchCount != 0 {
				t.Fatal(store.watchCount)
			}
		})
	}
	r := NewVersionStore(Limits{}).Watch(startTime, nodeQuery(newVersion(startEpoch, 3), 0))
	if r.Status != 503 || r.RetryAfter <= 0 || r.Err == nil {
		t.Fatalf("a store without a configuration replied %+v, want 503 with a retry time", r)
	}
}

// A held watch is released with the delta of the next change.
func TestHeldWatchReceivesNextChange(t *testing.T) {
	store := newStartedStore(t, Limits{}, contracts(3))
	q := nodeQuery(newVersion(startEpoch, 0), store.Set().Checksum())
	r := store.Watch(startTime, q)
	if q.WatchID = r.WatchID; !r.Hold || store.watchCount != 1 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	// A repeated query without a change stays held, under the same ID.
	if r = store.Watch(startTime+time.Second, q); !r.Hold || r.WatchID != q.WatchID || store.watchCount != 1 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	d := mustChange(t, store, startTime+2*time.Second, oneContract("c0001", 5))
	if r = store.Watch(startTime+2*time.Second, q); r.Hold || r.Delta != d || store.watchCount != 0 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	// The end of the call may be reported after its reply: nothing is counted twice.
	q.WaitOver = true
	store.Watch(startTime+2*time.Second, q)
	if store.watchCount != 0 {
		t.Fatal(store.watchCount)
	}
}

// A second watch of one process ends its first one, so that a reconnecting caller does not hold two.
func TestLaterWatchOfSameNameReplacesEarlier(t *testing.T) {
	store := newStartedStore(t, Limits{}, contracts(3))
	q := nodeQuery(newVersion(startEpoch, 0), store.Set().Checksum())
	first := store.Watch(startTime, q)
	second := store.Watch(startTime, q)
	if second.ReplacedWatch != first.WatchID || second.WatchID == first.WatchID || store.watchCount != 1 {
		t.Fatalf("unexpected replies: %+v, %+v; %d watches are held", first, second, store.watchCount)
	}
	// Later queries of the replaced call's handler change nothing.
	q.WatchID = first.WatchID
	if r := store.Watch(startTime, q); r.Hold || r.Status != 200 || r.Delta.To != q.Since || store.watchCount != 1 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	q.WaitOver = true
	if store.Watch(startTime, q); store.watchCount != 1 {
		t.Fatal(store.watchCount)
	}
	q.WatchID = second.WatchID
	if store.Watch(startTime, q); store.watchCount != 0 {
		t.Fatal(store.watchCount)
	}
}

// During a hand-over two processes of a node hold a watch each. Neither may end the other's; both are shown, and the
// one that ends its call is forgotten. A process that exits alone is shown until the next process of its name calls,
// and is not counted together with it.
func TestProcessesOfOneNameHoldSeparateWatches(t *testing.T) {
	store := newStartedStore(t, Limits{}, contracts(3))
	sum := store.Set().Checksum()
	queryOf := func(process string) Query {
		q := nodeQuery(newVersion(startEpoch, 0), sum)
		q.Process = process
		return q
	}
	hold := func(now time.Duration, process string) Query {
		t.Helper()
		q := queryOf(process)
		r := store.Watch(now, q)
		if !r.Hold || r.ReplacedWatch != 0 {
			t.Fatalf("process %s: unexpected reply: %+v", process, r)
		}
		q.WatchID = r.WatchID
		return q
	}
	shown := func(now time.Duration, want string) {
		t.Helper()
		s, st := "", store.Status(now)
		for _, n := range store.callers["n0"] {
			s += n.process + " "
		}
		if s != want || st.Callers != len(store.callers["n0"]) || st.Callers != st.Versions[0].Callers+st.AtOtherVersions {
			t.Fatalf("processes %q are known, want %q: %+v", s, want, st)
		}
	}
	predecessor := hold(startTime, "a")
	successor := hold(startTime, "b")
	if shown(startTime, "a b "); store.watchCount != 2 {
		t.Fatal(store.watchCount)
	}
	d := mustChange(t, store, startTime, oneContract("c0001", 5))
	for _, q := range []Query{predecessor, successor} {
		if r := store.Watch(startTime, q); r.Hold || r.Delta != d {
			t.Fatalf("unexpected reply: %+v", r)
		}
	}
	refuses := queryOf("a")
	refuses.Refused, refuses.Why = d.To, "no"
	store.Watch(startTime, refuses)
	if s := store.Status(startTime); len(s.Refusals) != 1 || s.Refusals[0].Process != "a" || s.Refusals[0].Name != "n0" {
		t.Fatalf("unexpected refusals: %+v", s.Refusals)
	}
	sum = d.Checksum
	watchLatest := func(now time.Duration, process string) Query {
		q := queryOf(process)
		q.Since, q.Sum = d.To, d.Checksum
		q.WatchID = store.Watch(now, q).WatchID
		return q
	}
	predecessor, successor = watchLatest(startTime, "a"), watchLatest(startTime, "b")
	predecessor.CallerGone = true
	if store.Watch(startTime, predecessor); store.watchCount != 1 {
		t.Fatal(store.watchCount)
	}
	shown(startTime, "b ")
	// The only process is killed: it is shown until the next one calls.
	successor.CallerGone = true
	store.Watch(startTime, successor)
	shown(startTime, "b ")
	watchLatest(startTime+time.Second, "c")
	shown(startTime+time.Second, "c ")
	// A process whose call ended by its wait stays. One that is silent for silentAfter is forgotten with the next call
	// of another process of its name.
	c := watchLatest(startTime+time.Second, "c")
	c.WaitOver = true
	store.Watch(startTime+time.Second, c)
	watchLatest(startTime+2*time.Second, "d")
	shown(startTime+2*time.Second, "c d ")
	watchLatest(startTime+silentAfter+time.Second, "d")
	shown(startTime+silentAfter+time.Second, "c d ")
	watchLatest(startTime+silentAfter+2*time.Second, "d")
	shown(startTime+silentAfter+2*time.Second, "d ")
	// At most maxProcessesPerName processes of one name are known.
	for i := range 5 {
		watchLatest(startTime+40*time.Second+time.Duration(i), fmt.Sprint(i))
	}
	if shown(startTime+41*time.Second, "2 3 4 "); store.watchCount != maxProcessesPerName || store.callerCount != maxProcessesPerName {
		t.Fatal(store.watchCount, store.callerCount)
	}
}

// Past Limits.MaxWatches a call is not held but gets 503 with a retry time.
func TestWatchLimit(t *testing.T) {
	store := newStartedStore(t, Limits{MaxWatches: 2}, contracts(3))
	q := nodeQuery(newVersion(startEpoch, 0), store.Set().Checksum())
	var ids []uint64
	for i := range 2 {
		q.Name = fmt.Sprint("n", i)
		ids = append(ids, store.Watch(startTime, q).WatchID)
	}
	q.Name = "n2"
	if r := store.Watch(startTime, q); r.Status != 503 || r.RetryAfter <= 0 || r.Hold || !strings.Contains(r.Err.Error(), "2 watches are held") {
		t.Fatalf("unexpected reply: %+v", r)
	}
	// A reply that needs no wait is still given, and a call that is held already stays held.
	if r := store.Watch(startTime, Query{Name: "n2", Role: "node"}); r.Status != 200 || len(r.Delta.Put) != 3 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	q.Name, q.WatchID = "n1", ids[1]
	if r := store.Watch(startTime, q); !r.Hold {
		t.Fatalf("unexpected reply: %+v", r)
	}
	q.WaitOver = true
	store.Watch(startTime, q)
	q.Name, q.WatchID, q.WaitOver = "n2", 0, false
	if r := store.Watch(startTime, q); !r.Hold || store.watchCount != 2 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	if DefaultLimits.MaxWatches != 2000 || NewVersionStore(Limits{MaxWatches: -1}).limits.MaxWatches != 2000 {
		t.Fatal("DefaultLimits.MaxWatches is not 2000, or does not replace -1")
	}
}

// Past Limits.MaxCallers the longest silent caller without a held call is forgotten, and past Limits.ForgetAfter all
// silent ones.
func TestCallerLimitAndExpiry(t *testing.T) {
	store := newStartedStore(t, Limits{MaxCallers: 3}, contracts(3))
	name := func(n int, wait time.Duration) Query {
		return Query{Name: fmt.Sprint("n", n), Role: "node", Since: newVersion(startEpoch, 0), Sum: store.Set().Checksum(), MaxWait: wait}
	}
	store.Watch(startTime, name(0, time.Hour)) // held: forgotten last
	store.Watch(startTime+1, name(1, 0))
	store.Watch(startTime+2, name(2, 0))
	store.Watch(startTime+3, name(3, 0))
	known := func(now time.Duration) string {
		s := ""
		for _, n := range slices.Sorted(maps.Keys(store.callers)) {
			s += n + " "
		}
		if st := store.Status(now); st.Callers != len(store.callers) || st.Callers != store.callerCount {
			t.Fatal(st.Callers)
		}
		return s
	}
	if s := known(startTime + 3); s != "n0 n2 n3 " {
		t.Fatal(s)
	}
	store.Watch(startTime+10*time.Minute+time.Second, name(3, 0))
	if s := known(startTime + 10*time.Minute + time.Second); s != "n0 n3 " {
		t.Fatal(s)
	}
	// Where all callers have held calls, the oldest is forgotten, and its handler's next query ends the call.
	store = newStartedStore(t, Limits{MaxCallers: 1}, contracts(3))
	r := store.Watch(startTime, name(0, time.Hour))
	store.Watch(startTime, name(1, time.Hour))
	q := name(0, time.Hour)
	q.WatchID = r.WatchID
	if r = store.Watch(startTime, q); r.Hold || r.Status != 200 || store.watchCount != 1 {
		t.Fatalf("unexpected reply: %+v, %d watches are held", r, store.watchCount)
	}
	if DefaultLimits.MaxCallers != 10_000 || DefaultLimits.ForgetAfter != 10*time.Minute {
		t.Fatal(DefaultLimits)
	}
}

// Status counts callers by version, lists refusals and callers that are behind, and bounds each list.
func TestStatusReportsVersionsRefusalsAndLag(t *testing.T) {
	store := newStartedStore(t, Limits{}, contracts(3))
	sum := store.Set().Checksum()
	var last resource.Version
	for i := range 30 {
		last = mustChange(t, store, startTime+time.Duration(i)*time.Second, oneContract("c0000", 10+i)).To
	}
	now := startTime + 40*time.Second
	for i := range 31 { // one caller at each version, and 120 more at the first, which refuse the second
		store.Watch(now, Query{Name: fmt.Sprintf("v%02d", i), Role: "node", Since: newVersion(startEpoch, uint64(i)), Sum: sum})
	}
	for i := range 120 {
		store.Watch(now, Query{Name: fmt.Sprintf("r%03d", i), Role: "control", Since: newVersion(startEpoch, 0), Sum: sum, Refused: newVersion(startEpoch, 1), Why: "contract \"c0000\": rate: no"})
	}
	now += time.Second
	s := store.Status(now)
	if s.Version != last || s.AppliedAt != startTime+29*time.Second || s.Resources != 3 || s.Deltas != 30 || s.Callers != 151 {
		t.Fatalf("unexpected status: %+v", s)
	}
	if len(s.Versions) != MaxVersionCounts || s.Versions[0] != (VersionCount{last, 1}) || s.Versions[19] != (VersionCount{newVersion(startEpoch, 11), 1}) || s.AtOtherVersions != 131 {
		t.Fatalf("%+v, %d callers at other versions", s.Versions, s.AtOtherVersions)
	}
	if s.Refusing != 120 || len(s.Refusals) != MaxRefusals || s.Refusals[0] != (CallerStatus{"r000", "", "control", newVersion(startEpoch, 0), newVersion(startEpoch, 1), "contract \"c0000\": rate: no", time.Second, 41 * time.Second}) {
		t.Fatalf("%d callers refuse, the first %+v", s.Refusing, s.Refusals[0])
	}
	// v00 to v22 and the 120 have been behind for 19 s or longer, v29 for 12 s; v30 is not behind.
	if s.Behind != 143 || len(s.Late) != MaxLateCallers || s.Late[0].Name != "r000" {
		t.Fatalf("%d callers are behind, %d are listed", s.Behind, len(s.Late))
	}
	if d := store.behindFor(now, store.callers["v29"][0]); d != 12*time.Second {
		t.Fatal(d)
	}
	if d := store.behindFor(now, store.callers["v30"][0]); d != 0 {
		t.Fatal(d)
	}
	// A caller that has applied what it refused is not counted any more.
	store.Watch(now, Query{Name: "r000", Role: "control", Since: last, Sum: store.Set().Checksum()})
	if s = store.Status(now); s.Refusing != 119 || s.Versions[0].Callers != 2 {
		t.Fatal(s.Refusing)
	}
}

// A new epoch is later than all known versions, also when the clock has not advanced or was set back, and the change
// from the latest known version is a delta.
func TestBeginEpochIsPastAllKnownVersions(t *testing.T) {
	older := newStartedStore(t, Limits{}, contracts(3))
	latest := NewVersionStore(Limits{})
	if err := latest.Apply(startTime, older.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	mustChange(t, latest, startTime, oneContract("c0001", 7))
	known := []*resource.Delta{older.Set().Snapshot(), nil, {}, latest.Set().Snapshot()}
	want := append(contracts(3), contract("new", 1))
	for name, c := range map[string]struct {
		now   time.Duration
		epoch uint64
	}{
		"an hour later":                {startTime + time.Hour, startEpoch + 3_600_000},
		"at the same time":             {startTime, startEpoch + 1},
		"after the clock was set back": {startTime - 20*time.Hour, startEpoch + 1},
	} {
		t.Run(name, func(t *testing.T) {
			store := NewVersionStore(Limits{})
			d, err := store.BeginEpoch(c.now, known, want)
			if err != nil {
				t.Fatal(err)
			}
			if d.From != newVersion(startEpoch, 1) || d.To != newVersion(c.epoch, 0) || len(d.Put) != 2 || len(d.Removed) != 0 {
				t.Fatalf("unexpected delta: %+v", d)
			}
			// A caller with the latest version gets the delta; one with an older version gets a snapshot.
			if r := store.Watch(c.now, nodeQuery(newVersion(startEpoch, 1), known[3].Checksum)); r.Delta != d {
				t.Fatalf("unexpected reply: %+v", r)
			}
			if r := store.Watch(c.now, nodeQuery(newVersion(startEpoch, 0), known[0].Checksum)); !r.Delta.IsSnapshot() || len(r.Delta.Put) != 4 {
				t.Fatalf("unexpected reply: %+v", r)
			}
			if d := mustChange(t, store, c.now, oneContract("new", 2)); d.To != newVersion(c.epoch, 1) {
				t.Fatalf("unexpected delta: %+v", d)
			}
		})
	}
	t.Run("same content", func(t *testing.T) {
		store := NewVersionStore(Limits{})
		d, err := store.BeginEpoch(startTime, known, latest.Set().Snapshot().Put)
		if err != nil || len(d.Put)+len(d.Removed) != 0 || d.From != newVersion(startEpoch, 1) || d.To != newVersion(startEpoch+1, 0) || d.Checksum != known[3].Checksum {
			t.Fatalf("unexpected delta %+v, error %v", d, err)
		}
	})
}

// BeginEpoch reports what is wrong with a peer's snapshot or with the resources, and leaves the store unchanged.
func TestBeginEpochErrorsLeaveStoreUnchanged(t *testing.T) {
	far := newStartedStore(t, Limits{}, contracts(1)).Set().Snapshot()
	far.To.Epoch = startEpoch + resource.MaxEpochAhead
	highest := *far
	highest.To.Epoch = 1<<64 - 1
	broken := *far
	broken.To.Epoch = startEpoch + 5
	broken.Checksum++
	delta := resource.Delta{From: newVersion(1, 1), To: newVersion(1, 2)}
	for name, c := range map[string]struct {
		known *resource.Delta
		all   []resource.Resource
		want  string
	}{
		"epoch too far ahead": {known: far, want: "over a day ahead of this clock"},
		"the highest epoch":   {known: &highest, want: "over a day ahead of this clock"},
		"wrong checksum":      {known: &broken, want: "the sum does not fit"},
		"delta as a snapshot": {known: &delta, want: "not a snapshot"},
		"defined twice":       {all: append(contracts(2), contracts(1)...), want: `contract "c0000": defined twice`},
		"unknown kind":        {all: []resource.Resource{{Key: resource.Key{Kind: "cluster", Name: "x"}, Spec: []byte("{}")}}, want: "kind: not known"},
		"spec is not JSON":    {all: []resource.Resource{{Key: resource.Key{Kind: "service", Name: "x"}, Spec: []byte("{")}}, want: "spec: not valid JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, store := range []*VersionStore{NewVersionStore(Limits{}), newStartedStore(t, Limits{}, contracts(4))} {
				before, sum := store.Set().Version(), store.Set().Checksum()
				if d, err := store.BeginEpoch(startTime, []*resource.Delta{c.known}, c.all); err == nil || !strings.Contains(err.Error(), c.want) {
					t.Fatal(d, err)
				}
				if store.Set().Version() != before || store.Set().Checksum() != sum {
					t.Fatal("a part of a rejected epoch was applied")
				}
			}
		})
	}
}

// A writer restarts without peers after its clock was set back, so that its epoch is older than what callers have. They
// get 409, and the writer begins a new epoch past the version they reported.
func TestWriterLearnsOfLaterEpochFromCallers(t *testing.T) {
	store := NewVersionStore(Limits{})
	if _, err := store.BeginEpoch(startTime-time.Hour, nil, contracts(3)); err != nil {
		t.Fatal(err)
	}
	if r := store.Watch(startTime, nodeQuery(newVersion(startEpoch, 5), 1)); r.Status != 409 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	if store.Watch(startTime, nodeQuery(newVersion(startEpoch, 4), 1)); store.Ahead() != newVersion(startEpoch, 5) || store.Status(startTime).Ahead != newVersion(startEpoch, 5) {
		t.Fatal(store.Ahead())
	}
	d, err := store.BeginEpoch(startTime-time.Hour, nil, contracts(3))
	if err != nil || d.To != newVersion(startEpoch+1, 0) || len(d.Put)+len(d.Removed) != 0 {
		t.Fatalf("unexpected delta %+v, error %v", d, err)
	}
	if !store.Ahead().IsZero() {
		t.Fatal(store.Ahead())
	}
	if r := store.Watch(startTime, nodeQuery(newVersion(startEpoch, 5), 1)); r.Status != 200 || !r.Delta.IsSnapshot() {
		t.Fatalf("unexpected reply: %+v", r)
	}
	// A version that no node could have accepted is ignored.
	if store.Watch(startTime, nodeQuery(newVersion(startEpoch+2*resource.MaxEpochAhead, 0), 1)); !store.Ahead().IsZero() {
		t.Fatal(store.Ahead())
	}
}

// After a restart without peers and with the same content, nodes continue by an empty delta; with other content by a
// snapshot.
func TestWriterRestartsWithoutPeers(t *testing.T) {
	first := newStartedStore(t, Limits{}, contracts(3))
	store := NewVersionStore(Limits{})
	if _, err := store.BeginEpoch(startTime+time.Minute, nil, contracts(3)); err != nil {
		t.Fatal(err)
	}
	r := store.Watch(startTime, nodeQuery(newVersion(startEpoch, 0), first.Set().Checksum()))
	if r.Status != 200 || r.Delta.From != newVersion(startEpoch, 0) || r.Delta.To != store.Set().Version() || len(r.Delta.Put) != 0 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	node := resource.NewSet(false)
	if err := node.Apply(first.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if err := node.Apply(r.Delta); err != nil || node.Version() != store.Set().Version() {
		t.Fatal(err)
	}
	// Also where a change was made before the node called.
	mustChange(t, store, startTime, oneContract("c0002", 8))
	r = store.Watch(startTime, nodeQuery(newVersion(startEpoch, 0), first.Set().Checksum()))
	if r.Delta.From != newVersion(startEpoch, 0) || r.Delta.To != store.Set().Version() || len(r.Delta.Put) != 1 {
		t.Fatalf("unexpected delta: %+v", r.Delta)
	}
	mustChange(t, first, startTime, oneContract("c0000", 9)) // some nodes received it, and it was lost with the writer
	if r = store.Watch(startTime, nodeQuery(newVersion(startEpoch, 1), first.Set().Checksum())); !r.Delta.IsSnapshot() {
		t.Fatalf("unexpected reply: %+v", r)
	}
}

// A change that is invalid or changes nothing makes no version.
func TestChangeIsNumberedOrLeavesStoreUnchanged(t *testing.T) {
	store := newStartedStore(t, Limits{}, contracts(3))
	for name, c := range map[string]struct {
		put  []resource.Resource
		gone []resource.Key
		want string
	}{
		"empty change":    {},
		"same content":    {put: oneContract("c0001", 1)},
		"not there":       {gone: []resource.Key{contract("x", 1).Key}},
		"put twice":       {put: append(oneContract("c0001", 2), oneContract("c0001", 3)...), want: `contract "c0001": put twice`},
		"put and removed": {put: oneContract("c0001", 2), gone: []resource.Key{contract("c0001", 1).Key}, want: "put and gone at once"},
		"spec too long":   {put: []resource.Resource{{Key: contract("x", 1).Key, Spec: []byte(`{"x":"` + strings.Repeat("x", resource.MaxSpec) + `"}`)}}, want: "at most 65536"},
		"unknown kind":    {put: []resource.Resource{{Key: resource.Key{Kind: "cluster", Name: "x"}, Spec: []byte("{}")}}, want: "not known"},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := store.Change(startTime, c.put, c.gone)
			if d != nil || (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatal(d, err)
			}
			if store.Set().Version() != newVersion(startEpoch, 0) || store.history.Len() != 0 {
				t.Fatal(store.Set().Version())
			}
		})
	}
	if d := mustChange(t, store, startTime, oneContract("c0001", 2), contract("c0002", 1).Key); d.To != newVersion(startEpoch, 1) || len(d.Put) != 1 || len(d.Removed) != 1 {
		t.Fatalf("unexpected delta: %+v", d)
	}
	if _, err := NewVersionStore(Limits{}).Change(startTime, oneContract("c0001", 2), nil); err == nil {
		t.Fatal("Change succeeded before BeginEpoch")
	}
}

// A follower's store applies deltas and snapshots. After the snapshot of a new epoch, callers at versions before it
// still get deltas.
func TestFollowerStoreAppliesDeltasAndSnapshots(t *testing.T) {
	writer := newStartedStore(t, Limits{}, contracts(3))
	store := NewVersionStore(Limits{})
	if err := store.Apply(startTime, writer.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	first := mustChange(t, writer, startTime, oneContract("c0000", 2))
	lost := mustChange(t, writer, startTime, oneContract("c0000", 3))
	third := mustChange(t, writer, startTime, oneContract("c0000", 4))
	if err := store.Apply(startTime, first); err != nil {
		t.Fatal(err)
	}
	for d, want := range map[*resource.Delta]error{third: resource.ErrBase, first: resource.ErrStale, writer.Set().NewDelta(newVersion(5, 0), nil, nil): resource.ErrStale,
		{From: first.To, To: third.To, Checksum: 1}: resource.ErrChecksum} {
		if d.To == newVersion(5, 0) {
			d.From = resource.Version{} // a snapshot of an older epoch
		}
		if err := store.Apply(startTime, d); !errors.Is(err, want) {
			t.Fatalf("error %v, want %v", err, want)
		}
	}
	if store.Set().Version() != first.To || store.history.Len() != 1 {
		t.Fatal(store.Set().Version())
	}
	if err := store.Apply(startTime, lost); err != nil {
		t.Fatal(err)
	}
	next := newStartedStore(t, Limits{}, oneContract("c0000", 9), writer.Set().Snapshot())
	if err := store.Apply(startTime, next.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, v := range []resource.Version{newVersion(startEpoch, 0), first.To, lost.To} {
		r := store.Watch(startTime, nodeQuery(v, 0))
		if r.Delta.From != v || r.Delta.To != newVersion(startEpoch+1, 0) || len(r.Delta.Put) != 1 || len(r.Delta.Removed) != 2 {
			t.Fatalf("unexpected delta: %+v", r.Delta)
		}
	}
}

// A resource.Follower and a VersionStore together bring a set to the store's content.
func TestNodeFollowsVersionStore(t *testing.T) {
	store := newStartedStore(t, Limits{}, contracts(3))
	set := resource.NewSet(false)
	f := resource.NewFollower(set, 1)
	now := startTime
	callStore := func() Reply {
		c := f.Next(now, 0.5)
		now += c.Delay
		return store.Watch(now, Query{Since: c.Since, Sum: c.Checksum, Name: "n0", Role: "node", Refused: c.Refused, Why: c.Reason, MaxWait: c.Wait})
	}
	applyReply := func(r Reply) {
		t.Helper()
		if accepted, err := f.Received(now, r.Delta); !accepted || err != nil {
			t.Fatal(accepted, err)
		}
		err := set.Apply(set.Difference(r.Delta))
		if f.Applied(now, err); err != nil {
			t.Fatal(err)
		}
	}
	applyReply(callStore())
	r := callStore()
	if !r.Hold || r.WatchID == 0 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	if _, err := store.Change(now, []resource.Resource{contract("c0001", 2)}, []resource.Key{contract("c0002", 1).Key}); err != nil {
		t.Fatal(err)
	}
	r = store.Watch(now, Query{Since: set.Version(), Sum: set.Checksum(), Name: "n0", Role: "node", MaxWait: time.Second, WatchID: r.WatchID})
	if r.Hold || len(r.Delta.Put) != 1 || len(r.Delta.Removed) != 1 {
		t.Fatalf("unexpected reply: %+v", r)
	}
	applyReply(r)
	if set.Version() != store.Set().Version() || set.Checksum() != store.Set().Checksum() || set.Len() != 2 {
		t.Fatal(set.Version(), set.Len())
	}
}

// BenchmarkChangeWith450Watches measures a change with 450 held watches, which all receive it, at two sizes of the
// configuration.
func BenchmarkChangeWith450Watches(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := NewVersionStore(Limits{})
			if _, err := store.BeginEpoch(startTime, nil, contracts(n)); err != nil {
				b.Fatal(err)
			}
			held := make([]Query, 450)
			for i := range held {
				held[i] = Query{Name: fmt.Sprint("n", i), Role: "node", MaxWait: time.Second}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				for j := range held {
					held[j].Since, held[j].Sum, held[j].WatchID = store.Set().Version(), store.Set().Checksum(), 0
					held[j].WatchID = store.Watch(startTime, held[j]).WatchID
				}
				if _, err := store.Change(startTime, oneContract("c0001", i+2), nil); err != nil {
					b.Fatal(err)
				}
				for j := range held {
					if r := store.Watch(startTime, held[j]); r.Hold || len(r.Delta.Put) != 1 {
						b.Fatalf("unexpected reply: %+v", r)
					}
				}
			}
		})
	}
}
