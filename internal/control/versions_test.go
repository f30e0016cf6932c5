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

// start is a Unix time at which the tests begin.
const startTime = 1_764_640_000 * time.Second

func contract(name string, rate int) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: resource.Contract, Name: name}, Spec: json.RawMessage(fmt.Sprintf(`{"rate":%d}`, rate))}
}

func contracts(n int) (all []resource.Resource) {
	for i := range n {
		all = append(all, contract(fmt.Sprintf("c%04d", i), 1))
	}
	return all
}

func newStartedStore(t *testing.T, l Limits, all []resource.Resource, known ...*resource.Delta) *VersionStore {
	t.Helper()
	b := NewVersionStore(l)
	if _, err := b.BeginEpoch(startTime, known, all); err != nil {
		t.Fatal(err)
	}
	return b
}

// ask is a node's query.
func nodeQuery(since resource.Version, sum resource.Sum) Query {
	return Query{Since: since, Sum: sum, Name: "n0", Role: "node", MaxWait: 10 * time.Second}
}

func mustChange(t *testing.T, b *VersionStore, now time.Duration, put []resource.Resource, gone ...resource.Key) *resource.Delta {
	t.Helper()
	d, err := b.Change(now, put, gone)
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

// epoch is that of a Book that began at start.
const startEpoch = uint64(startTime / time.Millisecond)

func TestWatchReplies(t *testing.T) {
	b := newStartedStore(t, Limits{History: resource.HistoryLimits{Deltas: 2}}, contracts(3))
	var sums []resource.Sum
	sums = append(sums, b.Set().Sum())
	for i := range 4 {
		sums = append(sums, mustChange(t, b, startTime, oneContract("c0000", 10+i)).Sum)
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
		{name: "no version", q: nodeQuery(resource.Version{}, 0), status: 200, to: now, put: 3},
		{name: "one behind", q: nodeQuery(newVersion(startEpoch, 3), sums[3]), status: 200, from: newVersion(startEpoch, 3), to: now, put: 1},
		{name: "at the edge of what is kept", q: nodeQuery(newVersion(startEpoch, 2), sums[2]), status: 200, from: newVersion(startEpoch, 2), to: now, put: 1},
		{name: "one past the edge", q: nodeQuery(newVersion(startEpoch, 1), sums[1]), status: 200, to: now, put: 3},
		{name: "an old epoch", q: nodeQuery(newVersion(startEpoch-1, 9), sums[1]), status: 200, to: now, put: 3},
		{name: "an old epoch with what is ours", q: nodeQuery(newVersion(startEpoch-1, 9), sums[4]), status: 200, from: newVersion(startEpoch-1, 9), to: now},
		{name: "up to date", q: nodeQuery(now, sums[4]), status: 200, from: now, to: now, wait: true},
		{name: "up to date, and not to wait", q: Query{Since: now, Sum: sums[4], Name: "n0", Role: "node"}, status: 200, from: now, to: now},
		{name: "ours is refused", q: Query{Since: newVersion(startEpoch, 3), Sum: sums[3], Name: "n0", Role: "node", Refused: now, Why: "no", MaxWait: 1}, status: 200,
			from: newVersion(startEpoch, 3), to: newVersion(startEpoch, 3), wait: true},
		{name: "ours is refused by one without a version", q: Query{Name: "n0", Role: "node", Refused: now, MaxWait: 1}, status: 200, wait: true},
		{name: "an older one is refused", q: Query{Since: newVersion(startEpoch, 2), Sum: sums[2], Name: "n0", Role: "node", Refused: newVersion(startEpoch, 3), MaxWait: 1}, status: 200,
			from: newVersion(startEpoch, 2), to: now, put: 1},
		{name: "ahead", q: nodeQuery(newVersion(startEpoch, 5), 0), status: 409, err: fmt.Sprintf("behind: %d.4 here", startEpoch)},
		{name: "a later epoch", q: nodeQuery(newVersion(startEpoch+1, 0), 0), status: 409, err: fmt.Sprintf("behind: %d.4 here", startEpoch)},
		{name: "another content", q: nodeQuery(now, 1), status: 409, err: "another content under"},
		{name: "no name", q: Query{Role: "node"}, status: 400, err: "name: want 1 to 300 bytes"},
		{name: "long name", q: Query{Name: strings.Repeat("n", 301), Role: "node"}, status: 400, err: "name: want 1 to 300 bytes"},
		{name: "no role", q: Query{Name: "n0"}, status: 400, err: "role \"\": want node or control"},
		{name: "long mark", q: Query{Name: "n0", Process: strings.Repeat("p", maxProcessMark+1), Role: "node"}, status: 400, err: "process: at most 64 bytes"},
		{name: "long why", q: Query{Name: "n0", Role: "node", Why: strings.Repeat("y", resource.MaxWhy+1)}, status: 400, err: "why: 1025 bytes: at most 1024"},
		{name: "negative wait", q: Query{Name: "n0", Role: "control", MaxWait: -1}, status: 400, err: "timeout_ms: below 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := b.Watch(startTime, c.q)
			if r.Status != c.status || r.Hold != c.wait || (r.WatchID != 0) != c.wait || (r.Err != nil) != (c.err != "") || r.Err != nil && !strings.HasPrefix(r.Err.Error(), c.err) {
				t.Fatalf("%+v", r)
			}
			if c.status != 200 {
				if r.Delta != nil {
					t.Fatalf("%+v", r.Delta)
				}
				return
			}
			if r.Delta.From != c.from || r.Delta.To != c.to || len(r.Delta.Put) != c.put || r.Delta.From == r.Delta.To && r.Delta.Sum != c.q.Sum {
				t.Fatalf("%+v", r.Delta)
			}
			if c.wait {
				c.q.WatchID, c.q.WaitOver = r.WatchID, true
				b.Watch(startTime, c.q)
			}
			if b.watchCount != 0 {
				t.Fatal(b.watchCount)
			}
		})
	}
	r := NewVersionStore(Limits{}).Watch(startTime, nodeQuery(newVersion(startEpoch, 3), 0))
	if r.Status != 503 || r.RetryAfter <= 0 || r.Err == nil {
		t.Fatalf("without a configuration: %+v", r)
	}
}

func TestHeldWatchReceivesNextChange(t *testing.T) {
	b := newStartedStore(t, Limits{}, contracts(3))
	q := nodeQuery(newVersion(startEpoch, 0), b.Set().Sum())
	r := b.Watch(startTime, q)
	if q.WatchID = r.WatchID; !r.Hold || b.watchCount != 1 {
		t.Fatalf("%+v", r)
	}
	// Asked again without a change it is held on, under its number.
	if r = b.Watch(startTime+time.Second, q); !r.Hold || r.WatchID != q.WatchID || b.watchCount != 1 {
		t.Fatalf("%+v", r)
	}
	d := mustChange(t, b, startTime+2*time.Second, oneContract("c0001", 5))
	if r = b.Watch(startTime+2*time.Second, q); r.Hold || r.Delta != d || b.watchCount != 0 {
		t.Fatalf("%+v", r)
	}
	// Its end may come after the answer: nothing is counted twice.
	q.WaitOver = true
	b.Watch(startTime+2*time.Second, q)
	if b.watchCount != 0 {
		t.Fatal(b.watchCount)
	}
}

func TestLaterWatchOfSameNameReplacesEarlier(t *testing.T) {
	b := newStartedStore(t, Limits{}, contracts(3))
	q := nodeQuery(newVersion(startEpoch, 0), b.Set().Sum())
	first := b.Watch(startTime, q)
	second := b.Watch(startTime, q)
	if second.ReplacedWatch != first.WatchID || second.WatchID == first.WatchID || b.watchCount != 1 {
		t.Fatalf("%+v %+v %d", first, second, b.watchCount)
	}
	// What the first one's handler says after that touches nothing.
	q.WatchID = first.WatchID
	if r := b.Watch(startTime, q); r.Hold || r.Status != 200 || r.Delta.To != q.Since || b.watchCount != 1 {
		t.Fatalf("%+v", r)
	}
	q.WaitOver = true
	if b.Watch(startTime, q); b.watchCount != 1 {
		t.Fatal(b.watchCount)
	}
	q.WatchID = second.WatchID
	if b.Watch(startTime, q); b.watchCount != 0 {
		t.Fatal(b.watchCount)
	}
}

// Two processes of a node, amid a hand-over, hold a watch each, and neither ends the other's; control shows both, and forgets the one that
// ends its call where the other is there. One that went alone is shown until the next one of its name comes, and is nobody's neighbour then.
func TestProcessesOfOneNameHoldSeparateWatches(t *testing.T) {
	b := newStartedStore(t, Limits{}, contracts(3))
	sum := b.Set().Sum()
	process := func(mark string) Query {
		q := nodeQuery(newVersion(startEpoch, 0), sum)
		q.Process = mark
		return q
	}
	hold := func(now time.Duration, mark string) Query {
		t.Helper()
		q := process(mark)
		r := b.Watch(now, q)
		if !r.Hold || r.ReplacedWatch != 0 {
			t.Fatalf("%s: %+v", mark, r)
		}
		q.WatchID = r.WatchID
		return q
	}
	shown := func(now time.Duration, want string) {
		t.Helper()
		s, st := "", b.Status(now)
		for _, n := range b.callers["n0"] {
			s += n.process + " "
		}
		if s != want || st.Callers != len(b.callers["n0"]) || st.Callers != st.Versions[0].Callers+st.AtOtherVersions {
			t.Fatalf("%q is known, want %q: %+v", s, want, st)
		}
	}
	old := hold(startTime, "a")
	young := hold(startTime, "b")
	if shown(startTime, "a b "); b.watchCount != 2 {
		t.Fatal(b.watchCount)
	}
	d := mustChange(t, b, startTime, oneContract("c0001", 5))
	for _, q := range []Query{old, young} {
		if r := b.Watch(startTime, q); r.Hold || r.Delta != d {
			t.Fatalf("%+v", r)
		}
	}
	refuses := process("a")
	refuses.Refused, refuses.Why = d.To, "no"
	b.Watch(startTime, refuses)
	if s := b.Status(startTime); len(s.Refusals) != 1 || s.Refusals[0].Process != "a" || s.Refusals[0].Name != "n0" {
		t.Fatalf("%+v", s.Refusals)
	}
	sum = d.Sum
	up := func(now time.Duration, mark string) Query {
		q := process(mark)
		q.Since, q.Sum = d.To, d.Sum
		q.WatchID = b.Watch(now, q).WatchID
		return q
	}
	old, young = up(startTime, "a"), up(startTime, "b")
	old.CallerGone = true
	if b.Watch(startTime, old); b.watchCount != 1 {
		t.Fatal(b.watchCount)
	}
	shown(startTime, "b ")
	// The last one is killed: it is shown on, until the next one is there.
	young.CallerGone = true
	b.Watch(startTime, young)
	shown(startTime, "b ")
	up(startTime+time.Second, "c")
	shown(startTime+time.Second, "c ")
	// One whose call ended without its doing stays; one that is silent beside another goes with the other's next call.
	c := up(startTime+time.Second, "c")
	c.WaitOver = true
	b.Watch(startTime+time.Second, c)
	up(startTime+2*time.Second, "d")
	shown(startTime+2*time.Second, "c d ")
	up(startTime+silentAfter+time.Second, "d")
	shown(startTime+silentAfter+time.Second, "c d ")
	up(startTime+silentAfter+2*time.Second, "d")
	shown(startTime+silentAfter+2*time.Second, "d ")
	// No more than so many of one name.
	for i := range 5 {
		up(startTime+40*time.Second+time.Duration(i), fmt.Sprint(i))
	}
	if shown(startTime+41*time.Second, "2 3 4 "); b.watchCount != maxProcessesPerName || b.callerCount != maxProcessesPerName {
		t.Fatal(b.watchCount, b.callerCount)
	}
}

func TestWatchLimit(t *testing.T) {
	b := newStartedStore(t, Limits{Watches: 2}, contracts(3))
	q := nodeQuery(newVersion(startEpoch, 0), b.Set().Sum())
	var ids []uint64
	for i := range 2 {
		q.Name = fmt.Sprint("n", i)
		ids = append(ids, b.Watch(startTime, q).WatchID)
	}
	q.Name = "n2"
	if r := b.Watch(startTime, q); r.Status != 503 || r.RetryAfter <= 0 || r.Hold || !strings.Contains(r.Err.Error(), "2 watches are held") {
		t.Fatalf("%+v", r)
	}
	// What is told at once is told all the same, and one's own is held on.
	if r := b.Watch(startTime, Query{Name: "n2", Role: "node"}); r.Status != 200 || len(r.Delta.Put) != 3 {
		t.Fatalf("%+v", r)
	}
	q.Name, q.WatchID = "n1", ids[1]
	if r := b.Watch(startTime, q); !r.Hold {
		t.Fatalf("%+v", r)
	}
	q.WaitOver = true
	b.Watch(startTime, q)
	q.Name, q.WatchID, q.WaitOver = "n2", 0, false
	if r := b.Watch(startTime, q); !r.Hold || b.watchCount != 2 {
		t.Fatalf("%+v", r)
	}
	if DefaultLimits.Watches != 2000 || NewVersionStore(Limits{Watches: -1}).limits.Watches != 2000 {
		t.Fatal("default")
	}
}

func TestCallerLimitAndExpiry(t *testing.T) {
	b := newStartedStore(t, Limits{MaxCallers: 3}, contracts(3))
	name := func(n int, wait time.Duration) Query {
		return Query{Name: fmt.Sprint("n", n), Role: "node", Since: newVersion(startEpoch, 0), Sum: b.Set().Sum(), MaxWait: wait}
	}
	b.Watch(startTime, name(0, time.Hour)) // held: goes last
	b.Watch(startTime+1, name(1, 0))
	b.Watch(startTime+2, name(2, 0))
	b.Watch(startTime+3, name(3, 0))
	known := func(now time.Duration) string {
		s := ""
		for _, n := range slices.Sorted(maps.Keys(b.callers)) {
			s += n + " "
		}
		if st := b.Status(now); st.Callers != len(b.callers) || st.Callers != b.callerCount {
			t.Fatal(st.Callers)
		}
		return s
	}
	if s := known(startTime + 3); s != "n0 n2 n3 " {
		t.Fatal(s)
	}
	b.Watch(startTime+10*time.Minute+time.Second, name(3, 0))
	if s := known(startTime + 10*time.Minute + time.Second); s != "n0 n3 " {
		t.Fatal(s)
	}
	// Where all are held, the oldest watch goes, and its handler is told that it has ended.
	b = newStartedStore(t, Limits{MaxCallers: 1}, contracts(3))
	r := b.Watch(startTime, name(0, time.Hour))
	b.Watch(startTime, name(1, time.Hour))
	q := name(0, time.Hour)
	q.WatchID = r.WatchID
	if r = b.Watch(startTime, q); r.Hold || r.Status != 200 || b.watchCount != 1 {
		t.Fatalf("%+v, %d", r, b.watchCount)
	}
	if DefaultLimits.MaxCallers != 10_000 || DefaultLimits.ForgetAfter != 10*time.Minute {
		t.Fatal(DefaultLimits)
	}
}

func TestStatusReportsVersionsRefusalsAndLag(t *testing.T) {
	b := newStartedStore(t, Limits{}, contracts(3))
	sum := b.Set().Sum()
	var last resource.Version
	for i := range 30 {
		last = mustChange(t, b, startTime+time.Duration(i)*time.Second, oneContract("c0000", 10+i)).To
	}
	now := startTime + 40*time.Second
	for i := range 31 { // one at each version, and 120 more at the first, which refuse the second
		b.Watch(now, Query{Name: fmt.Sprintf("v%02d", i), Role: "node", Since: newVersion(startEpoch, uint64(i)), Sum: sum})
	}
	for i := range 120 {
		b.Watch(now, Query{Name: fmt.Sprintf("r%03d", i), Role: "control", Since: newVersion(startEpoch, 0), Sum: sum, Refused: newVersion(startEpoch, 1), Why: "contract \"c0000\": rate: no"})
	}
	now += time.Second
	s := b.Status(now)
	if s.Version != last || s.AppliedAt != startTime+29*time.Second || s.Resources != 3 || s.Deltas != 30 || s.Callers != 151 {
		t.Fatalf("%+v", s)
	}
	if len(s.Versions) != MaxVersionCounts || s.Versions[0] != (VersionCount{last, 1}) || s.Versions[19] != (VersionCount{newVersion(startEpoch, 11), 1}) || s.AtOtherVersions != 131 {
		t.Fatalf("%+v, %d others", s.Versions, s.AtOtherVersions)
	}
	if s.Refusing != 120 || len(s.Refusals) != MaxRefusals || s.Refusals[0] != (CallerStatus{"r000", "", "control", newVersion(startEpoch, 0), newVersion(startEpoch, 1), "contract \"c0000\": rate: no", time.Second, 41 * time.Second}) {
		t.Fatalf("%d, %+v", s.Refusing, s.Refusals[0])
	}
	// v00 to v22 and the 120 were left behind 19 s ago or earlier; v29 has been behind for 12 s, v30 isn't.
	if s.Behind != 143 || len(s.Late) != MaxLateCallers || s.Late[0].Name != "r000" {
		t.Fatalf("%d, %d", s.Behind, len(s.Late))
	}
	if d := b.behindFor(now, b.callers["v29"][0]); d != 12*time.Second {
		t.Fatal(d)
	}
	if d := b.behindFor(now, b.callers["v30"][0]); d != 0 {
		t.Fatal(d)
	}
	// A node that takes what it refused isn't counted any more.
	b.Watch(now, Query{Name: "r000", Role: "control", Since: last, Sum: b.Set().Sum()})
	if s = b.Status(now); s.Refusing != 119 || s.Versions[0].Callers != 2 {
		t.Fatal(s.Refusing)
	}
}

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
		"an hour later":         {startTime + time.Hour, startEpoch + 3_600_000},
		"in the same instant":   {startTime, startEpoch + 1},
		"the clock is set back": {startTime - 20*time.Hour, startEpoch + 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewVersionStore(Limits{})
			d, err := b.BeginEpoch(c.now, known, want)
			if err != nil {
				t.Fatal(err)
			}
			if d.From != newVersion(startEpoch, 1) || d.To != newVersion(c.epoch, 0) || len(d.Put) != 2 || len(d.Gone) != 0 {
				t.Fatalf("%+v", d)
			}
			// Who has the latest takes the difference; who has an older one the whole.
			if r := b.Watch(c.now, nodeQuery(newVersion(startEpoch, 1), known[3].Sum)); r.Delta != d {
				t.Fatalf("%+v", r)
			}
			if r := b.Watch(c.now, nodeQuery(newVersion(startEpoch, 0), known[0].Sum)); !r.Delta.Whole() || len(r.Delta.Put) != 4 {
				t.Fatalf("%+v", r)
			}
			if d := mustChange(t, b, c.now, oneContract("new", 2)); d.To != newVersion(c.epoch, 1) {
				t.Fatalf("%+v", d)
			}
		})
	}
	t.Run("alike", func(t *testing.T) {
		b := NewVersionStore(Limits{})
		d, err := b.BeginEpoch(startTime, known, latest.Set().Snapshot().Put)
		if err != nil || len(d.Put)+len(d.Gone) != 0 || d.From != newVersion(startEpoch, 1) || d.To != newVersion(startEpoch+1, 0) || d.Sum != known[3].Sum {
			t.Fatalf("%+v %v", d, err)
		}
	})
}

func TestBeginEpochErrorsLeaveStoreUnchanged(t *testing.T) {
	far := newStartedStore(t, Limits{}, contracts(1)).Set().Snapshot()
	far.To.Epoch = startEpoch + resource.MaxEpochAhead
	highest := *far
	highest.To.Epoch = 1<<64 - 1
	broken := *far
	broken.To.Epoch = startEpoch + 5
	broken.Sum++
	delta := resource.Delta{From: newVersion(1, 1), To: newVersion(1, 2)}
	for name, c := range map[string]struct {
		known *resource.Delta
		all   []resource.Resource
		want  string
	}{
		"epoch too far ahead":  {known: far, want: "over a day ahead of this clock"},
		"the highest epoch":    {known: &highest, want: "over a day ahead of this clock"},
		"a sum that's wrong":   {known: &broken, want: "the sum does not fit"},
		"no snapshot":          {known: &delta, want: "no snapshot"},
		"named twice":          {all: append(contracts(2), contracts(1)...), want: `contract "c0000": named twice`},
		"kind not known":       {all: []resource.Resource{{Key: resource.Key{Kind: "cluster", Name: "x"}, Spec: []byte("{}")}}, want: "kind: not known"},
		"spec that is no JSON": {all: []resource.Resource{{Key: resource.Key{Kind: "service", Name: "x"}, Spec: []byte("{")}}, want: "spec: not valid JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, b := range []*VersionStore{NewVersionStore(Limits{}), newStartedStore(t, Limits{}, contracts(4))} {
				before, sum := b.Set().Version(), b.Set().Sum()
				if d, err := b.BeginEpoch(startTime, []*resource.Delta{c.known}, c.all); err == nil || !strings.Contains(err.Error(), c.want) {
					t.Fatal(d, err)
				}
				if b.Set().Version() != before || b.Set().Sum() != sum {
					t.Fatal("half of it was taken")
				}
			}
		})
	}
}

// A writer starts again without any other process to ask, and its clock was set back: who has a later version is told that it is behind,
// and the writer begins past what it heard of.
func TestWriterLearnsOfLaterEpochFromCallers(t *testing.T) {
	b := NewVersionStore(Limits{})
	if _, err := b.BeginEpoch(startTime-time.Hour, nil, contracts(3)); err != nil {
		t.Fatal(err)
	}
	if r := b.Watch(startTime, nodeQuery(newVersion(startEpoch, 5), 1)); r.Status != 409 {
		t.Fatalf("%+v", r)
	}
	if b.Watch(startTime, nodeQuery(newVersion(startEpoch, 4), 1)); b.Ahead() != newVersion(startEpoch, 5) || b.Status(startTime).Ahead != newVersion(startEpoch, 5) {
		t.Fatal(b.Ahead())
	}
	d, err := b.BeginEpoch(startTime-time.Hour, nil, contracts(3))
	if err != nil || d.To != newVersion(startEpoch+1, 0) || len(d.Put)+len(d.Gone) != 0 {
		t.Fatalf("%+v %v", d, err)
	}
	if !b.Ahead().IsZero() {
		t.Fatal(b.Ahead())
	}
	if r := b.Watch(startTime, nodeQuery(newVersion(startEpoch, 5), 1)); r.Status != 200 || !r.Delta.Whole() {
		t.Fatalf("%+v", r)
	}
	// What no node could have taken is not believed.
	if b.Watch(startTime, nodeQuery(newVersion(startEpoch+2*resource.MaxEpochAhead, 0), 1)); !b.Ahead().IsZero() {
		t.Fatal(b.Ahead())
	}
}

// Without any other process and with the same files, nodes go on by an empty delta; with others by the whole.
func TestWriterRestartsWithoutPeers(t *testing.T) {
	first := newStartedStore(t, Limits{}, contracts(3))
	b := NewVersionStore(Limits{})
	if _, err := b.BeginEpoch(startTime+time.Minute, nil, contracts(3)); err != nil {
		t.Fatal(err)
	}
	r := b.Watch(startTime, nodeQuery(newVersion(startEpoch, 0), first.Set().Sum()))
	if r.Status != 200 || r.Delta.From != newVersion(startEpoch, 0) || r.Delta.To != b.Set().Version() || len(r.Delta.Put) != 0 {
		t.Fatalf("%+v", r)
	}
	node := resource.NewSet(false)
	if err := node.Apply(first.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if err := node.Apply(r.Delta); err != nil || node.Version() != b.Set().Version() {
		t.Fatal(err)
	}
	// Also where a change came before the node did.
	mustChange(t, b, startTime, oneContract("c0002", 8))
	r = b.Watch(startTime, nodeQuery(newVersion(startEpoch, 0), first.Set().Sum()))
	if r.Delta.From != newVersion(startEpoch, 0) || r.Delta.To != b.Set().Version() || len(r.Delta.Put) != 1 {
		t.Fatalf("%+v", r.Delta)
	}
	mustChange(t, first, startTime, oneContract("c0000", 9)) // was told to some, and lost with the writer
	if r = b.Watch(startTime, nodeQuery(newVersion(startEpoch, 1), first.Set().Sum())); !r.Delta.Whole() {
		t.Fatalf("%+v", r)
	}
}

func TestChangeIsNumberedOrLeavesStoreUnchanged(t *testing.T) {
	b := newStartedStore(t, Limits{}, contracts(3))
	for name, c := range map[string]struct {
		put  []resource.Resource
		gone []resource.Key
		want string
	}{
		"nothing":        {},
		"as it stands":   {put: oneContract("c0001", 1)},
		"gone already":   {gone: []resource.Key{contract("x", 1).Key}},
		"put twice":      {put: append(oneContract("c0001", 2), oneContract("c0001", 3)...), want: `contract "c0001": put twice`},
		"put and gone":   {put: oneContract("c0001", 2), gone: []resource.Key{contract("c0001", 1).Key}, want: "put and gone at once"},
		"spec too long":  {put: []resource.Resource{{Key: contract("x", 1).Key, Spec: []byte(`{"x":"` + strings.Repeat("x", resource.MaxSpec) + `"}`)}}, want: "at most 65536"},
		"kind not known": {put: []resource.Resource{{Key: resource.Key{Kind: "cluster", Name: "x"}, Spec: []byte("{}")}}, want: "not known"},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := b.Change(startTime, c.put, c.gone)
			if d != nil || (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatal(d, err)
			}
			if b.Set().Version() != newVersion(startEpoch, 0) || b.history.Len() != 0 {
				t.Fatal(b.Set().Version())
			}
		})
	}
	if d := mustChange(t, b, startTime, oneContract("c0001", 2), contract("c0002", 1).Key); d.To != newVersion(startEpoch, 1) || len(d.Put) != 1 || len(d.Gone) != 1 {
		t.Fatalf("%+v", d)
	}
	if _, err := NewVersionStore(Limits{}).Change(startTime, oneContract("c0001", 2), nil); err == nil {
		t.Fatal("changed before it began")
	}
}

// A control process that follows takes deltas and snapshots; behind a snapshot of a new epoch, who has the version before takes a delta.
func TestFollowerStoreAppliesDeltasAndSnapshots(t *testing.T) {
	writer := newStartedStore(t, Limits{}, contracts(3))
	b := NewVersionStore(Limits{})
	if err := b.Apply(startTime, writer.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	first := mustChange(t, writer, startTime, oneContract("c0000", 2))
	lost := mustChange(t, writer, startTime, oneContract("c0000", 3))
	third := mustChange(t, writer, startTime, oneContract("c0000", 4))
	if err := b.Apply(startTime, first); err != nil {
		t.Fatal(err)
	}
	for d, want := range map[*resource.Delta]error{third: resource.ErrBase, first: resource.ErrStale, writer.Set().Next(newVersion(5, 0), nil, nil): resource.ErrStale,
		{From: first.To, To: third.To, Sum: 1}: resource.ErrSum} {
		if d.To == newVersion(5, 0) {
			d.From = resource.Version{} // an older epoch, whole
		}
		if err := b.Apply(startTime, d); !errors.Is(err, want) {
			t.Fatalf("%v is not %v", err, want)
		}
	}
	if b.Set().Version() != first.To || b.history.Len() != 1 {
		t.Fatal(b.Set().Version())
	}
	if err := b.Apply(startTime, lost); err != nil {
		t.Fatal(err)
	}
	next := newStartedStore(t, Limits{}, oneContract("c0000", 9), writer.Set().Snapshot())
	if err := b.Apply(startTime, next.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, v := range []resource.Version{newVersion(startEpoch, 0), first.To, lost.To} {
		r := b.Watch(startTime, nodeQuery(v, 0))
		if r.Delta.From != v || r.Delta.To != newVersion(startEpoch+1, 0) || len(r.Delta.Put) != 1 || len(r.Delta.Gone) != 2 {
			t.Fatalf("%+v", r.Delta)
		}
	}
}

func TestNodeFollowsVersionStore(t *testing.T) {
	b := newStartedStore(t, Limits{}, contracts(3))
	set := resource.NewSet(false)
	f := resource.NewFollower(set, 1)
	now := startTime
	ask := func() Reply {
		c := f.Next(now, 0.5)
		now += c.Rest
		return b.Watch(now, Query{Since: c.Since, Sum: c.Sum, Name: "n0", Role: "node", Refused: c.Refused, Why: c.Why, MaxWait: c.Wait})
	}
	take := func(r Reply) {
		t.Helper()
		if take, err := f.Told(now, r.Delta); !take || err != nil {
			t.Fatal(take, err)
		}
		err := set.Apply(set.Difference(r.Delta))
		if f.Took(now, err); err != nil {
			t.Fatal(err)
		}
	}
	take(ask())
	r := ask()
	if !r.Hold || r.WatchID == 0 {
		t.Fatalf("%+v", r)
	}
	if _, err := b.Change(now, []resource.Resource{contract("c0001", 2)}, []resource.Key{contract("c0002", 1).Key}); err != nil {
		t.Fatal(err)
	}
	r = b.Watch(now, Query{Since: set.Version(), Sum: set.Sum(), Name: "n0", Role: "node", MaxWait: time.Second, WatchID: r.WatchID})
	if r.Hold || len(r.Delta.Put) != 1 || len(r.Delta.Gone) != 1 {
		t.Fatalf("%+v", r)
	}
	take(r)
	if set.Version() != b.Set().Version() || set.Sum() != b.Set().Sum() || set.Len() != 2 {
		t.Fatal(set.Version(), set.Len())
	}
}

// BenchmarkChangeToldTo450 is one change, numbered, and told to 450 watches that are held, beside two sizes.
func BenchmarkChangeWith450Watches(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := NewVersionStore(Limits{})
			if _, err := book.BeginEpoch(startTime, nil, contracts(n)); err != nil {
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
					held[j].Since, held[j].Sum, held[j].WatchID = book.Set().Version(), book.Set().Sum(), 0
					held[j].WatchID = book.Watch(startTime, held[j]).WatchID
				}
				if _, err := book.Change(startTime, oneContract("c0001", i+2), nil); err != nil {
					b.Fatal(err)
				}
				for j := range held {
					if r := book.Watch(startTime, held[j]); r.Hold || len(r.Delta.Put) != 1 {
						b.Fatalf("%+v", r)
					}
				}
			}
		})
	}
}
