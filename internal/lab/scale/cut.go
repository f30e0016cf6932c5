package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"portstall/internal/node"
	"portstall/internal/resource"
)

// cutRegions cuts or restores the network between two regions, both between control processes and between nodes and
// control processes.
func (f *fleet) cutRegions(a, b int, on bool) {
	home := func(control int) int { return control % len(f.discoveryRelays) }
	for i := range f.controls {
		for _, direction := range [][2]int{{a, b}, {b, a}} {
			if home(i) != direction[1] {
				continue
			}
			f.controlRelays[direction[0]][i].Cut(on)
			for k := range f.controls {
				if home(k) == direction[0] {
					f.controlLinks[k][i].Cut(on)
				}
			}
		}
	}
}

// versionReporter is a control process or a real node that reports which version of the configuration it has.
type versionReporter struct {
	name     string
	isolated bool // it is in the region that is cut off
	version  func() (resource.Version, error)
	history  versionHistory
}

// versionReporters returns all control processes and real nodes. cut is the region that is cut off.
func (f *fleet) versionReporters(cut int) (all []*versionReporter) {
	for i, c := range f.controls {
		all = append(all, &versionReporter{name: c.role, isolated: i%len(f.discoveryRelays) == cut,
			version: func() (resource.Version, error) {
				s, err := c.status()
				return s.Version, err
			}})
	}
	for i, n := range f.realNodes {
		all = append(all, &versionReporter{name: n.role, isolated: f.run.regionOf(i) == cut,
			version: func() (resource.Version, error) {
				c, err := n.configuration()
				if err != nil {
					return resource.Version{}, err
				}
				return resource.ParseVersion(c.Version)
			}})
	}
	return all
}

// configuration asks a node for the state of its configuration.
func (n *realNode) configuration() (c node.Configuration, err error) {
	resp, err := operatorClient.Get("http://" + n.mgmt + "/-/configuration")
	if err != nil {
		return c, err
	}
	defer resp.Body.Close()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}

// versionPollInterval is the resolution of the times at which control processes and real nodes are known to have a
// version.
const versionPollInterval = 100 * time.Millisecond

// pollVersions polls the reporters until ctx ends and records their versions. The histories may be read while mu is
// held, or after it has returned.
func pollVersions(ctx context.Context, mu *sync.Mutex, all []*versionReporter) {
	var wg sync.WaitGroup
	for _, reporter := range all {
		wg.Go(func() {
			for pause(ctx, versionPollInterval) == nil {
				if v, err := reporter.version(); err == nil {
					mu.Lock()
					reporter.history.record(v, time.Now())
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
}

// transferCounts counts transfers of the configuration so far: full snapshots sent by all control processes together,
// and the full snapshots and deltas that the control process and the real nodes of the region that is cut off received.
type transferCounts struct{ controlSnapshots, regionSnapshots, regionDeltas, nodeSnapshots, nodeDeltas int64 }

// readTransferCounts asks the control processes, and the real nodes of the region that is cut off, for their counts.
func (f *fleet) readTransferCounts(cut int) (sum transferCounts, err error) {
	for i, c := range f.controls {
		s, err := c.status()
		if err != nil {
			return sum, err
		}
		sum.controlSnapshots += int64(s.Snapshots)
		if i == cut && s.Follows != nil {
			sum.regionSnapshots, sum.regionDeltas = s.Follows.Snapshots, s.Follows.Deltas
		}
	}
	for i, n := range f.realNodes {
		if f.run.regionOf(i) != cut {
			continue
		}
		c, err := n.configuration()
		if err != nil {
			return sum, err
		}
		sum.nodeSnapshots, sum.nodeDeltas = sum.nodeSnapshots+c.Calls.Snapshots, sum.nodeDeltas+c.Calls.Deltas
	}
	return sum, nil
}

// regressions returns how often any hollow node changed to an older configuration than it had before.
func (f *fleet) regressions(ctx context.Context) (times float64, err error) {
	for i, w := range f.workers {
		if f.hollowNodes[i] == nil {
			continue
		}
		reply, err := w.call(ctx, workerCommand{Do: "back"})
		if err != nil {
			return 0, err
		}
		times += reply.Figures["back"]
	}
	return times, nil
}

// checkIsolated fails the run if an isolated node has a configuration change that was made on the other side of the
// cut.
func (e *activeFault) checkIsolated(ctx context.Context, name string, c trackedChange, inside func(index int) bool) error {
	leaked, err := e.awaitWithin(ctx, 0, c.queries()[1], time.Time{}, inside)
	if err != nil || len(leaked) == 0 {
		return err
	}
	e.run.mu.Lock()
	defer e.run.mu.Unlock()
	e.run.report.addFailure("%s: %d of its nodes have a change that was made on the other side", name, len(leaked))
	return nil
}

// reconfigureUntilEnd makes configuration changes at the fault's rate until the fault's time is over.
func (e *activeFault) reconfigureUntilEnd(ctx context.Context) error {
	startedAt := time.Now()
	for k := 1; e.Rate > 0; k++ {
		at := startedAt.Add(time.Duration(float64(k) / e.Rate * float64(time.Second)))
		if at.After(e.startedAt.Add(e.For)) {
			break
		}
		if err := pause(ctx, time.Until(at)); err != nil {
			return err
		}
		if _, _, err := e.reconfigure(); err != nil {
			return err
		}
	}
	return e.waitForShare(ctx, 1)
}

// controlsCut cuts the last region from the writer's, or from all others, while the configuration changes: in the first
// half at the fleet's speed, in the second half faster. One change is followed during the cut. The last change before
// the network is restored is followed from that moment on, at hollow nodes, real nodes and control processes.
func (e *activeFault) controlsCut(ctx context.Context) error {
	r, cut, alone := e.run, len(e.discoveryRelays)-1, e.Kind == "region_alone"
	name := "two regions cut from each other"
	others := []int{0}
	if alone {
		name, others = "a region cut from all others", nil
		for region := range cut {
			others = append(others, region)
		}
	}
	inside := func(i int) bool { return r.regionOf(i) == cut }
	var mu sync.Mutex
	reporters := e.versionReporters(cut)
	pollCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { pollVersions(pollCtx, &mu, reporters) })
	defer wg.Wait()
	defer stop()
	before, err := e.readTransferCounts(cut)
	if err != nil {
		return err
	}
	setCut := func(on bool) {
		for _, region := range others {
			e.cutRegions(cut, region, on)
		}
	}
	turns := e.changeCount()
	setCut(true)
	defer setCut(false)
	if err := e.waitForShare(ctx, 0.5); err != nil {
		return err
	}
	firstHalf := e.changeCount() - turns
	if err := e.reconfigureUntilEnd(ctx); err != nil {
		return err
	}
	c, err := e.makeChange(ctx)
	if err != nil {
		return err
	}
	faultName := name + ": all, amid it" // they are reached through the third region
	reached := func(int) bool { return true }
	if alone {
		faultName, reached = name+": the others, amid it", func(i int) bool { return !inside(i) }
	}
	if err := e.followChange(ctx, faultName, c, time.Time{}, reached); err != nil {
		return err
	}
	if c, err = e.makeChange(ctx); err != nil {
		return err
	}
	if alone { // nothing may get into a region that is cut from all others
		if err := e.checkIsolated(ctx, name, c, inside); err != nil {
			return err
		}
	}
	made, lasted := e.changeCount()-turns, time.Since(e.startedAt)
	setCut(false)
	restoredAt := time.Now()
	if err := e.followChange(ctx, name+": its nodes, from the heal", c, restoredAt, inside); err != nil {
		return err
	}
	var delays []float64
	for end := restoredAt.Add(e.plan.Limit); ; {
		delays = delays[:0]
		mu.Lock()
		for _, reporter := range reporters {
			if at := reporter.history.firstSeen(c.configVersion); !at.IsZero() {
				delays = append(delays, max(0, at.Sub(restoredAt).Seconds()))
			}
		}
		mu.Unlock()
		if len(delays) == len(reporters) || time.Now().After(end) {
			break
		}
		if err := pause(ctx, versionPollInterval); err != nil {
			return err
		}
	}
	e.addFaultRow(name+": control processes and real nodes, from the heal", "configuration", delays, len(reporters))
	transferred, err := e.readTransferCounts(cut)
	if err != nil {
		return err
	}
	regressions, err := e.regressions(ctx)
	if err != nil {
		return err
	}
	stop()
	wg.Wait()
	for _, reporter := range reporters {
		regressions += float64(reporter.history.regressions)
	}
	note := fmt.Sprintf("%s for %.0f s, %d contracts, %d hollow and %d real nodes", name, lasted.Seconds(),
		e.plan.Contracts, e.plan.Hollow, len(e.realNodes))
	row := func(id, role, figure, suffix string, at float64) {
		r.addRows(Row{ID: e.Kind + "." + id, Role: role, Figure: name + ": " + figure, Origin: Measured, At: at,
			Note: note + suffix})
	}
	row("lasted", "control", "duration in seconds", "", lasted.Seconds())
	row("changes", "control", "configuration changes during the cut", fmt.Sprintf("; %d in its first half",
		firstHalf), float64(made))
	row("slow", "control", "configuration changes in its first half", "", float64(firstHalf))
	row("wholes", "control", "full snapshots sent by all control processes", "",
		float64(transferred.controlSnapshots-before.controlSnapshots))
	row("followed", "control", "full snapshots received by the region's control process", "",
		float64(transferred.regionSnapshots-before.regionSnapshots))
	row("deltas", "control", "deltas applied by the region's control process", "",
		float64(transferred.regionDeltas-before.regionDeltas))
	row("nodes", "node", "full snapshots applied by the region's real nodes", "",
		float64(transferred.nodeSnapshots-before.nodeSnapshots))
	row("nodes.deltas", "node", "deltas applied by the region's real nodes", "",
		float64(transferred.nodeDeltas-before.nodeDeltas))
	row("back", "node", "changes to an older version, at any process", "", regressions)
	return nil
}
