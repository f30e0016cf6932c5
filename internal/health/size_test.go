package health

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// BenchmarkMemory tells what the checker holds for each of 10,000 servers.
func BenchmarkMemory(b *testing.B) {
	const n = 10000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, book := NewSchedule(Pace{Interval: 2 * sec, PerServer: 1, Rate: 100, Nodes: 100, Jitter: 0.1}, rand.Float64), NewBook(Usual(sec))
		for id := range uint32(n) {
			s.Add(0, id)
			book.Add(id)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/server")
		runtime.KeepAlive(s)
		runtime.KeepAlive(book)
	}
}
