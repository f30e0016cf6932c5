package catalog

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"portstall/internal/resource"
)

// fleetResources returns the resources of a fleet: for 17,000 contracts 3,800 routes and 250 services, in proportion for other numbers.
func fleetResources(contracts int) []resource.Resource {
	var all []resource.Resource
	services, routes := contracts*250/17000, contracts*3800/17000
	for i := range services {
		all = append(all, newResource(fmt.Sprint("service service-", i), fmt.Sprintf(
			`{"name":"service-%d","classes":[{"name":"read-%d"},{"name":"write-%d","effect":"keyed"},{"name":"list-%d"},{"name":"pay-%d","effect":"unsafe"}]}`, i, i, i, i, i)))
	}
	for i := range contracts {
		all = append(all, fleetContract(i, i%services, 5))
	}
	for i := range routes {
		all = append(all, newResource(fmt.Sprintf("route host-%d.services.example.org:443", i), fmt.Sprintf(
			`{"host":"host-%d.services.example.org","port":443,"service":"service-%d"}`, i, i%services)))
	}
	return all
}

// fleetContract returns the contract of tenant i for a service.
func fleetContract(i, service int, rate float64) resource.Resource {
	return newResource(fmt.Sprint("contract tenant-", i), fmt.Sprintf(`{"name":"tenant-%d","match":[{"tenant":"tenant-%d"}],"services":["service-%d"],"rate":%v,"burst":10,`+
		`"in_flight":20,"attempts":{"ratio":0.2},"retries":["read-%d","list-%d"],"work":{"limit":3}}`, i, i, service, rate, service, service))
}

// BenchmarkDelta measures decoding, checking and applying a delta of one contract, for two sizes of the fleet, and one of a service
// together with the 68 contracts that name it.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		w := newTestState(b, Options{Effects: map[string]string{}})
		if err := w.apply(b, &resource.Delta{Put: fleetResources(n)}); err != nil {
			b.Fatal(err)
		}
		services := n * 250 / 17000
		reportLockTime := func(b *testing.B, before time.Duration) {
			b.ReportMetric(float64((w.lockTime-before).Nanoseconds())/float64(b.N), "ns-locked/op")
		}
		b.Run(fmt.Sprintf("contract/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			before := w.lockTime
			for i := 0; b.Loop(); i++ {
				if err := w.apply(b, &resource.Delta{Put: []resource.Resource{fleetContract(i%n, i%n%services, float64(5+i%7))}}); err != nil {
					b.Fatal(err)
				}
			}
			reportLockTime(b, before)
		})
		b.Run(fmt.Sprintf("service/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			before := w.lockTime
			for i := 0; b.Loop(); i++ {
				s := i % services
				if err := w.apply(b, &resource.Delta{Put: []resource.Resource{newResource(fmt.Sprint("service service-", s), fmt.Sprintf(
					`{"name":"service-%d","classes":[{"name":"read-%d"},{"name":"list-%d"},{"name":"more-%d"}]}`, s, s, s, i))}}); err != nil {
					b.Fatal(err)
				}
			}
			reportLockTime(b, before)
		})
	}
}

// The cost of a delta of one contract depends on what it changes, not on the number of contracts: from its check until it is in
// force, and in a node's set, it takes as many allocations and bytes with 6,800 contracts as with 340. (A walk over all contracts
// without allocations would not be noticed here; BenchmarkDelta would show it.)
func TestDeltaCostIsIndependentOfCatalogSize(t *testing.T) {
	const runs = 200
	type cost struct{ allocations, bytes uint64 }
	costs := map[int]cost{}
	for _, n := range []int{340, 6800} {
		w, set := newTestState(t, Options{Effects: map[string]string{}}), resource.NewSet(false)
		all := fleetResources(n)
		if err := w.apply(t, &resource.Delta{Put: all}); err != nil {
			t.Fatal(err)
		}
		if err := set.Apply(set.NewDelta(resource.Version{Epoch: 1}, all, nil)); err != nil {
			t.Fatal(err)
		}
		services := n * 250 / 17000
		applyOne := func(i int) {
			put := []resource.Resource{fleetContract(7, 7%services, float64(5+i%7))}
			if err := w.apply(t, &resource.Delta{Put: put}); err != nil {
				t.Fatal(err)
			}
			if err := set.Apply(set.NewDelta(resource.Version{Epoch: 1, Number: uint64(i + 1)}, put, nil)); err != nil {
				t.Fatal(err)
			}
		}
		applyOne(0)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range runs {
			applyOne(i + 1)
		}
		runtime.ReadMemStats(&after)
		costs[n] = cost{(after.Mallocs - before.Mallocs) / runs, (after.TotalAlloc - before.TotalAlloc) / runs}
	}
	few, many := costs[340], costs[6800]
	t.Logf("a delta of one contract: %d allocations and %d bytes with 340 contracts, %d and %d with 6,800", few.allocations, few.bytes, many.allocations, many.bytes)
	if many.allocations > few.allocations*3/2 || many.bytes > few.bytes*3/2 {
		t.Error("the cost depends on the number of contracts")
	}
}

// liveHeap returns the bytes of heap that are in use after a collection.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSnapshot measures the start of a node: a snapshot in JSON is decoded and put in force. MB-heap is what is then in use by
// the catalog, the tables and the ledger; MB-heap-used is that after each contract was used once.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		text, err := json.Marshal(&resource.Delta{Put: fleetResources(n)})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var lives, used float64
			took, locked := time.Duration(0), time.Duration(0)
			for b.Loop() {
				before := liveHeap()
				at := time.Now()
				w := newTestState(b, Options{Effects: map[string]string{}})
				var d resource.Delta
				if err := json.Unmarshal(text, &d); err != nil {
					b.Fatal(err)
				}
				if err := w.apply(b, &d); err != nil {
					b.Fatal(err)
				}
				took += time.Since(at)
				locked += w.lockTime
				d = resource.Delta{}
				lives = float64(liveHeap() - before)
				for i := range n {
					w.ledger.Admit(0, i, "read-0", 0.1, false)
				}
				used = float64(liveHeap() - before)
				runtime.KeepAlive(w)
			}
			b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms/start")
			b.ReportMetric(float64(locked.Microseconds())/1e3/float64(b.N), "ms-locked/start")
			b.ReportMetric(lives/1e6, "MB-heap")
			b.ReportMetric(used/1e6, "MB-heap-used")
			b.ReportMetric(float64(len(text))/1e6, "MB-JSON")
		})
	}
}
