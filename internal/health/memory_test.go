package health

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// BenchmarkMemoryPerServer reports the heap that a schedule and a tracker hold for each of 10,000 servers.
func BenchmarkMemoryPerServer(b *testing.B) {
	const servers = 10000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		schedule, tracker := NewSchedule(ProbeSettings{Interval: 2 * sec, MaxPerServer: 1, MaxRate: 100, Nodes: 100, Jitter: 0.1}, rand.Float64), NewTracker(DefaultRules(sec))
		for id := range uint32(servers) {
			schedule.Add(0, id)
			tracker.Add(id)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/servers, "B/server")
		runtime.KeepAlive(schedule)
		runtime.KeepAlive(tracker)
	}
}
