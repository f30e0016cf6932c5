package scale

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// calm measures an ordinary day, sped up.
func (f *fleet) measureCalm(ctx context.Context) error {
	cpu := func() (sum time.Duration) {
		for i, c := range f.workers {
			if f.hollowNodes[i] != nil {
				sum += cpuTime(c.cmd.Process.Pid)
			}
		}
		return sum
	}
	calls, bytes := f.discovery.Totals()
	version, begun, before := f.discovery.Version(), time.Now(), cpu()
	told, turns := f.controlBytesSent(), f.changeCount()
	var controlled []time.Duration
	for _, c := range f.controls {
		controlled = append(controlled, cpuTime(c.cmd.Process.Pid))
	}
	f.counting.Store(true)
	if err := pause(ctx, f.plan.Calm); err != nil {
		return err
	}
	took := time.Since(begun).Seconds()
	nowCalls, nowBytes := f.discovery.Totals()
	nodes := float64(f.plan.Hollow + len(f.realNodes))
	changes := float64(f.discovery.Version()-version) / took
	note := fmt.Sprintf("%d nodes, %d servers, %.1f changes a second", f.plan.Hollow+len(f.realNodes), f.plan.Servers, changes)
	f.run.addRows(Row{ID: "fleet.calls", Role: "discovery", Figure: "calls a second of a node, churn sped up", Unit: "", Origin: Measured, At: float64(nowCalls-calls) / took / nodes, Note: note},
		Row{ID: "fleet.bytes", Role: "discovery", Figure: "bytes a second of a node, churn sped up", Unit: "B", Origin: Measured, At: float64(nowBytes-bytes) / took / nodes, Note: note})
	if f.files != nil {
		note := fmt.Sprintf("%d nodes, %d control processes, %d contracts, %.1f changes a second", int(nodes), len(f.controls), f.plan.Contracts, float64(f.changeCount()-turns)/took)
		most, rss := time.Duration(0), int64(0)
		for i, c := range f.controls {
			most, rss = max(most, cpuTime(c.cmd.Process.Pid)-controlled[i]), max(rss, residentBytes(c.cmd.Process.Pid))
		}
		f.run.addRows(Row{ID: "fleet.conf.bytes", Role: "node", Figure: "bytes a second for its configuration, changes sped up", Unit: "B", Origin: Measured, At: float64(f.controlBytesSent()-told) / took / nodes, Note: note},
			Row{ID: "fleet.control.cpu", Role: "control", Figure: "processor time a second of the busiest, changes sped up", Unit: "s", Origin: Measured, At: most.Seconds() / took, Note: note},
			Row{ID: "fleet.control.rss", Role: "control", Figure: "resident, of the largest", Unit: "B", Origin: Measured, At: float64(rss), Note: note})
	}
	if f.plan.Hollow > 0 {
		f.run.addRows(Row{ID: "fleet.cpu", Role: "hollow node", Figure: "processor time a second, churn sped up", Unit: "s", Origin: Measured,
			At: (cpu() - before).Seconds() / took / float64(f.plan.Hollow), Note: note})
	}
	if len(f.realNodes) > 0 {
		asked, served, added := f.takeClientStats()
		if served == 0 {
			return fmt.Errorf("none of %d requests was served on an ordinary day", asked)
		}
		f.run.addRows(Row{ID: "fleet.served", Role: "node", Figure: "requests not served, churn sped up", Unit: "", Origin: Measured, At: 1 - float64(served)/float64(asked), Note: fmt.Sprintf("of %d", asked)},
			Row{ID: "fleet.p99", Role: "node", Figure: "added to a request amid churn, p99", Unit: "s", Origin: Measured, At: quantile(added, 0.99), Note: note})
	}
	return nil
}

// told is how many bytes went between nodes and control processes.
func (f *fleet) controlBytesSent() (sum int64) {
	for _, l := range slices.Concat(f.controlRelays...) {
		sum += l.Bytes()
	}
	return sum
}

// turns is how many changes of the configuration there were.
func (f *fleet) changeCount() int {
	if f.files == nil {
		return 0
	}
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	return f.files.changeCount
}
