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

func genRoute(t *rapid.T) Route {
	return Route{Host: rapid.SampledFrom([]string{"a.org", "B.org.", "c.org"}).Draw(t, "host"), Port: rapid.SampledFrom([]uint16{80, 443}).Draw(t, "port"),
		Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service")}
}

// A table that was changed in place finds what one finds that was made anew of the same routes.
func TestTableChangedInPlaceEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab, err := NewTable(nil, nil)
		if err != nil {
			rt.Fatal(err)
		}
		there := map[string]Route{}
		for range rapid.IntRange(1, 20).Draw(rt, "changes") {
			c := Change{Put: rapid.SliceOfN(rapid.Custom(genRoute), 0, 3).Draw(rt, "put"),
				Gone: rapid.SliceOfN(rapid.SampledFrom([]string{"a.org:80", "b.org:443", "c.org:80", "d.org:1", "none"}), 0, 2).Draw(rt, "gone")}
			then, named := maps.Clone(there), map[string]bool{}
			for _, n := range c.Gone {
				delete(then, n)
				named[n] = true
			}
			doubled := false
			for _, r := range c.Put {
				doubled = doubled || named[r.Name()]
				named[r.Name()] = true
				then[r.Name()] = r
			}
			if err := tab.Check(&c); (err != nil) != doubled {
				rt.Fatalf("%+v: %v", c, err)
			} else if err != nil {
				continue
			}
			tab.Change(&c)
			there = then
			var all []Route
			for _, r := range there {
				all = append(all, r)
			}
			anew, err := NewTable(all, nil)
			if err != nil || anew.Len() != tab.Len() {
				rt.Fatal(err, anew.Len(), tab.Len())
			}
			for _, host := range []string{"A.org", "b.org", "c.org.", "d.org"} {
				for _, port := range []uint16{1, 80, 443} {
					got, ok := tab.Find(host, port)
					want, known := anew.Find(host, port)
					if ok != known || got != want {
						rt.Fatalf("%s:%d: %+v, made anew %+v", host, port, got, want)
					}
				}
			}
		}
	})
}

// A change that makes no sense names route and field, and the check changes nothing.
func TestInvalidRouteChangesAreRejected(t *testing.T) {
	tab := testTable(t, false)
	for _, c := range []struct {
		change Change
		want   string
	}{
		{Change{Put: []Route{{Host: "127.0.0.1", Port: 80}}}, `route "127.0.0.1:80": host: "127.0.0.1" is an address`},
		{Change{Put: []Route{{Host: "a b", Port: 80}}}, `route "a b:80": host: "a b" is no name`},
		{Change{Put: []Route{{Host: "a"}}}, `route "a:0": port: missing`},
		{Change{Put: []Route{{Host: "a", Port: 1}, {Host: "A.", Port: 1}}}, `route "a:1": is put twice`},
		{Change{Put: []Route{{Host: "a", Port: 1}}, Gone: []string{"a:1"}}, `route "a:1": is put twice, or both put and gone`},
	} {
		err := tab.Check(&c.change)
		var bad *ChangeError
		if !errors.As(err, &bad) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.change, err, c.want)
		}
	}
	if tab.Len() != 1 {
		t.Errorf("a check changed the table: %d routes", tab.Len())
	}
}

// Clients who look up while routes change see a route as it was or as it is.
func TestLookupsDuringChangesNeverGoBack(t *testing.T) {
	tab, _ := NewTable([]Route{{Host: "a", Port: 1, Service: "0"}, {Host: "b", Port: 1, Service: "0"}}, nil)
	var all sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		all.Go(func() {
			last := 0
			for {
				a, ok := tab.Find("a", 1)
				b, both := tab.Find("B.", 1) // looked up later: never older
				var x, y int
				fmt.Sscan(a.Service, &x)
				fmt.Sscan(b.Service, &y)
				if !ok || !both || x < last || y < x {
					t.Errorf("a is %+v, then b is %+v, after %d", a, b, last)
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
		tab.Change(&Change{Put: []Route{{Host: "a", Port: 1, Service: s}, {Host: "b", Port: 1, Service: s}}, Gone: []string{"c:1"}})
	}
	close(done)
	all.Wait()
}
