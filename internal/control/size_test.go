package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"portstall/internal/control/follow"
	"portstall/internal/resource"
)

// writeFleetFiles writes a configuration with a number of contracts into a number of files of a folder: 17,000 contracts
// with 3,800 routes and 250 services, or fewer in the same proportion.
func writeFleetFiles(t testing.TB, contracts, files int) string {
	t.Helper()
	dir := t.TempDir()
	services, routes := contracts*250/17000, contracts*3800/17000
	for f := range files {
		writeFile(t, filepath.Join(dir, fmt.Sprintf("%04d.yaml", f)), fleetFileText(f, files, contracts, services, routes, 5))
	}
	return dir
}

// fleetFileText returns the text of file f, from 0 to files-1, with its share of the resources.
func fleetFileText(f, files, contracts, services, routes int, rate float64) string {
	var b strings.Builder
	share := func(n int) (from, to int) { return n * f / files, n * (f + 1) / files }
	if from, to := share(services); from < to {
		b.WriteString("services:\n")
		for i := from; i < to; i++ {
			fmt.Fprintf(&b, "  - name: service-%d\n    classes: [{name: read-%d}, {name: write-%d, effect: keyed}, {name: list-%d}, {name: pay-%d, effect: unsafe}]\n", i, i, i, i, i)
		}
	}
	if from, to := share(contracts); from < to {
		b.WriteString("contracts:\n")
		for i := from; i < to; i++ {
			s := i % services
			fmt.Fprintf(&b, "  - name: tenant-%d\n    match: [{tenant: tenant-%d}]\n    services: [service-%d]\n    rate: %v\n    burst: 10\n    in_flight: 20\n"+
				"    attempts: {ratio: 0.2}\n    retries: [read-%d, list-%d]\n    work: {limit: 3}\n", i, i, s, rate, s, s)
		}
	}
	if from, to := share(routes); from < to {
		b.WriteString("tunnels:\n  routes:\n")
		for i := from; i < to; i++ {
			fmt.Fprintf(&b, "    - {host: host-%d.services.example.org, port: 443, service: service-%d}\n", i, i%services)
		}
	}
	return b.String()
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// One change ends the watches of 450 followers, on a connection each, and reaches all; none needs a second snapshot.
// The log reports the cost of control and the 450 followers together, since they run in one process here.
func TestOneChangeReachesAllWatches(t *testing.T) {
	const nodes = 450
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText(numberedNames("c", 500)...)})})
	p.waitForVersion(t, resource.Version{})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	applied := make(chan *resource.Delta, 10*nodes)
	var status [nodes]follow.Status
	for i := range nodes {
		group.Go(func() {
			set := resource.NewSet(false)
			follow.Run(ctx, follow.Options{Name: fmt.Sprint("n", i), Role: "node", Sources: []string{p.addr}, Set: set, Status: &status[i], Apply: func(d *resource.Delta) error {
				defer func() { applied <- d }()
				return set.Apply(d)
			}})
		})
	}
	all := func(from resource.Version) {
		t.Helper()
		for range nodes {
			select {
			case d := <-applied:
				if d.From != from {
					t.Fatalf("a node received a delta from %v to %v, want from %v", d.From, d.To, from)
				}
			case <-time.After(testTimeout):
				t.Fatal("a node did not receive the change in time")
			}
		}
	}
	all(resource.Version{})
	for range nodes {
		p.waitForHeldCall(t)
	}
	v := p.waitForVersion(t, resource.Version{})
	in, out, used, at := p.counters.bytesIn.Load(), p.counters.bytesOut.Load(), processCPUTime(), time.Now()
	p.editAndReload(t, "b.yaml", contractText("new"))
	all(v)
	took, used := time.Since(at), processCPUTime()-used
	for range nodes {
		p.waitForHeldCall(t)
	}
	t.Logf("a change was at %d followers after %v; it took %v of CPU time of them and control together; control read %d bytes and wrote %d for each follower, with the next call",
		nodes, took, used, (p.counters.bytesIn.Load()-in)/nodes, (p.counters.bytesOut.Load()-out)/nodes)
	cancel()
	group.Wait()
	for i := range nodes {
		if f := status[i].Read(); f.Snapshots != 1 || f.Deltas != 1 {
			t.Fatalf("a follower received other than one snapshot and one delta: %+v", f)
		}
	}
}

// rawWatchers hold calls on raw connections without decoding the responses, so that the measured cost is that of
// control.
type rawWatchers struct {
	t           testing.TB
	connections []net.Conn
	process     *testProcess
}

func (watchers *rawWatchers) call(v resource.Version, sum resource.Checksum) {
	s, _ := sum.MarshalText()
	for i, c := range watchers.connections {
		fmt.Fprintf(c, "GET /v1/resources?name=n%d&role=node&since=%v&sum=%s&timeout_ms=60000 HTTP/1.1\r\nHost: x\r\nAccept-Encoding: gzip\r\n\r\n", i, v, s)
	}
	for range watchers.connections {
		watchers.process.waitForHeldCall(watchers.t)
	}
}

// BenchmarkChange measures a change that 450 held watches receive, with their next calls and the reload of one file of
// 200; at 17,000 contracts, 3,800 routes and 250 services a file has 85 contracts. The callers, in this process too,
// only write calls and read bytes.
func BenchmarkChange(b *testing.B) {
	const nodes = 450
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := writeFleetFiles(b, n, 200)
			p := startProcess(b, "", ServeOptions{Files: dir})
			p.waitForVersion(b, resource.Version{})
			watchers := &rawWatchers{t: b, process: p}
			for range nodes {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				watchers.connections = append(watchers.connections, c)
			}
			buf := make([]byte, 64<<10)
			version := func() (resource.Version, resource.Checksum) {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.store.Set().Version(), p.store.Set().Checksum()
			}
			watchers.call(version())
			out, used, reads, i := p.counters.bytesOut.Load(), processCPUTime(), p.writer.loader.FilesRead(), 0
			b.ResetTimer()
			for b.Loop() {
				i++
				writeFile(b, filepath.Join(dir, "0007.yaml"), fleetFileText(7, 200, n, n*250/17000, n*3800/17000, float64(5+i%7)))
				if _, err := p.reloadFiles(); err != nil {
					b.Fatal(err)
				}
				for _, c := range watchers.connections {
					if _, err := io.ReadAtLeast(c, buf, 1); err != nil {
						b.Fatal(err)
					}
				}
				watchers.call(version())
			}
			b.StopTimer()
			b.ReportMetric(float64((processCPUTime()-used).Microseconds())/1000/float64(i), "cpu-ms/op")
			b.ReportMetric(float64(p.counters.bytesOut.Load()-out)/float64(i)/nodes, "B/watch")
			b.ReportMetric(float64(p.writer.loader.FilesRead()-reads)/float64(i), "files/op")
			p.stop()
		})
	}
}

// BenchmarkRead measures the first load of a folder, with the live heap after it, and a load where one file has changed.
func BenchmarkRead(b *testing.B) {
	for _, files := range []int{1, 200} {
		dir := writeFleetFiles(b, 17000, files)
		b.Run(fmt.Sprint("start/", files), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := newWriter(dir).loadInitial(); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			before := liveHeap()
			w := newWriter(dir)
			if err := w.loadInitial(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(liveHeap()-before)/(1<<20), "heap-MB")
			runtime.KeepAlive(w)
		})
		b.Run(fmt.Sprint("one file of/", files), func(b *testing.B) {
			s := NewLoader(dir)
			if _, err := s.Load(); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				writeFile(b, filepath.Join(dir, "0000.yaml"), fleetFileText(0, files, 17000, 250, 3800, float64(5+i%7)))
				if _, err := s.Load(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// liveHeap returns the bytes of the heap that are in use after a garbage collection.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSnapshotText measures the encoding of a snapshot of 17,000 contracts, plain and compressed.
func BenchmarkSnapshotText(b *testing.B) {
	w := newWriter(writeFleetFiles(b, 17000, 200))
	if err := w.loadInitial(); err != nil {
		b.Fatal(err)
	}
	store := NewVersionStore(Limits{})
	if _, err := store.BeginEpoch(startTime, nil, w.loader.All()); err != nil {
		b.Fatal(err)
	}
	d := store.Set().Snapshot()
	for _, zip := range []bool{false, true} {
		b.Run(fmt.Sprint("zip/", zip), func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				text, _, err := newResponseCache().body(d, zip)
				if err != nil {
					b.Fatal(err)
				}
				n = len(text)
			}
			b.ReportMetric(float64(n), "B")
		})
	}
}
