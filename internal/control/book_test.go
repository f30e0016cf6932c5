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
const start = 1_764_640_000 * time.Second

func contract(name string, rate int) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: resource.Contract, Name: name}, Spec: json.RawMessage(fmt.Sprintf(`{"rate":%d}`, rate))}
}

func contracts(n int) (all []resource.Resource) {
	for i := range n {
		all = append(all, contract(fmt.Sprintf("c%04d", i), 1))
	}
	return all
}

func begun(t *testing.T, l Limits, all []resource.Resource, known ...*resource.Delta) *Book {
	t.Helper()
	b := NewBook(l)
	if _, err := b.Begin(start, known, all); err != nil {
		t.Fatal(err)
	}
	return b
}

// ask is a node's query.
func ask(since resource.Version, sum resource.Sum) Query {
	return Query{Since: since, Sum: sum, Name: "n0", Role: "node", Wait: 10 * time.Second}
}

func change(t *testing.T, b *Book, now time.Duration, put []resource.Resource, gone ...resource.Key) *resource.Delta {
	t.Helper()
	d, err := b.Change(now, put, gone)
	if err != nil || d == nil {
		t.Fatal(d, err)
	}
	return d
}

func one(name string, rate int) []resource.Resource { return []resource.Resource{contract(name, rate)} }

func at(epoch, number uint64) resource.Version { return resource.Version{Epoch: epoch, Number: number} }

// epoch is that of a Book that began at start.
const epoch = uint64(start / time.Millisecond)

func TestWhatAWatchIsAnswered(t *testing.T) {
	b := begun(t, Limits{History: resource.HistoryLimits{Deltas: 2}}, contracts(3))
	var sums []resource.Sum
	sums = append(sums, b.Set().Sum())
	for i := range 4 {
		sums = append(sums, change(t, b, start, one("c0000", 10+i)).Sum)
	}
	now := at(epoch, 4)
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
		{name: "no version", q: ask(resource.Version{}, 0), status: 200, to: now, put: 3},
		{name: "one behind", q: ask(at(epoch, 3), sums[3]), status: 200, from: at(epoch, 3), to: now, put: 1},
		{name: "at the edge of what is kept", q: ask(at(epoch, 2), sums[2]), status: 200, from: at(epoch, 2), to: now, put: 1},
		{name: "one past the edge", q: ask(at(epoch, 1), sums[1]), status: 200, to: now, put: 3},
		{name: "an old epoch", q: ask(at(epoch-1, 9), sums[1]), status: 200, to: now, put: 3},
		{name: "an old epoch with what is ours", q: ask(at(epoch-1, 9), sums[4]), status: 200, from: at(epoch-1, 9), to: now},
		{name: "up to date", q: ask(now, sums[4]), status: 200, from: now, to: now, wait: true},
		{name: "up to date, and not to wait", q: Query{Since: now, Sum: sums[4], Name: "n0", Role: "node"}, status: 200, from: now, to: now},
		{name: "ours is refused", q: Query{Since: at(epoch, 3), Sum: sums[3], Name: "n0", Role: "node", Refused: now, Why: "no", Wait: 1}, status: 200,
			from: at(epoch, 3), to: at(epoch, 3), wait: true},
		{name: "ours is refused by one without a version", q: Query{Name: "n0", Role: "node", Refused: now, Wait: 1}, status: 200, wait: true},
		{name: "an older one is refused", q: Query{Since: at(epoch, 2), Sum: sums[2], Name: "n0", Role: "node", Refused: at(epoch, 3), Wait: 1}, status: 200,
			from: at(epoch, 2), to: now, put: 1},
		{name: "ahead", q: ask(at(epoch, 5), 0), status: 409, err: fmt.Sprintf("behind: %d.4 here", epoch)},
		{name: "a later epoch", q: ask(at(epoch+1, 0), 0), status: 409, err: fmt.Sprintf("behind: %d.4 here", epoch)},
		{name: "another content", q: ask(now, 1), status: 409, err: "another content under"},
		{name: "no name", q: Query{Role: "node"}, status: 400, err: "name: want 1 to 300 bytes"},
		{name: "long name", q: Query{Name: strings.Repeat("n", 301), Role: "node"}, status: 400, err: "name: want 1 to 300 bytes"},
		{name: "no role", q: Query{Name: "n0"}, status: 400, err: "role \"\": want node or control"},
		{name: "long mark", q: Query{Name: "n0", Process: strings.Repeat("p", mostMark+1), Role: "node"}, status: 400, err: "process: at most 64 bytes"},
		{name: "long why", q: Query{Name: "n0", Role: "node", Why: strings.Repeat("y", resource.MaxWhy+1)}, status: 400, err: "why: 1025 bytes: at most 1024"},
		{name: "negative wait", q: Query{Name: "n0", Role: "control", Wait: -1}, status: 400, err: "timeout_ms: below 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := b.Watch(start, c.q)
			if r.Status != c.status || r.Wait != c.wait || (r.Watch != 0) != c.wait || (r.Err != nil) != (c.err != "") || r.Err != nil && !strings.HasPrefix(r.Err.Error(), c.err) {
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
				c.q.Watch, c.q.Left = r.Watch, true
				b.Watch(start, c.q)
			}
			if b.watches != 0 {
				t.Fatal(b.watches)
			}
		})
	}
	r := NewBook(Limits{}).Watch(start, ask(at(epoch, 3), 0))
	if r.Status != 503 || r.RetryAfter <= 0 || r.Err == nil {
		t.Fatalf("without a configuration: %+v", r)
	}
}

func TestAHeldWatchIsToldOfTheNextChange(t *testing.T) {
	b := begun(t, Limits{}, contracts(3))
	q := ask(at(epoch, 0), b.Set().Sum())
	r := b.Watch(start, q)
	if q.Watch = r.Watch; !r.Wait || b.watches != 1 {
		t.Fatalf("%+v", r)
	}
	// Asked again without a change it is held on, under its number.
	if r = b.Watch(start+time.Second, q); !r.Wait || r.Watch != q.Watch || b.watches != 1 {
		t.Fatalf("%+v", r)
	}
	d := change(t, b, start+2*time.Second, one("c0001", 5))
	if r = b.Watch(start+2*time.Second, q); r.Wait || r.Delta != d || b.watches != 0 {
		t.Fatalf("%+v", r)
	}
	// Its end may come after the answer: nothing is counted twice.
	q.Left = true
	b.Watch(start+2*time.Second, q)
	if b.watches != 0 {
		t.Fatal(b.watches)
	}
}

func TestWatchesOfOneNameReplaceEachOther(t *testing.T) {
	b := begun(t, Limits{}, contracts(3))
	q := ask(at(epoch, 0), b.Set().Sum())
	first := b.Watch(start, q)
	second := b.Watch(start, q)
	if second.Replaced != first.Watch || second.Watch == first.Watch || b.watches != 1 {
		t.Fatalf("%+v %+v %d", first, second, b.watches)
	}
	// What the first one's handler says after that touches nothing.
	q.Watch = first.Watch
	if r := b.Watch(start, q); r.Wait || r.Status != 200 || r.Delta.To != q.Since || b.watches != 1 {
		t.Fatalf("%+v", r)
	}
	q.Left = true
	if b.Watch(start, q); b.watches != 1 {
		t.Fatal(b.watches)
	}
	q.Watch = second.Watch
	if b.Watch(start, q); b.watches != 0 {
		t.Fatal(b.watches)
	}
}

// Two processes of a node, amid a hand-over, hold a watch each, and neither ends the other's; control shows both, and forgets the one that
// ends its call where the other is there. One that went alone is shown until the next one of its name comes, and is nobody's neighbour then.
func TestProcessesOfOneName(t *testing.T) {
	b := begun(t, Limits{}, contracts(3))
	sum := b.Set().Sum()
	process := func(mark string) Query {
		q := ask(at(epoch, 0), sum)
		q.Process = mark
		return q
	}
	hold := func(now time.Duration, mark string) Query {
		t.Helper()
		q := process(mark)
		r := b.Watch(now, q)
		if !r.Wait || r.Replaced != 0 {
			t.Fatalf("%s: %+v", mark, r)
		}
		q.Watch = r.Watch
		return q
	}
	shown := func(now time.Duration, want string) {
		t.Helper()
		s, st := "", b.Status(now)
		for _, n := range b.nodes["n0"] {
			s += n.process + " "
		}
		if s != want || st.Nodes != len(b.nodes["n0"]) || st.Nodes != st.Versions[0].Nodes+st.Others {
			t.Fatalf("%q is known, want %q: %+v", s, want, st)
		}
	}
	old := hold(start, "a")
	young := hold(start, "b")
	if shown(start, "a b "); b.watches != 2 {
		t.Fatal(b.watches)
	}
	d := change(t, b, start, one("c0001", 5))
	for _, q := range []Query{old, young} {
		if r := b.Watch(start, q); r.Wait || r.Delta != d {
			t.Fatalf("%+v", r)
		}
	}
	refuses := process("a")
	refuses.Refused, refuses.Why = d.To, "no"
	b.Watch(start, refuses)
	if s := b.Status(start); len(s.Refusals) != 1 || s.Refusals[0].Process != "a" || s.Refusals[0].Name != "n0" {
		t.Fatalf("%+v", s.Refusals)
	}
	sum = d.Sum
	up := func(now time.Duration, mark string) Query {
		q := process(mark)
		q.Since, q.Sum = d.To, d.Sum
		q.Watch = b.Watch(now, q).Watch
		return q
	}
	old, young = up(start, "a"), up(start, "b")
	old.Gone = true
	if b.Watch(start, old); b.watches != 1 {
		t.Fatal(b.watches)
	}
	shown(start, "b ")
	// The last one is killed: it is shown on, until the next one is there.
	young.Gone = true
	b.Watch(start, young)
	shown(start, "b ")
	up(start+time.Second, "c")
	shown(start+time.Second, "c ")
	// One whose call ended without its doing stays; one that is silent beside another goes with the other's next call.
	c := up(start+time.Second, "c")
	c.Left = true
	b.Watch(start+time.Second, c)
	up(start+2*time.Second, "d")
	shown(start+2*time.Second, "c d ")
	up(start+silentFor+time.Second, "d")
	shown(start+silentFor+time.Second, "c d ")
	up(start+silentFor+2*time.Second, "d")
	shown(start+silentFor+2*time.Second, "d ")
	// No more than so many of one name.
	for i := range 5 {
		up(start+40*time.Second+time.Duration(i), fmt.Sprint(i))
	}
	if shown(start+41*time.Second, "2 3 4 "); b.watches != mostProcesses || b.known != mostProcesses {
		t.Fatal(b.watches, b.known)
	}
}

func TestWatchesAreBounded(t *testing.T) {
	b := begun(t, Limits{Watches: 2}, contracts(3))
	q := ask(at(epoch, 0), b.Set().Sum())
	var ids []uint64
	for i := range 2 {
		q.Name = fmt.Sprint("n", i)
		ids = append(ids, b.Watch(start, q).Watch)
	}
	q.Name = "n2"
	if r := b.Watch(start, q); r.Status != 503 || r.RetryAfter <= 0 || r.Wait || !strings.Contains(r.Err.Error(), "2 watches are held") {
		t.Fatalf("%+v", r)
	}
	// What is told at once is told all the same, and one's own is held on.
	if r := b.Watch(start, Query{Name: "n2", Role: "node"}); r.Status != 200 || len(r.Delta.Put) != 3 {
		t.Fatalf("%+v", r)
	}
	q.Name, q.Watch = "n1", ids[1]
	if r := b.Watch(start, q); !r.Wait {
		t.Fatalf("%+v", r)
	}
	q.Left = true
	b.Watch(start, q)
	q.Name, q.Watch, q.Left = "n2", 0, false
	if r := b.Watch(start, q); !r.Wait || b.watches != 2 {
		t.Fatalf("%+v", r)
	}
	if DefaultLimits.Watches != 2000 || NewBook(Limits{Watches: -1}).most.Watches != 2000 {
		t.Fatal("default")
	}
}

func TestNodesAreBoundedAndForgotten(t *testing.T) {
	b := begun(t, Limits{Nodes: 3}, contracts(3))
	name := func(n int, wait time.Duration) Query {
		return Query{Name: fmt.Sprint("n", n), Role: "node", Since: at(epoch, 0), Sum: b.Set().Sum(), Wait: wait}
	}
	b.Watch(start, name(0, time.Hour)) // held: goes last
	b.Watch(start+1, name(1, 0))
	b.Watch(start+2, name(2, 0))
	b.Watch(start+3, name(3, 0))
	known := func(now time.Duration) string {
		s := ""
		for _, n := range slices.Sorted(maps.Keys(b.nodes)) {
			s += n + " "
		}
		if st := b.Status(now); st.Nodes != len(b.nodes) || st.Nodes != b.known {
			t.Fatal(st.Nodes)
		}
		return s
	}
	if s := known(start + 3); s != "n0 n2 n3 " {
		t.Fatal(s)
	}
	b.Watch(start+10*time.Minute+time.Second, name(3, 0))
	if s := known(start + 10*time.Minute + time.Second); s != "n0 n3 " {
		t.Fatal(s)
	}
	// Where all are held, the oldest watch goes, and its handler is told that it has ended.
	b = begun(t, Limits{Nodes: 1}, contracts(3))
	r := b.Watch(start, name(0, time.Hour))
	b.Watch(start, name(1, time.Hour))
	q := name(0, time.Hour)
	q.Watch = r.Watch
	if r = b.Watch(start, q); r.Wait || r.Status != 200 || b.watches != 1 {
		t.Fatalf("%+v, %d", r, b.watches)
	}
	if DefaultLimits.Nodes != 10_000 || DefaultLimits.Forget != 10*time.Minute {
		t.Fatal(DefaultLimits)
	}
}

func TestStatusTellsWhoIsWhere(t *testing.T) {
	b := begun(t, Limits{}, contracts(3))
	sum := b.Set().Sum()
	var last resource.Version
	for i := range 30 {
		last = change(t, b, start+time.Duration(i)*time.Second, one("c0000", 10+i)).To
	}
	now := start + 40*time.Second
	for i := range 31 { // one at each version, and 120 more at the first, which refuse the second
		b.Watch(now, Query{Name: fmt.Sprintf("v%02d", i), Role: "node", Since: at(epoch, uint64(i)), Sum: sum})
	}
	for i := range 120 {
		b.Watch(now, Query{Name: fmt.Sprintf("r%03d", i), Role: "control", Since: at(epoch, 0), Sum: sum, Refused: at(epoch, 1), Why: "contract \"c0000\": rate: no"})
	}
	now += time.Second
	s := b.Status(now)
	if s.Version != last || s.Since != start+29*time.Second || s.Resources != 3 || s.Deltas != 30 || s.Nodes != 151 {
		t.Fatalf("%+v", s)
	}
	if len(s.Versions) != MostRows || s.Versions[0] != (Row{last, 1}) || s.Versions[19] != (Row{at(epoch, 11), 1}) || s.Others != 131 {
		t.Fatalf("%+v, %d others", s.Versions, s.Others)
	}
	if s.Refused != 120 || len(s.Refusals) != MostRefusals || s.Refusals[0] != (Node{"r000", "", "control", at(epoch, 0), at(epoch, 1), "contract \"c0000\": rate: no", time.Second, 41 * time.Second}) {
		t.Fatalf("%d, %+v", s.Refused, s.Refusals[0])
	}
	// v00 to v22 and the 120 were left behind 19 s ago or earlier; v29 has been behind for 12 s, v30 isn't.
	if s.Behind != 143 || len(s.Late) != MostLate || s.Late[0].Name != "r000" {
		t.Fatalf("%d, %d", s.Behind, len(s.Late))
	}
	if d := b.behind(now, b.nodes["v29"][0]); d != 12*time.Second {
		t.Fatal(d)
	}
	if d := b.behind(now, b.nodes["v30"][0]); d != 0 {
		t.Fatal(d)
	}
	// A node that takes what it refused isn't counted any more.
	b.Watch(now, Query{Name: "r000", Role: "control", Since: last, Sum: b.Set().Sum()})
	if s = b.Status(now); s.Refused != 119 || s.Versions[0].Nodes != 2 {
		t.Fatal(s.Refused)
	}
}

func TestAWriterBeginsPastAllThatIsKnown(t *testing.T) {
	older := begun(t, Limits{}, contracts(3))
	latest := NewBook(Limits{})
	if err := latest.Take(start, older.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	change(t, latest, start, one("c0001", 7))
	known := []*resource.Delta{older.Set().Snapshot(), nil, {}, latest.Set().Snapshot()}
	want := append(contracts(3), contract("new", 1))
	for name, c := range map[string]struct {
		now   time.Duration
		epoch uint64
	}{
		"an hour later":         {start + time.Hour, epoch + 3_600_000},
		"in the same instant":   {start, epoch + 1},
		"the clock is set back": {start - 20*time.Hour, epoch + 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBook(Limits{})
			d, err := b.Begin(c.now, known, want)
			if err != nil {
				t.Fatal(err)
			}
			if d.From != at(epoch, 1) || d.To != at(c.epoch, 0) || len(d.Put) != 2 || len(d.Gone) != 0 {
				t.Fatalf("%+v", d)
			}
			// Who has the latest takes the difference; who has an older one the whole.
			if r := b.Watch(c.now, ask(at(epoch, 1), known[3].Sum)); r.Delta != d {
				t.Fatalf("%+v", r)
			}
			if r := b.Watch(c.now, ask(at(epoch, 0), known[0].Sum)); !r.Delta.Whole() || len(r.Delta.Put) != 4 {
				t.Fatalf("%+v", r)
			}
			if d := change(t, b, c.now, one("new", 2)); d.To != at(c.epoch, 1) {
				t.Fatalf("%+v", d)
			}
		})
	}
	t.Run("alike", func(t *testing.T) {
		b := NewBook(Limits{})
		d, err := b.Begin(start, known, latest.Set().Snapshot().Put)
		if err != nil || len(d.Put)+len(d.Gone) != 0 || d.From != at(epoch, 1) || d.To != at(epoch+1, 0) || d.Sum != known[3].Sum {
			t.Fatalf("%+v %v", d, err)
		}
	})
}

func TestAWriterThatCannotBeginSaysWhy(t *testing.T) {
	far := begun(t, Limits{}, contracts(1)).Set().Snapshot()
	far.To.Epoch = epoch + resource.MaxEpochAhead
	highest := *far
	highest.To.Epoch = 1<<64 - 1
	broken := *far
	broken.To.Epoch = epoch + 5
	broken.Sum++
	delta := resource.Delta{From: at(1, 1), To: at(1, 2)}
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
			for _, b := range []*Book{NewBook(Limits{}), begun(t, Limits{}, contracts(4))} {
				before, sum := b.Set().Version(), b.Set().Sum()
				if d, err := b.Begin(start, []*resource.Delta{c.known}, c.all); err == nil || !strings.Contains(err.Error(), c.want) {
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
func TestAWriterAloneLearnsOfALaterEpochFromThoseThatHaveIt(t *testing.T) {
	b := NewBook(Limits{})
	if _, err := b.Begin(start-time.Hour, nil, contracts(3)); err != nil {
		t.Fatal(err)
	}
	if r := b.Watch(start, ask(at(epoch, 5), 1)); r.Status != 409 {
		t.Fatalf("%+v", r)
	}
	if b.Watch(start, ask(at(epoch, 4), 1)); b.Ahead() != at(epoch, 5) || b.Status(start).Ahead != at(epoch, 5) {
		t.Fatal(b.Ahead())
	}
	d, err := b.Begin(start-time.Hour, nil, contracts(3))
	if err != nil || d.To != at(epoch+1, 0) || len(d.Put)+len(d.Gone) != 0 {
		t.Fatalf("%+v %v", d, err)
	}
	if !b.Ahead().IsZero() {
		t.Fatal(b.Ahead())
	}
	if r := b.Watch(start, ask(at(epoch, 5), 1)); r.Status != 200 || !r.Delta.Whole() {
		t.Fatalf("%+v", r)
	}
	// What no node could have taken is not believed.
	if b.Watch(start, ask(at(epoch+2*resource.MaxEpochAhead, 0), 1)); !b.Ahead().IsZero() {
		t.Fatal(b.Ahead())
	}
}

// Without any other process and with the same files, nodes go on by an empty delta; with others by the whole.
func TestAWriterStartsAgainWithoutAnyOtherProcess(t *testing.T) {
	first := begun(t, Limits{}, contracts(3))
	b := NewBook(Limits{})
	if _, err := b.Begin(start+time.Minute, nil, contracts(3)); err != nil {
		t.Fatal(err)
	}
	r := b.Watch(start, ask(at(epoch, 0), first.Set().Sum()))
	if r.Status != 200 || r.Delta.From != at(epoch, 0) || r.Delta.To != b.Set().Version() || len(r.Delta.Put) != 0 {
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
	change(t, b, start, one("c0002", 8))
	r = b.Watch(start, ask(at(epoch, 0), first.Set().Sum()))
	if r.Delta.From != at(epoch, 0) || r.Delta.To != b.Set().Version() || len(r.Delta.Put) != 1 {
		t.Fatalf("%+v", r.Delta)
	}
	change(t, first, start, one("c0000", 9)) // was told to some, and lost with the writer
	if r = b.Watch(start, ask(at(epoch, 1), first.Set().Sum())); !r.Delta.Whole() {
		t.Fatalf("%+v", r)
	}
}

func TestAChangeIsNumberedOrChangesNothing(t *testing.T) {
	b := begun(t, Limits{}, contracts(3))
	for name, c := range map[string]struct {
		put  []resource.Resource
		gone []resource.Key
		want string
	}{
		"nothing":        {},
		"as it stands":   {put: one("c0001", 1)},
		"gone already":   {gone: []resource.Key{contract("x", 1).Key}},
		"put twice":      {put: append(one("c0001", 2), one("c0001", 3)...), want: `contract "c0001": put twice`},
		"put and gone":   {put: one("c0001", 2), gone: []resource.Key{contract("c0001", 1).Key}, want: "put and gone at once"},
		"spec too long":  {put: []resource.Resource{{Key: contract("x", 1).Key, Spec: []byte(`{"x":"` + strings.Repeat("x", resource.MaxSpec) + `"}`)}}, want: "at most 65536"},
		"kind not known": {put: []resource.Resource{{Key: resource.Key{Kind: "cluster", Name: "x"}, Spec: []byte("{}")}}, want: "not known"},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := b.Change(start, c.put, c.gone)
			if d != nil || (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatal(d, err)
			}
			if b.Set().Version() != at(epoch, 0) || b.history.Len() != 0 {
				t.Fatal(b.Set().Version())
			}
		})
	}
	if d := change(t, b, start, one("c0001", 2), contract("c0002", 1).Key); d.To != at(epoch, 1) || len(d.Put) != 1 || len(d.Gone) != 1 {
		t.Fatalf("%+v", d)
	}
	if _, err := NewBook(Limits{}).Change(start, one("c0001", 2), nil); err == nil {
		t.Fatal("changed before it began")
	}
}

// A control process that follows takes deltas and snapshots; behind a snapshot of a new epoch, who has the version before takes a delta.
func TestAFollowerTakesDeltasAndSnapshots(t *testing.T) {
	writer := begun(t, Limits{}, contracts(3))
	b := NewBook(Limits{})
	if err := b.Take(start, writer.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	first := change(t, writer, start, one("c0000", 2))
	lost := change(t, writer, start, one("c0000", 3))
	third := change(t, writer, start, one("c0000", 4))
	if err := b.Take(start, first); err != nil {
		t.Fatal(err)
	}
	for d, want := range map[*resource.Delta]error{third: resource.ErrBase, first: resource.ErrStale, writer.Set().Next(at(5, 0), nil, nil): resource.ErrStale,
		{From: first.To, To: third.To, Sum: 1}: resource.ErrSum} {
		if d.To == at(5, 0) {
			d.From = resource.Version{} // an older epoch, whole
		}
		if err := b.Take(start, d); !errors.Is(err, want) {
			t.Fatalf("%v is not %v", err, want)
		}
	}
	if b.Set().Version() != first.To || b.history.Len() != 1 {
		t.Fatal(b.Set().Version())
	}
	if err := b.Take(start, lost); err != nil {
		t.Fatal(err)
	}
	next := begun(t, Limits{}, one("c0000", 9), writer.Set().Snapshot())
	if err := b.Take(start, next.Set().Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, v := range []resource.Version{at(epoch, 0), first.To, lost.To} {
		r := b.Watch(start, ask(v, 0))
		if r.Delta.From != v || r.Delta.To != at(epoch+1, 0) || len(r.Delta.Put) != 1 || len(r.Delta.Gone) != 2 {
			t.Fatalf("%+v", r.Delta)
		}
	}
}

func TestANodeFollowsABook(t *testing.T) {
	b := begun(t, Limits{}, contracts(3))
	set := resource.NewSet(false)
	f := resource.NewFollower(set, 1)
	now := start
	ask := func() Reply {
		c := f.Next(now, 0.5)
		now += c.Rest
		return b.Watch(now, Query{Since: c.Since, Sum: c.Sum, Name: "n0", Role: "node", Refused: c.Refused, Why: c.Why, Wait: c.Wait})
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
	if !r.Wait || r.Watch == 0 {
		t.Fatalf("%+v", r)
	}
	if _, err := b.Change(now, []resource.Resource{contract("c0001", 2)}, []resource.Key{contract("c0002", 1).Key}); err != nil {
		t.Fatal(err)
	}
	r = b.Watch(now, Query{Since: set.Version(), Sum: set.Sum(), Name: "n0", Role: "node", Wait: time.Second, Watch: r.Watch})
	if r.Wait || len(r.Delta.Put) != 1 || len(r.Delta.Gone) != 1 {
		t.Fatalf("%+v", r)
	}
	take(r)
	if set.Version() != b.Set().Version() || set.Sum() != b.Set().Sum() || set.Len() != 2 {
		t.Fatal(set.Version(), set.Len())
	}
}

// BenchmarkChangeToldTo450 is one change, numbered, and told to 450 watches that are held, beside two sizes.
func BenchmarkChangeToldTo450(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := NewBook(Limits{})
			if _, err := book.Begin(start, nil, contracts(n)); err != nil {
				b.Fatal(err)
			}
			held := make([]Query, 450)
			for i := range held {
				held[i] = Query{Name: fmt.Sprint("n", i), Role: "node", Wait: time.Second}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				for j := range held {
					held[j].Since, held[j].Sum, held[j].Watch = book.Set().Version(), book.Set().Sum(), 0
					held[j].Watch = book.Watch(start, held[j]).Watch
				}
				if _, err := book.Change(start, one("c0001", i+2), nil); err != nil {
					b.Fatal(err)
				}
				for j := range held {
					if r := book.Watch(start, held[j]); r.Wait || len(r.Delta.Put) != 1 {
						b.Fatalf("%+v", r)
					}
				}
			}
		})
	}
}
