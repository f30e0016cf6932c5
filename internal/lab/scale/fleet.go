package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"portstall/internal/lab/standin"
)

// fleet holds the hollow nodes, the real nodes with their clients, and the discovery and control processes that they
// follow.
type fleet struct {
	run             *run
	plan            *FleetPlan
	discovery       *StubDiscovery
	discoveryRelays []*Relay // from the nodes of a region to discovery, by region
	workers         []*child
	hollowNodes     [][]int // numbers of the nodes of each worker; nil for a worker without nodes
	realNodes       []*realNode
	clients         []*clientStats // one for each real node
	counting        atomic.Bool    // set when clients begin to count their requests

	files         *configFiles // files of the writer; nil: no node follows control
	controls      []*controlProcess
	controlRelays [][]*Relay // from the nodes of a region to each control process, by region
	controlLinks  [][]*Relay // between control processes, by the caller and the called one; nil where both are the same
	changeMu      sync.Mutex // held while the configuration is changed, and while the writer is down
}

const (
	serviceTime       = 20 * time.Millisecond // how long a web server takes for a request
	serverIdleTimeout = 10 * time.Second      // how long a web server keeps an idle connection open
)

// runFleet starts the fleet, measures it while servers and configuration change, and injects the plan's faults in turn.
func (r *run) runFleet(ctx context.Context) error {
	f := &fleet{run: r, plan: r.plan.Fleet}
	r.report.Sped = f.plan.Speed
	ctx, cancel := context.WithCancelCause(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel(nil)
		wg.Wait()
		for _, c := range f.workers {
			r.processes.stop(c)
		}
		for _, n := range f.realNodes {
			r.processes.stop(n.child)
		}
		for _, c := range f.controls {
			r.processes.stop(c.child)
		}
		for _, relay := range append(slices.Concat(append(f.controlRelays, f.controlLinks...)...), f.discoveryRelays...) {
			if relay != nil {
				relay.Stop()
			}
		}
		if f.discovery != nil {
			f.discovery.Stop()
		}
	}()
	if err := f.start(ctx); err != nil {
		return err
	}
	wg.Go(func() { f.churn(ctx) })
	if f.files != nil {
		wg.Go(func() {
			if err := f.reconfigureAtRandom(ctx); err != nil && ctx.Err() == nil {
				cancel(err)
			}
		})
	}
	for i, n := range f.realNodes {
		f.clients = append(f.clients, &clientStats{})
		wg.Go(func() { f.clients[i].runClients(ctx, n.addr, n.role, f.plan.Rate, &f.counting) })
	}
	if err := f.measureCalm(ctx); err != nil {
		return err
	}
	for _, fault := range f.plan.Faults {
		if r.options.Progress != nil {
			fmt.Fprintf(r.options.Progress, "%5.1f s    %s\n", time.Since(r.startedAt).Seconds(), fault.Kind)
		}
		if err := f.runFault(ctx, fault); err != nil {
			return fmt.Errorf("%s: %w", fault.Kind, err)
		}
	}
	return nil
}

// start starts web servers, discovery, control processes and nodes, and waits until all nodes have a change made after
// that.
func (f *fleet) start(ctx context.Context) error {
	r, p := f.run, f.plan
	var addrs []string
	if p.Real > 0 {
		servers, err := r.startWorker("web")
		if err != nil {
			return err
		}
		f.workers, f.hollowNodes = append(f.workers, servers), append(f.hollowNodes, nil)
		reply, err := servers.call(ctx, workerCommand{Do: "web", Count: p.Servers,
			ServerUS: int(serviceTime.Microseconds()), IdleMS: int(serverIdleTimeout.Milliseconds())})
		if err != nil {
			return err
		}
		addrs = reply.Addrs
	}
	f.discovery = NewStubDiscovery(p.Servers, r.plan.Size.Zones, addrs)
	addr, err := f.discovery.Start()
	if err != nil {
		return err
	}
	for range r.plan.Size.Regions {
		relay, err := StartRelay(addr)
		if err != nil {
			return err
		}
		f.discoveryRelays = append(f.discoveryRelays, relay)
	}
	products := make([]string, len(f.discoveryRelays))
	if p.Controls > 0 {
		if f.files, err = r.newConfigFiles(p.Contracts, true); err != nil {
			return err
		}
		var flags []string
		if p.Keep > 0 {
			flags = []string{"--keep", p.Keep.String()}
		}
		for range p.Controls {
			f.controlLinks = append(f.controlLinks, make([]*Relay, 0, p.Controls))
		}
		reach := func(from int, to *controlProcess) (string, error) {
			relay, err := StartRelay(to.addr)
			if err != nil {
				return "", err
			}
			if len(f.controlLinks[from]) == from {
				f.controlLinks[from] = append(f.controlLinks[from], nil) // no link from a process to itself
			}
			f.controlLinks[from] = append(f.controlLinks[from], relay)
			return relay.Addr(), nil
		}
		if f.controls, err = r.startControls(ctx, p.Controls, f.files, reach, flags...); err != nil {
			return err
		}
		for region := range f.discoveryRelays {
			var relays []*Relay
			var addrs []string
			for _, c := range f.controls {
				relay, err := StartRelay(c.addr)
				if err != nil {
					return err
				}
				relays, addrs = append(relays, relay), append(addrs, relay.Addr())
			}
			f.controlRelays = append(f.controlRelays, relays)
			nearest := region % len(addrs) // the control process of the node's own region comes first
			if products[region], err = r.writeControlProductFile("", append(append([]string{}, addrs[nearest:]...),
				addrs[:nearest]...)...); err != nil {
				return err
			}
		}
	}
	source := func(region int) string { return f.discoveryRelays[region].Addr() }
	path, err := r.writeNodeConfig("hollow", "127.0.0.1:1", addr, zoneName(0), f.discovery.FullList(), serverIdleTimeout)
	if err != nil {
		return err
	}
	g, inner := errgroup.WithContext(ctx)
	for i := range p.Processes {
		from, to := i*p.Hollow/p.Processes, (i+1)*p.Hollow/p.Processes
		if from == to {
			continue
		}
		w, err := r.startWorker(fmt.Sprintf("hollow-%d", i), p.gcEnvironment()...)
		if err != nil {
			return err
		}
		var numbers []int
		for k := from; k < to; k++ {
			numbers = append(numbers, k)
		}
		f.workers, f.hollowNodes = append(f.workers, w), append(f.hollowNodes, numbers)
		g.Go(func() error {
			command := r.hollowCommand(from, to-from, source)
			command.Config = path
			for k := from; f.files != nil && k < to; k++ {
				command.Products = append(command.Products, products[r.regionOf(k)])
			}
			_, err := w.call(inner, command)
			return err
		})
	}
	for i := range p.Real {
		mgmt, err := standin.FreeAddr()
		if err != nil {
			return err
		}
		env := []string{"GW_MGMT=" + mgmt}
		if f.files != nil {
			env = append(env, "PORTSTALL_FILE="+products[r.regionOf(i)])
		}
		n, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("real-%d", i), discovery: source(r.regionOf(i)),
			zone:       zoneName(i % r.plan.Size.Zones),
			serverList: f.discovery.FullList(), serverIdle: serverIdleTimeout, env: env})
		if err != nil {
			return err
		}
		n.mgmt = mgmt
		f.realNodes = append(f.realNodes, n)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	// All nodes are ready once they have a change that was made after they were started.
	c, err := f.makeChange(ctx)
	if err != nil {
		return err
	}
	for _, command := range c.queries() {
		if after, err := f.awaitWithin(ctx, fleetStartTimeout, command, time.Now(), nil); err != nil || len(after) < p.Hollow {
			return errors.Join(err, fmt.Errorf("%d of %d hollow nodes are ready", len(after), p.Hollow))
		}
	}
	return nil
}

// takeClientStats returns and resets what the clients counted since its last call.
func (f *fleet) takeClientStats() (requests, served int, added []float64) {
	for _, stats := range f.clients {
		stats.mu.Lock()
		requests, served, added = requests+stats.requests, served+stats.served, append(added, stats.addedSeconds...)
		stats.requests, stats.served, stats.addedSeconds = 0, 0, nil
		stats.mu.Unlock()
	}
	return requests, served, added
}

// fleetStartTimeout is how long all nodes together may take to become ready. It is generous, because 450 nodes that
// start on one machine at once start far slower than a node that starts alone.
const fleetStartTimeout = 3 * time.Minute

// await is awaitWithin with the plan's limit.
func (f *fleet) await(ctx context.Context, command workerCommand, from time.Time,
	wanted func(node int) bool) (delays []float64, err error) {
	return f.awaitWithin(ctx, f.plan.Limit, command, from, wanted)
}

// awaitWithin waits until the wanted nodes (nil: all hollow nodes) have the version that the command asks for. It
// returns, in seconds, how long after the time from each node had it. Nodes that don't have it within the limit are
// missing from the result.
func (f *fleet) awaitWithin(ctx context.Context, limit time.Duration, command workerCommand, from time.Time,
	wanted func(node int) bool) (delays []float64, err error) {
	for {
		delays = delays[:0]
		missing := 0
		for i, w := range f.workers {
			if len(f.hollowNodes[i]) == 0 {
				continue
			}
			reply, err := w.call(ctx, command)
			if err != nil {
				return nil, err
			}
			for k, at := range reply.At {
				switch {
				case wanted != nil && !wanted(f.hollowNodes[i][k]):
				case at == 0:
					missing++
				default:
					delays = append(delays, max(0, time.Unix(0, at).Sub(from).Seconds()))
				}
			}
		}
		if missing == 0 || time.Since(from) > limit {
			return delays, nil
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
}

// activeFault is a fault in progress.
type activeFault struct {
	*fleet
	Fault
	startedAt            time.Time
	discoveryBytesBefore int64  // bytes exchanged with discovery before the fault
	controlBytesBefore   int64  // bytes exchanged with control before the fault
	shortened            string // durations here and in production, if the run shortens the fault
}
