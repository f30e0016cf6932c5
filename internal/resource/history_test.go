package resource

import (
	"reflect"
	"testing"
	"time"
)

// versionedSet is a set with its history, which are changed together.
type versionedSet struct {
	t       *testing.T
	now     time.Duration
	set     *Set
	history *History
}

func newVersionedSet(t *testing.T, limits HistoryLimits, all ...Resource) *versionedSet {
	c := &versionedSet{t: t, set: NewSet(true), history: NewHistory(limits)}
	c.add(c.set.NewDelta(version(1, 0), all, nil))
	return c
}

func (c *versionedSet) add(d *Delta) {
	c.t.Helper()
	c.history.Add(c.now, d)
	if err := c.set.Apply(d); err != nil {
		c.t.Fatal(err)
	}
}

// change puts and removes resources in the next version.
func (c *versionedSet) change(put []Resource, removed ...Key) {
	c.t.Helper()
	v := c.set.Version()
	c.add(c.set.NewDelta(version(v.Epoch, v.Number+1), put, removed))
}

func resources(all ...Resource) []Resource { return all }

func TestMergeKeepsLastChangeOfEachKey(t *testing.T) {
	c := newVersionedSet(t, HistoryLimits{}, contract("kept", 1), contract("removed", 1), contract("added-again", 1), contract("changed", 1), contract("changed-removed", 1))
	c.change(resources(contract("new", 1), contract("new-removed", 1), contract("changed", 2), contract("changed-removed", 2)), contractKey("removed"), contractKey("added-again"))
	c.change(resources(contract("new", 2), contract("added-again", 3), contract("changed", 3), contract("late", 1)), contractKey("new-removed"), contractKey("changed-removed"))
	c.change(resources(contract("new-removed", 5)), contractKey("late"))
	c.change(nil, contractKey("new-removed"))
	d, ok := c.history.Since(version(1, 0))
	want := &Delta{From: version(1, 0), To: version(1, 4), Checksum: c.set.Checksum(), Put: resources(contract("added-again", 3), contract("changed", 3), contract("new", 2)),
		Removed: []Key{contractKey("changed-removed"), contractKey("late"), contractKey("new-removed"), contractKey("removed")}}
	if !ok || !reflect.DeepEqual(d, want) {
		t.Fatalf("%+v\nwant %+v", d, want)
	}
	if again, _ := c.history.Since(version(1, 0)); again != d {
		t.Fatal("the deltas are merged again for each node")
	}
	if d, ok := c.history.Since(version(1, 3)); !ok || len(d.Put) != 0 || !reflect.DeepEqual(d.Removed, []Key{contractKey("new-removed")}) {
		t.Fatalf("%+v", d)
	}
	c.change(resources(contract("more", 1)))
	if again, _ := c.history.Since(version(1, 0)); again.To != version(1, 5) {
		t.Fatal("an outdated merged delta was returned")
	}
}

func TestHistoryIsLimitedByCountAgeAndBytes(t *testing.T) {
	deltaSize := (&Delta{Put: resources(contract("a", 1))}).size()
	for name, limits := range map[string]HistoryLimits{
		"count": {Deltas: 3},
		"age":   {Age: 2 * time.Second},
		"bytes": {Bytes: 3 * deltaSize},
	} {
		t.Run(name, func(t *testing.T) {
			c := newVersionedSet(t, limits)
			for i := range 9 {
				c.now = time.Duration(i) * time.Second
				c.change(resources(contract("a", i)))
			}
			// The deltas from 1.6, 1.7 and 1.8 are stored: the limit is exact.
			if c.history.Len() != 3 {
				t.Fatal(c.history.Len())
			}
			if d, ok := c.history.Since(version(1, 6)); !ok || d.To != version(1, 9) {
				t.Fatal("oldest delta within the limits", d, ok)
			}
			if d, ok := c.history.Since(version(1, 5)); ok {
				t.Fatal("delta past the limits", d)
			}
			for _, v := range []Version{{}, version(1, 9), version(1, 10), version(0, 7), version(2, 7)} {
				if d, ok := c.history.Since(v); ok {
					t.Fatal(v, d)
				}
			}
			if at, ok := c.history.BehindSince(version(1, 7)); !ok || at != 7*time.Second {
				t.Fatal(at, ok)
			}
			if _, ok := c.history.BehindSince(version(1, 9)); ok {
				t.Fatal("the latest version is reported as behind")
			}
		})
	}
	c := newVersionedSet(t, HistoryLimits{Age: time.Second})
	c.change(resources(contract("a", 1)))
	c.history.Since(version(1, 0))
	c.history.Trim(time.Second + 1)
	if _, ok := c.history.Since(version(1, 0)); ok || c.history.Len() != 0 {
		t.Fatal("a delta past its age is stored")
	}
	if h := NewHistory(HistoryLimits{Bytes: MaxResponse + 1}); h.limits.Bytes != MaxResponse || h.limits.Deltas != DefaultHistory.Deltas || h.limits.Age != DefaultHistory.Age {
		t.Fatalf("%+v", h.limits)
	}
}

func TestHistoryRestartsAfterSnapshotOrGap(t *testing.T) {
	c := newVersionedSet(t, HistoryLimits{})
	c.change(resources(contract("a", 1)))
	if _, ok := c.history.Since(version(1, 0)); !ok {
		t.Fatal("the delta is not stored")
	}
	// A snapshot: no delta leads to it.
	d := &Delta{To: version(2, 0), Checksum: c.set.Checksum(), Put: resources(contract("a", 1))}
	c.add(d)
	if c.history.Len() != 0 {
		t.Fatal(c.history.Len())
	}
	c.change(resources(contract("a", 2)))
	c.change(resources(contract("a", 3)))
	// A delta that does not lead on from the last one.
	c.history.Add(0, &Delta{From: version(2, 9), To: version(2, 10)})
	if _, ok := c.history.Since(version(2, 0)); ok || c.history.Len() != 1 {
		t.Fatal("deltas with a gap between them were merged")
	}
}

// A control process that follows another one was cut off and received the missed changes as one delta. A node that has
// received them one by one elsewhere, and now calls this process, still gets a delta: also where a resource was added
// and removed again, and across a new epoch. It gets none from an epoch whose later versions may have been other ones.
func TestMergedDeltaAppliesFromIntermediateVersions(t *testing.T) {
	c := newVersionedSet(t, HistoryLimits{}, contract("a", 1))
	node := setWith(t, false, version(1, 0), contract("a", 1))
	c.change(resources(contract("temporary", 1), contract("b", 1)))
	c.change(resources(contract("b", 2)))
	d, _ := c.history.Since(version(1, 1))
	if err := node.Apply(c.set.Snapshot()); err != nil || d == nil {
		t.Fatal(err)
	}
	c.change(nil, contractKey("temporary"))
	follower := NewHistory(HistoryLimits{})
	d, _ = c.history.Since(version(1, 0))
	follower.Add(0, d)
	delta, ok := follower.Since(version(1, 2))
	if !ok || delta.From != version(1, 2) {
		t.Fatal(delta, ok)
	}
	if err := node.Apply(delta); err != nil {
		t.Fatal(err)
	}
	requireContent(t, node, version(1, 3), contract("a", 1), contract("b", 2))
	if at, ok := follower.BehindSince(version(1, 2)); !ok || at != 0 {
		t.Fatal(at, ok)
	}

	c.add(c.set.NewDelta(version(9, 0), nil, nil))
	c.change(resources(contract("c", 1)))
	c.change(nil, contractKey("c"))
	d, _ = c.history.Since(version(1, 2))
	follower = NewHistory(HistoryLimits{})
	follower.Add(0, d)
	for v, want := range map[Version]bool{version(1, 1): false, version(1, 2): true, version(1, 3): false, version(8, 0): false, version(9, 0): true, version(9, 1): true, version(9, 2): false} {
		if _, ok := follower.Since(v); ok != want {
			t.Errorf("%v is stored: %v", v, ok)
		}
	}
	node = setWith(t, false, version(9, 1), contract("a", 1), contract("b", 2), contract("c", 1))
	d, _ = follower.Since(version(9, 1))
	if err := node.Apply(d); err != nil {
		t.Fatal(err)
	}
	requireContent(t, node, version(9, 2), contract("a", 1), contract("b", 2))
}

// The first delta of a new epoch leads on from the last version of the old one, so a caller at that version gets deltas.
func TestHistorySpansNewEpoch(t *testing.T) {
	c := newVersionedSet(t, HistoryLimits{}, contract("a", 1))
	c.change(resources(contract("a", 2)))
	c.add(c.set.NewDelta(version(9, 0), nil, nil))
	c.change(resources(contract("b", 1)))
	d, ok := c.history.Since(version(1, 0))
	if !ok || d.To != version(9, 1) || len(d.Put) != 2 {
		t.Fatal(d, ok)
	}
	if d, ok = c.history.Since(version(1, 1)); !ok || len(d.Put) != 1 {
		t.Fatal(d, ok)
	}
}
