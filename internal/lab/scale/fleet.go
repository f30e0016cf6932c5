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

// fleet is hollow nodes, real ones with clients, and what they follow.
type fleet struct {
	run             *run
	plan            *FleetPlan
	discovery       *StubDiscovery
	discoveryRelays []*Relay // by region
	workers         []*child
	hollowNodes     [][]int // of each worker, its nodes' numbers
	realNodes       []*realNode
	clients         []*clientStats
	counting        atomic.Bool

	files         *configFiles // nil: no control is followed
	controls      []*controlProcess
	controlRelays [][]*Relay // to them, by region
	controlLinks  [][]*Relay // between them: by who asks and who is asked; nil where both are one
	changeMu      sync.Mutex // held by who changes the configuration, or lets the writer be away
}

const (
	serviceTime       = 20 * time.Millisecond // what a server takes over a request
	serverIdleTimeout = 10 * time.Second      // how long it lets a connection rest
)

// fleet lets a fleet follow churn, and go through the plan's faults.
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
		for _, l := range append(slices.Concat(append(f.controlRelays, f.controlLinks...)...), f.discoveryRelays...) {
			if l != nil {
				l.Stop()
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
	for _, x := range f.plan.Faults {
		if r.options.Tell != nil {
			fmt.Fprintf(r.options.Tell, "%5.1f s    %s\n", time.Since(r.startedAt).Seconds(), x.Kind)
		}
		if err := f.runFault(ctx, x); err != nil {
			return fmt.Errorf("%s: %w", x.Kind, err)
		}
	}
	return nil
}

// start brings all of it up.
func (f *fleet) start(ctx context.Context) error {
	r, p := f.run, f.plan
	var addrs []string
	if p.Real > 0 {
		web, err := r.startWorker("web")
		if err != nil {
			return err
		}
		f.workers, f.hollowNodes = append(f.workers, web), append(f.hollowNodes, nil)
		got, err := web.call(ctx, workerCommand{Do: "web", Count: p.Servers, ServerUS: int(serviceTime.Microseconds()), IdleMS: int(serverIdleTimeout.Milliseconds())})
		if err != nil {
			return err
		}
		addrs = got.Addrs
	}
	f.discovery = NewStubDiscovery(p.Servers, r.plan.Size.Zones, addrs)
	addr, err := f.discovery.Start()
	if err != nil {
		return err
	}
	for range r.plan.Size.Regions {
		l, err := StartRelay(addr)
		if err != nil {
			return err
		}
		f.discoveryRelays = append(f.discoveryRelays, l)
	}
	products := make([]string, len(f.discoveryRelays))
	if p.Controls > 0 {
		if f.files, err = r.newConfigFiles(p.Contracts, true); err != nil {
			return err
		}
		var keep []string
		if p.Keep > 0 {
			keep = []string{"--keep", p.Keep.String()}
		}
		for range p.Controls {
			f.controlLinks = append(f.controlLinks, make([]*Relay, 0, p.Controls))
		}
		via := func(from int, to *controlProcess) (string, error) {
			l, err := StartRelay(to.addr)
			if err != nil {
				return "", err
			}
			if len(f.controlLinks[from]) == from {
				f.controlLinks[from] = append(f.controlLinks[from], nil) // itself
			}
			f.controlLinks[from] = append(f.controlLinks[from], l)
			return l.Addr(), nil
		}
		if f.controls, err = r.startControls(ctx, p.Controls, f.files, via, keep...); err != nil {
			return err
		}
		for region := range f.discoveryRelays {
			var ways []*Relay
			var addrs []string
			for _, c := range f.controls {
				l, err := StartRelay(c.addr)
				if err != nil {
					return err
				}
				ways, addrs = append(ways, l), append(addrs, l.Addr())
			}
			f.controlRelays = append(f.controlRelays, ways)
			own := region % len(addrs) // its own control process is the nearest
			if products[region], err = r.writeControlProductFile("", append(append([]string{}, addrs[own:]...), addrs[:own]...)...); err != nil {
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
		var which []int
		for k := from; k < to; k++ {
			which = append(which, k)
		}
		f.workers, f.hollowNodes = append(f.workers, w), append(f.hollowNodes, which)
		g.Go(func() error {
			o := r.hollowCommand(from, to-from, source)
			o.Config = path
			for k := from; f.files != nil && k < to; k++ {
				o.Products = append(o.Products, products[r.regionOf(k)])
			}
			_, err := w.call(inner, o)
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
		n, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("real-%d", i), discovery: source(r.regionOf(i)), zone: zoneName(i % r.plan.Size.Zones),
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
	// All are up once they have a change that was made then.
	c, err := f.makeChange(ctx)
	if err != nil {
		return err
	}
	for _, o := range c.queries() {
		if after, err := f.awaitWithin(ctx, fleetStartTimeout, o, time.Now(), nil); err != nil || len(after) < p.Hollow {
			return errors.Join(err, fmt.Errorf("%d of %d hollow nodes are up", len(after), p.Hollow))
		}
	}
	return nil
}

// harvest is what the clients met since it was last asked.
func (f *fleet) takeClientStats() (asked, served int, added []float64) {
	for _, t := range f.clients {
		t.mu.Lock()
		asked, served, added = asked+t.requests, served+t.served, append(added, t.addedSeconds...)
		t.requests, t.served, t.addedSeconds = 0, 0, nil
		t.mu.Unlock()
	}
	return asked, served, added
}

// startMost is how long all nodes may take to come up: a machine that starts 450 at once is no measure of one that starts one.
const fleetStartTimeout = 3 * time.Minute

// follow is within the plan's limit.
func (f *fleet) await(ctx context.Context, o workerCommand, from time.Time, wanted func(node int) bool) (after []float64, err error) {
	return f.awaitWithin(ctx, f.plan.Limit, o, from, wanted)
}

// within waits until nodes (nil: all hollow ones) have the version that is asked for, and tells how long after a time each had it. Those that don't have
// it within the limit are missing.
func (f *fleet) awaitWithin(ctx context.Context, limit time.Duration, o workerCommand, from time.Time, wanted func(node int) bool) (after []float64, err error) {
	for {
		after = after[:0]
		missing := 0
		for i, w := range f.workers {
			if len(f.hollowNodes[i]) == 0 {
				continue
			}
			got, err := w.call(ctx, o)
			if err != nil {
				return nil, err
			}
			for k, at := range got.At {
				switch {
				case wanted != nil && !wanted(f.hollowNodes[i][k]):
				case at == 0:
					missing++
				default:
					after = append(after, max(0, time.Unix(0, at).Sub(from).Seconds()))
				}
			}
		}
		if missing == 0 || time.Since(from) > limit {
			return after, nil
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
}

// event is a fault that is under way.
type activeFault struct {
	*fleet
	Fault
	startedAt            time.Time
	discoveryBytesBefore int64 // from discovery until then,
	controlBytesBefore   int64 // and from control
	shortened            string
}
