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
	run     *run
	plan    *Fleet
	roster  *Roster
	relays  []*Relay // by region
	workers []*child
	nodes   [][]int // of each worker, its nodes' numbers
	real    []*realNode
	took    []*took
	counts  atomic.Bool

	files    *folder // nil: no control is followed
	controls []*controller
	ways     [][]*Relay // to them, by region
	links    [][]*Relay // between them: by who asks and who is asked; nil where both are one
	writing  sync.Mutex // held by who changes the configuration, or lets the writer be away
}

const (
	webTime = 20 * time.Millisecond // what a server takes over a request
	webIdle = 10 * time.Second      // how long it lets a connection rest
)

// fleet lets a fleet follow churn, and go through the plan's faults.
func (r *run) fleet(ctx context.Context) error {
	f := &fleet{run: r, plan: r.plan.Fleet}
	r.report.Sped = f.plan.Speed
	ctx, cancel := context.WithCancelCause(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel(nil)
		wg.Wait()
		for _, c := range f.workers {
			r.herd.end(c)
		}
		for _, n := range f.real {
			r.herd.end(n.child)
		}
		for _, c := range f.controls {
			r.herd.end(c.child)
		}
		for _, l := range append(slices.Concat(append(f.ways, f.links...)...), f.relays...) {
			if l != nil {
				l.Stop()
			}
		}
		if f.roster != nil {
			f.roster.Stop()
		}
	}()
	if err := f.start(ctx); err != nil {
		return err
	}
	wg.Go(func() { f.churn(ctx) })
	if f.files != nil {
		wg.Go(func() {
			if err := f.configure(ctx); err != nil && ctx.Err() == nil {
				cancel(err)
			}
		})
	}
	for i, n := range f.real {
		f.took = append(f.took, &took{})
		wg.Go(func() { f.took[i].clients(ctx, n.addr, n.role, f.plan.Rate, &f.counts) })
	}
	if err := f.calm(ctx); err != nil {
		return err
	}
	for _, x := range f.plan.Faults {
		if r.opt.Tell != nil {
			fmt.Fprintf(r.opt.Tell, "%5.1f s    %s\n", time.Since(r.begun).Seconds(), x.Kind)
		}
		if err := f.fault(ctx, x); err != nil {
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
		web, err := r.worker("web")
		if err != nil {
			return err
		}
		f.workers, f.nodes = append(f.workers, web), append(f.nodes, nil)
		got, err := web.call(ctx, order{Do: "web", Count: p.Servers, ServerUS: int(webTime.Microseconds()), IdleMS: int(webIdle.Milliseconds())})
		if err != nil {
			return err
		}
		addrs = got.Addrs
	}
	f.roster = NewRoster(p.Servers, r.plan.Size.Zones, addrs)
	addr, err := f.roster.Start()
	if err != nil {
		return err
	}
	for range r.plan.Size.Regions {
		l, err := StartRelay(addr)
		if err != nil {
			return err
		}
		f.relays = append(f.relays, l)
	}
	products := make([]string, len(f.relays))
	if p.Controls > 0 {
		if f.files, err = r.folder(p.Contracts, true); err != nil {
			return err
		}
		var keep []string
		if p.Keep > 0 {
			keep = []string{"--keep", p.Keep.String()}
		}
		for range p.Controls {
			f.links = append(f.links, make([]*Relay, 0, p.Controls))
		}
		via := func(from int, to *controller) (string, error) {
			l, err := StartRelay(to.addr)
			if err != nil {
				return "", err
			}
			if len(f.links[from]) == from {
				f.links[from] = append(f.links[from], nil) // itself
			}
			f.links[from] = append(f.links[from], l)
			return l.Addr(), nil
		}
		if f.controls, err = r.controls(ctx, p.Controls, f.files, via, keep...); err != nil {
			return err
		}
		for region := range f.relays {
			var ways []*Relay
			var addrs []string
			for _, c := range f.controls {
				l, err := StartRelay(c.addr)
				if err != nil {
					return err
				}
				ways, addrs = append(ways, l), append(addrs, l.Addr())
			}
			f.ways = append(f.ways, ways)
			own := region % len(addrs) // its own control process is the nearest
			if products[region], err = r.product("", append(append([]string{}, addrs[own:]...), addrs[:own]...)...); err != nil {
				return err
			}
		}
	}
	source := func(region int) string { return f.relays[region].Addr() }
	path, err := r.config("hollow", "127.0.0.1:1", addr, zoneName(0), f.roster.Whole(), webIdle)
	if err != nil {
		return err
	}
	g, inner := errgroup.WithContext(ctx)
	for i := range p.Processes {
		from, to := i*p.Hollow/p.Processes, (i+1)*p.Hollow/p.Processes
		if from == to {
			continue
		}
		w, err := r.worker(fmt.Sprintf("hollow-%d", i), p.collector()...)
		if err != nil {
			return err
		}
		var which []int
		for k := from; k < to; k++ {
			which = append(which, k)
		}
		f.workers, f.nodes = append(f.workers, w), append(f.nodes, which)
		g.Go(func() error {
			o := r.names(from, to-from, source)
			o.Config = path
			for k := from; f.files != nil && k < to; k++ {
				o.Products = append(o.Products, products[r.region(k)])
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
			env = append(env, "PORTSTALL_FILE="+products[r.region(i)])
		}
		n, err := r.node(ctx, nodeSetup{name: fmt.Sprintf("real-%d", i), discovery: source(r.region(i)), zone: zoneName(i % r.plan.Size.Zones),
			known: f.roster.Whole(), idle: webIdle, env: env})
		if err != nil {
			return err
		}
		n.mgmt = mgmt
		f.real = append(f.real, n)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	// All are up once they have a change that was made then.
	c, err := f.change(ctx)
	if err != nil {
		return err
	}
	for _, o := range c.orders() {
		if after, err := f.within(ctx, startMost, o, time.Now(), nil); err != nil || len(after) < p.Hollow {
			return errors.Join(err, fmt.Errorf("%d of %d hollow nodes are up", len(after), p.Hollow))
		}
	}
	return nil
}

// harvest is what the clients met since it was last asked.
func (f *fleet) harvest() (asked, served int, added []float64) {
	for _, t := range f.took {
		t.mu.Lock()
		asked, served, added = asked+t.asked, served+t.served, append(added, t.added...)
		t.asked, t.served, t.added = 0, 0, nil
		t.mu.Unlock()
	}
	return asked, served, added
}

// startMost is how long all nodes may take to come up: a machine that starts 450 at once is no measure of one that starts one.
const startMost = 3 * time.Minute

// follow is within the plan's limit.
func (f *fleet) follow(ctx context.Context, o order, from time.Time, wanted func(node int) bool) (after []float64, err error) {
	return f.within(ctx, f.plan.Limit, o, from, wanted)
}

// within waits until nodes (nil: all hollow ones) have the version that is asked for, and tells how long after a time each had it. Those that don't have
// it within the limit are missing.
func (f *fleet) within(ctx context.Context, limit time.Duration, o order, from time.Time, wanted func(node int) bool) (after []float64, err error) {
	for {
		after = after[:0]
		missing := 0
		for i, w := range f.workers {
			if len(f.nodes[i]) == 0 {
				continue
			}
			got, err := w.call(ctx, o)
			if err != nil {
				return nil, err
			}
			for k, at := range got.At {
				switch {
				case wanted != nil && !wanted(f.nodes[i][k]):
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
type event struct {
	*fleet
	Fault
	begun     time.Time
	bytes     int64 // from discovery until then,
	toldAt    int64 // and from control
	shortened string
}
