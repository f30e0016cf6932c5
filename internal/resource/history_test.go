package resource

import (
	"reflect"
	"testing"
	"time"
)

// chain is a set and its history, changed together.
type chain struct {
	t   *testing.T
	now time.Duration
	set *Set
	his *History
}

func newChain(t *testing.T, most HistoryLimits, all ...Resource) *chain {
	c := &chain{t: t, set: NewSet(true), his: NewHistory(most)}
	c.add(c.set.Next(ver(1, 0), all, nil))
	return c
}

func (c *chain) add(d *Delta) {
	c.t.Helper()
	c.his.Add(c.now, d)
	if err := c.set.Apply(d); err != nil {
		c.t.Fatal(err)
	}
}

func (c *chain) change(put []Resource, gone ...Key) {
	c.t.Helper()
	v := c.set.Version()
	c.add(c.set.Next(ver(v.Epoch, v.Number+1), put, gone))
}

func put(all ...Resource) []Resource { return all }

func TestMergeNamesTheLastOfEachKey(t *testing.T) {
	c := newChain(t, HistoryLimits{}, con("kept", 1), con("gone", 1), con("back", 1), con("changed", 1), con("changed-gone", 1))
	c.change(put(con("new", 1), con("new-gone", 1), con("changed", 2), con("changed-gone", 2)), key("gone"), key("back"))
	c.change(put(con("new", 2), con("back", 3), con("changed", 3), con("late", 1)), key("new-gone"), key("changed-gone"))
	c.change(put(con("new-gone", 5)), key("late"))
	c.change(nil, key("new-gone"))
	d, ok := c.his.Since(ver(1, 0))
	want := &Delta{From: ver(1, 0), To: ver(1, 4), Sum: c.set.Sum(), Put: put(con("back", 3), con("changed", 3), con("new", 2)),
		Gone: []Key{key("changed-gone"), key("gone"), key("late"), key("new-gone")}}
	if !ok || !reflect.DeepEqual(d, want) {
		t.Fatalf("%+v\nwant %+v", d, want)
	}
	if again, _ := c.his.Since(ver(1, 0)); again != d {
		t.Fatal("merged anew for each node")
	}
	if d, ok := c.his.Since(ver(1, 3)); !ok || len(d.Put) != 0 || !reflect.DeepEqual(d.Gone, []Key{key("new-gone")}) {
		t.Fatalf("%+v", d)
	}
	c.change(put(con("more", 1)))
	if again, _ := c.his.Since(ver(1, 0)); again.To != ver(1, 5) {
		t.Fatal("an old merged delta was told")
	}
}

func TestAHistoryKeepsByNumberAgeAndBytes(t *testing.T) {
	one := (&Delta{Put: put(con("a", 1))}).size()
	for name, most := range map[string]HistoryLimits{
		"number": {Deltas: 3},
		"age":    {Age: 2 * time.Second},
		"bytes":  {Bytes: 3 * one},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChain(t, most)
			for i := range 9 {
				c.now = time.Duration(i) * time.Second
				c.change(put(con("a", i)))
			}
			// Kept are those from 1.6, 1.7 and 1.8: the edge is exact.
			if c.his.Len() != 3 {
				t.Fatal(c.his.Len())
			}
			if d, ok := c.his.Since(ver(1, 6)); !ok || d.To != ver(1, 9) {
				t.Fatal("at the edge", d, ok)
			}
			if d, ok := c.his.Since(ver(1, 5)); ok {
				t.Fatal("before the edge", d)
			}
			for _, v := range []Version{{}, ver(1, 9), ver(1, 10), ver(0, 7), ver(2, 7)} {
				if d, ok := c.his.Since(v); ok {
					t.Fatal(v, d)
				}
			}
			if at, ok := c.his.Left(ver(1, 7)); !ok || at != 7*time.Second {
				t.Fatal(at, ok)
			}
			if _, ok := c.his.Left(ver(1, 9)); ok {
				t.Fatal("the last was left")
			}
		})
	}
	c := newChain(t, HistoryLimits{Age: time.Second})
	c.change(put(con("a", 1)))
	c.his.Since(ver(1, 0))
	c.his.Trim(time.Second + 1)
	if _, ok := c.his.Since(ver(1, 0)); ok || c.his.Len() != 0 {
		t.Fatal("too old and kept")
	}
	if h := NewHistory(HistoryLimits{Bytes: MaxAnswer + 1}); h.most.Bytes != MaxAnswer || h.most.Deltas != DefaultHistory.Deltas || h.most.Age != DefaultHistory.Age {
		t.Fatalf("%+v", h.most)
	}
}

func TestAHistoryBeginsAnewWhereTheWayBreaksOff(t *testing.T) {
	c := newChain(t, HistoryLimits{})
	c.change(put(con("a", 1)))
	if _, ok := c.his.Since(ver(1, 0)); !ok {
		t.Fatal("not kept")
	}
	// A snapshot: nothing leads to it.
	d := &Delta{To: ver(2, 0), Sum: c.set.Sum(), Put: put(con("a", 1))}
	c.add(d)
	if c.his.Len() != 0 {
		t.Fatal(c.his.Len())
	}
	c.change(put(con("a", 2)))
	c.change(put(con("a", 3)))
	// A delta from elsewhere.
	c.his.Add(0, &Delta{From: ver(2, 9), To: ver(2, 10)})
	if _, ok := c.his.Since(ver(2, 0)); ok || c.his.Len() != 1 {
		t.Fatal("a gap was merged over")
	}
}

// A process that follows was cut off and takes what it missed as one delta. A node that took the changes one by one elsewhere and turns
// to it gets a delta all the same, also where something came and went, and through a new epoch; not from an epoch that it may have left
// on another way.
func TestADeltaLeadsOnFromTheVersionsOnItsWay(t *testing.T) {
	c := newChain(t, HistoryLimits{}, con("a", 1))
	node := filled(t, false, ver(1, 0), con("a", 1))
	c.change(put(con("came", 1), con("b", 1)))
	c.change(put(con("b", 2)))
	d, _ := c.his.Since(ver(1, 1))
	if err := node.Apply(c.set.Snapshot()); err != nil || d == nil {
		t.Fatal(err)
	}
	c.change(nil, key("came"))
	follower := NewHistory(HistoryLimits{})
	d, _ = c.his.Since(ver(1, 0))
	follower.Add(0, d)
	told, ok := follower.Since(ver(1, 2))
	if !ok || told.From != ver(1, 2) {
		t.Fatal(told, ok)
	}
	if err := node.Apply(told); err != nil {
		t.Fatal(err)
	}
	holds(t, node, ver(1, 3), con("a", 1), con("b", 2))
	if at, ok := follower.Left(ver(1, 2)); !ok || at != 0 {
		t.Fatal(at, ok)
	}

	c.add(c.set.Next(ver(9, 0), nil, nil))
	c.change(put(con("c", 1)))
	c.change(nil, key("c"))
	d, _ = c.his.Since(ver(1, 2))
	follower = NewHistory(HistoryLimits{})
	follower.Add(0, d)
	for v, want := range map[Version]bool{ver(1, 1): false, ver(1, 2): true, ver(1, 3): false, ver(8, 0): false, ver(9, 0): true, ver(9, 1): true, ver(9, 2): false} {
		if _, ok := follower.Since(v); ok != want {
			t.Errorf("%v is kept: %v", v, ok)
		}
	}
	node = filled(t, false, ver(9, 1), con("a", 1), con("b", 2), con("c", 1))
	d, _ = follower.Since(ver(9, 1))
	if err := node.Apply(d); err != nil {
		t.Fatal(err)
	}
	holds(t, node, ver(9, 2), con("a", 1), con("b", 2))
}

// A new epoch's first delta leads on from the old one's last version: who has that takes deltas.
func TestAHistoryLeadsThroughANewEpoch(t *testing.T) {
	c := newChain(t, HistoryLimits{}, con("a", 1))
	c.change(put(con("a", 2)))
	c.add(c.set.Next(ver(9, 0), nil, nil))
	c.change(put(con("b", 1)))
	d, ok := c.his.Since(ver(1, 0))
	if !ok || d.To != ver(9, 1) || len(d.Put) != 2 {
		t.Fatal(d, ok)
	}
	if d, ok = c.his.Since(ver(1, 1)); !ok || len(d.Put) != 1 {
		t.Fatal(d, ok)
	}
}
