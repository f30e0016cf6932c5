package scale

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// measureCalm measures the fleet without faults, while servers and configuration change as on an ordinary day, but
// faster.
func (f *fleet) measureCalm(ctx context.Context) error {
	hollowCPU := func() (sum time.Duration) {
		for i, c := range f.workers {
			if f.hollowNodes[i] != nil {
				sum += cpuTime(c.cmd.Process.Pid)
			}
		}
		return sum
	}
	calls, bytes := f.discovery.Totals()
	version, startedAt, cpuBefore := f.discovery.Version(), time.Now(), hollowCPU()
	controlBytes, changesBefore := f.controlBytesSent(), f.changeCount()
	var controlCPU []time.Duration
	for _, c := range f.controls {
		controlCPU = append(controlCPU, cpuTime(c.cmd.Process.Pid))
	}
	f.counting.Store(true)
	if err := pause(ctx, f.plan.Calm); err != nil {
		return err
	}
	elapsed := time.Since(startedAt).Seconds()
	nowCalls, nowBytes := f.discovery.Totals()
	nodes := float64(f.plan.Hollow + len(f.realNodes))
	changes := float64(f.discovery.Version()-version) / elapsed
	note := fmt.Sprintf("%d nodes, %d servers, %.1f changes per second", f.plan.Hollow+len(f.realNodes),
		f.plan.Servers, changes)
	f.run.addRows(Row{ID: "fleet.calls", Role: "discovery", Figure: "calls per second and node, accelerated churn",
		Unit: "", Origin: Measured, At: float64(nowCalls-calls) / elapsed / nodes, Note: note},
		Row{ID: "fleet.bytes", Role: "discovery", Figure: "bytes per second and node, accelerated churn", Unit: "B",
			Origin: Measured, At: float64(nowBytes-bytes) / elapsed / nodes, Note: note})
	if f.files != nil {
		note := fmt.Sprintf("%d nodes, %d control processes, %d contracts, %.1f changes per second", int(nodes),
			len(f.controls), f.plan.Contracts, float64(f.changeCount()-changesBefore)/elapsed)
		busiest, rss := time.Duration(0), int64(0)
		for i, c := range f.controls {
			busiest, rss = max(busiest, cpuTime(c.cmd.Process.Pid)-controlCPU[i]),
				max(rss, residentBytes(c.cmd.Process.Pid))
		}
		f.run.addRows(Row{ID: "fleet.conf.bytes", Role: "node",
			Figure: "bytes per second for its configuration, accelerated changes", Unit: "B", Origin: Measured,
			At: float64(f.controlBytesSent()-controlBytes) / elapsed / nodes, Note: note},
			Row{ID: "fleet.control.cpu", Role: "control",
				Figure: "CPU time per second of the busiest process, accelerated changes", Unit: "s",
				Origin: Measured, At: busiest.Seconds() / elapsed, Note: note},
			Row{ID: "fleet.control.rss", Role: "control", Figure: "resident memory of the largest process", Unit: "B",
				Origin: Measured, At: float64(rss), Note: note})
	}
	if f.plan.Hollow > 0 {
		f.run.addRows(Row{ID: "fleet.cpu", Role: "hollow node", Figure: "CPU time per second, accelerated churn",
			Unit: "s", Origin: Measured,
			At: (hollowCPU() - cpuBefore).Seconds() / elapsed / float64(f.plan.Hollow), Note: note})
	}
	if len(f.realNodes) > 0 {
		asked, served, added := f.takeClientStats()
		if served == 0 {
			return fmt.Errorf("none of %d requests was served before the first fault", asked)
		}
		f.run.addRows(Row{ID: "fleet.served", Role: "node", Figure: "share of requests not served, accelerated churn",
			Unit: "", Origin: Measured, At: 1 - float64(served)/float64(asked), Note: fmt.Sprintf("of %d", asked)},
			Row{ID: "fleet.p99", Role: "node", Figure: "latency added to a request, accelerated churn, p99",
				Unit: "s", Origin: Measured, At: quantile(added, 0.99), Note: note})
	}
	return nil
}

// controlBytesSent returns how many bytes nodes and control processes have exchanged.
func (f *fleet) controlBytesSent() (sum int64) {
	for _, relay := range slices.Concat(f.controlRelays...) {
		sum += relay.Bytes()
	}
	return sum
}

// changeCount returns how many configuration changes have been made.
func (f *fleet) changeCount() int {
	if f.files == nil {
		return 0
	}
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	return f.files.changeCount
}
