package tunnel

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// genRoute generates a route of few names and ports, so that changes often meet the same one.
func genRoute(t *rapid.T) Route {
	return Route{Host: rapid.SampledFrom([]string{"a.org", "B.org.", "c.org"}).Draw(t, "host"), Port: rapid.SampledFrom([]uint16{80, 443}).Draw(t, "port"),
		Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service")}
}

// A table changed in place finds the same routes as a new table built from the resulting routes.
func TestTableChangedInPlaceEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, err := NewTable(nil, nil)
		if err != nil {
			rt.Fatal(err)
		}
		current := map[string]Route{}
		for range rapid.IntRange(1, 20).Draw(rt, "changes") {
			c := Change{Put: rapid.SliceOfN(rapid.Custom(genRoute), 0, 3).Draw(rt, "put"),
				Removed: rapid.SliceOfN(rapid.SampledFrom([]string{"a.org:80", "b.org:443", "c.org:80", "d.org:1", "none"}), 0, 2).Draw(rt, "removed")}
			next, named := maps.Clone(current), map[string]bool{}
			for _, n := range c.Removed {
				delete(next, n)
				named[n] = true
			}
			duplicate := false
			for _, r := range c.Put {
				duplicate = duplicate || named[r.Name()]
				named[r.Name()] = true
				next[r.Name()] = r
			}
			if err := table.Check(&c); (err != nil) != duplicate {
				rt.Fatalf("Check of %+v: %v", c, err)
			} else if err != nil {
				continue
			}
			table.ApplyChange(&c)
			current = next
			var all []Route
			for _, r := range current {
				all = append(all, r)
			}
			rebuilt, err := NewTable(all, nil)
			if err != nil || rebuilt.Len() != table.Len() {
				rt.Fatal(err, rebuilt.Len(), table.Len())
			}
			for _, host := range []string{"A.org", "b.org", "c.org.", "d.org"} {
				for _, port := range []uint16{1, 80, 443} {
					got, ok := table.Find(host, port)
					want, known := rebuilt.Find(host, port)
					if ok != known || got != want {
						rt.Fatalf("%s:%d: got %+v, in a new table %+v", host, port, got, want)
					}
				}
			}
		}
	})
}

// The error for an invalid change names route and field, and Check does not change the table.
func TestInvalidRouteChangesAreRejected(t *testing.T) {
	table := testTable(t, false)
	for _, c := range []struct {
		change Change
		want   string
	}{
		{Change{Put: []Route{{Host: "127.0.0.1", Port: 80}}}, `route "127.0.0.1:80": host: "127.0.0.1" is an address`},
		{Change{Put: []Route{{Host: "a b", Port: 80}}}, `route "a b:80": host: "a b" is not a host name`},
		{Change{Put: []Route{{Host: "a"}}}, `route "a:0": port: missing`},
		{Change{Put: []Route{{Host: "a", Port: 1}, {Host: "A.", Port: 1}}}, `route "a:1": is put twice`},
		{Change{Put: []Route{{Host: "a", Port: 1}}, Removed: []string{"a:1"}}, `route "a:1": is put twice, or both put and removed`},
	} {
		err := table.Check(&c.change)
		var bad *ChangeError
		if !errors.As(err, &bad) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.change, err, c.want)
		}
	}
	if table.Len() != 1 {
		t.Errorf("Check changed the table: %d routes", table.Len())
	}
}

// Clients that look up routes during changes see each change completely or not at all, and never an older route after a
// newer one.
func TestLookupsDuringChangesNeverGoBack(t *testing.T) {
	table, _ := NewTable([]Route{{Host: "a", Port: 1, Service: "0"}, {Host: "b", Port: 1, Service: "0"}}, nil)
	var readers sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			last := 0
			for {
				a, ok := table.Find("a", 1)
				b, both := table.Find("B.", 1) // looked up later: must not be older
				var x, y int
				fmt.Sscan(a.Service, &x)
				fmt.Sscan(b.Service, &y)
				if !ok || !both || x < last || y < x {
					t.Errorf("a is %+v, then b is %+v, after version %d", a, b, last)
					return
				}
				last = x
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for i := range 2000 {
		s := fmt.Sprint(i + 1)
		table.ApplyChange(&Change{Put: []Route{{Host: "a", Port: 1, Service: s}, {Host: "b", Port: 1, Service: s}}, Removed: []string{"c:1"}})
	}
	close(done)
	readers.Wait()
}
