package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// measureInProcess measures what needs no sockets: contracts, the policy's plan, product files, split contracts, and
// the traffic between members.
func (r *run) measureInProcess(ctx context.Context) error {
	p := r.plan
	// These measure elapsed time, so they run one after the other.
	for _, part := range []func(ctx context.Context) error{r.measureContracts, r.measurePlans, r.measureProductFiles} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	if p.Parts != nil {
		r.measureSplit()
	}
	return r.measureMembers(ctx)
}

// callForSizes sends a command to a new worker for each size, one after the other, and returns their figures.
func (r *run) callForSizes(ctx context.Context, do string, sizes []int) ([]map[string]float64, error) {
	var all []map[string]float64
	for _, n := range sizes {
		w, err := r.startWorker(fmt.Sprintf("%s-%d", do, n))
		if err != nil {
			return nil, err
		}
		reply, err := w.call(ctx, workerCommand{Do: do, Count: n})
		r.processes.stop(w)
		if err != nil {
			return nil, err
		}
		all = append(all, reply.Figures)
	}
	return all, nil
}

// pointsOf returns the points of one figure over the sizes.
func pointsOf(sizes []int, all []map[string]float64, figure string) (list []Point) {
	for i, n := range sizes {
		list = append(list, Point{float64(n), all[i][figure]})
	}
	return list
}

// measureContracts measures the memory of contracts and the time to admit a request.
func (r *run) measureContracts(ctx context.Context) error {
	sizes := r.plan.Contracts
	if sizes == nil {
		return nil
	}
	all, err := r.callForSizes(ctx, "contracts", sizes)
	if err != nil {
		return err
	}
	full := float64(r.plan.Size.Tenants)
	fittedRow := func(id, figure, unit, note string) error {
		_, name, _ := strings.Cut(id, ".")
		return r.addFittedRow(Row{ID: id, Role: "node", Figure: figure, Unit: unit, Of: "contract", Note: note},
			pointsOf(sizes, all, name), full)
	}
	return errors.Join(fittedRow("contracts.unused", "heap of contracts before their first use", "B", "table and ledger"),
		fittedRow("contracts.used", "heap of contracts after their first use", "B", "table and ledger"),
		fittedRow("contracts.made", "time to rebuild the table", "s", "at each SIGHUP"),
		fittedRow("contracts.request", "time to look up, admit and settle a request", "s", ""))
}

// plansPerSecond is how often a node makes the policy's plan.
const plansPerSecond = 4.0

// measurePlans measures the CPU time of the policy's plan.
func (r *run) measurePlans(ctx context.Context) error {
	sizes := r.plan.Plans
	if sizes == nil {
		return nil
	}
	all, err := r.callForSizes(ctx, "plan", sizes)
	if err != nil {
		return err
	}
	list := pointsOf(sizes, all, "plan")
	for i := range list {
		list[i].Y *= plansPerSecond
	}
	return r.addFittedRow(Row{ID: "plan.rest", Role: "node",
		Figure: "CPU time per second of the policy's plans, four a second", Unit: "s", Of: "server",
		Note: "included in the CPU time when idle"},
		list, float64(r.plan.Size.Servers))
}

// productFileText returns a product file with the given number of contracts, and routes and services in proportion to
// the full size.
func productFileText(size *Size, contracts int) []byte {
	var b strings.Builder
	part := float64(contracts) / float64(size.Tenants)
	services, routes := max(1, int(part*float64(size.Services)+0.5)), int(part*float64(size.Routes)+0.5)
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - name: service-%03d\n    classes:\n      - {name: search-%03d, effect: safe}\n      - {name: search, effect: safe}\n", i, i)
	}
	b.WriteString("contracts:\n")
	for i := range contracts {
		fmt.Fprintf(&b, "  - name: tenant-%05d\n    match: [{tenant: tenant-%05d}]\n    services: [service-%03d]\n    rate: 5\n    burst: 10\n    in_flight: 20\n"+
			"    attempts: {ratio: 0.2, window: 10s, floor: 1}\n", i, i, i%services)
	}
	if routes > 0 {
		b.WriteString("tunnels:\n  connect: 127.0.0.1:1\n  routes:\n")
		for i := range routes {
			fmt.Fprintf(&b, "    - {host: r%04d.example.org, port: 443, service: service-%03d, kind: http}\n", i,
				i%services)
		}
	}
	b.WriteString("...\n")
	return []byte(b.String())
}

// measureProductFiles measures `portstall config check`, which reads a product file as a node does.
func (r *run) measureProductFiles(ctx context.Context) error {
	sizes := r.plan.Files
	if sizes == nil {
		return nil
	}
	var cpu, rss, size []Point
	for _, n := range sizes {
		text := productFileText(&r.plan.Size, n)
		path, err := r.writeFile(".yaml", text)
		if err != nil {
			return err
		}
		c, err := r.processes.start(fmt.Sprintf("file-%d", n), nil, "config", "check", path)
		if err != nil {
			return err
		}
		select {
		case <-c.done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if code := c.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("config check of %d contracts ended with code %d: %s", n, code, c.logs.String())
		}
		x, s := float64(n), c.cmd.ProcessState
		cpu = append(cpu, Point{x, (s.UserTime() + s.SystemTime()).Seconds()})
		rss = append(rss, Point{x, float64(exitedPeakResidentBytes(s))})
		size = append(size, Point{x, float64(len(text))})
	}
	full := float64(r.plan.Size.Tenants)
	note := "`portstall config check` of the product file: the cost of each SIGHUP at a node"
	return errors.Join(r.addFittedRow(Row{ID: "file.cpu", Role: "node by file", Figure: "CPU time to read the file",
		Unit: "s", Of: "contract", Note: note}, cpu, full),
		r.addFittedRow(Row{ID: "file.rss", Role: "node by file", Figure: "peak resident memory", Unit: "B",
			Of: "contract", Note: note}, rss, full),
		r.addFittedRow(Row{ID: "file.bytes", Role: "node by file", Figure: "size of the file", Unit: "B",
			Of: "contract", Note: note}, size, full))
}

// measureSplit simulates contracts that are split among nodes.
func (r *run) measureSplit() {
	full := float64(r.plan.Size.Nodes)
	var refused, first []Point
	for _, n := range r.plan.Parts {
		p := SplitContract(n, "a tenant", 2.1, 500, time.Hour)
		refused, first = append(refused, Point{float64(n), p.RefusedShare}), append(first, Point{float64(n),
			p.InitialAdmitted})
	}
	last := func(list []Point) float64 { return list[len(list)-1].Y }
	r.addRows(Row{ID: "parts.refused", Role: "node",
		Figure: "lawful requests refused, as a share: 2.1 per second under a contract of 5 per second", Unit: "",
		Origin: Measured, Of: "node", Points: refused,
		Size: full, At: last(refused), Note: "real ledgers in virtual time; a burst of 10"},
		Row{ID: "parts.first", Role: "node",
			Figure: "admitted of 500 requests per second in 10 s, as a share of what is allowed", Unit: "",
			Origin: Measured, Of: "node", Points: first,
			Size: full, At: last(first), Note: "the same contract: 60 are allowed"})
}

// measureMembers simulates members, each size in a worker of its own.
func (r *run) measureMembers(ctx context.Context) error {
	p := r.plan.Members
	if p == nil {
		return nil
	}
	all := make([]workerReply, len(p.Sizes))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Sizes {
		g.Go(func() error {
			w, err := r.startWorker(fmt.Sprintf("members-%d", n))
			if err != nil {
				return err
			}
			defer r.processes.stop(w)
			all[i], err = w.call(ctx, workerCommand{Do: "members", Count: n, ForMS: int(p.For.Milliseconds()),
				LimitMS: int(p.Limit.Milliseconds())})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var bytes, cpu, signed, join, known []Point
	note := "virtual time, no loss, signatures of 64 bytes"
	for i, t := range all {
		if t.Late != "" {
			note += "; " + t.Late
			continue
		}
		x, f := float64(p.Sizes[i]), t.Figures
		known = append(known, Point{x, f["known"]})
		bytes, join, cpu = append(bytes, Point{x, f["bytes"]}), append(join, Point{x, f["join"]}),
			append(cpu, Point{x, f["cpu"]})
		signed = append(signed, Point{x, f["signs"]*f["sign"] + f["checks"]*f["check"]})
	}
	if len(known) == 0 {
		return fmt.Errorf("members: %s", note)
	}
	full := float64(r.plan.Size.Nodes)
	fittedRow := func(id, figure, unit string, list []Point) error {
		return r.addFittedRow(Row{ID: id, Role: "members", Figure: figure, Unit: unit, Of: "member", Note: note},
			list, full)
	}
	last := known[len(known)-1]
	r.addRows(Row{ID: "member.known", Role: "members",
		Figure: fmt.Sprintf("share of members that the worst informed one considers alive after %v", 2*p.For),
		Unit:   "", Origin: Measured, Of: "member",
		Points: known, Size: last.X, At: last.Y, Note: note + "; all start within a second"})
	return errors.Join(fittedRow("member.bytes", "bytes per second sent by a member", "B", bytes),
		fittedRow("member.join", "bytes per second sent by a member while all join at once", "B", join),
		fittedRow("member.cpu", "CPU time per second, without signatures", "s", cpu),
		fittedRow("member.signed", "CPU time per second for signatures, calculated from their number", "s", signed))
}

// quantile returns the q-quantile of a list by the nearest-rank method; 0 if the list is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)-1, max(0, int(math.Ceil(q*float64(len(list))))-1))]
}

// measurePool measures how one node reuses connections and load reports, at several numbers of servers.
func (r *run) measurePool(ctx context.Context) error {
	p := r.plan.Pool
	type result struct{ fresh, known, p50, p99, cpuBefore Point }
	results := make([]result, len(p.Servers))
	g, ctx := errgroup.WithContext(ctx)
	for i, n := range p.Servers {
		g.Go(func() error {
			w, err := r.startWorker(fmt.Sprintf("web-%d", n))
			if err != nil {
				return err
			}
			defer r.processes.stop(w)
			reply, err := w.call(ctx, workerCommand{Do: "web", Count: n, ServerUS: int(p.Service.Microseconds()),
				IdleMS: int(p.Idle.Milliseconds())})
			if err != nil {
				return err
			}
			discovery := NewStubDiscovery(n, r.plan.Size.Zones, reply.Addrs)
			addr, err := discovery.Start()
			if err != nil {
				return err
			}
			defer discovery.Stop()
			node, err := r.startNode(ctx, nodeSetup{name: fmt.Sprintf("pool-%d", n), discovery: addr,
				zone: zoneName(0), serverList: discovery.FullList(), serverIdle: p.Idle})
			if err != nil {
				return err
			}
			defer r.processes.stop(node.child)
			var count atomic.Bool
			var t clientStats
			asking, stop := context.WithCancel(ctx)
			defer stop()
			done := make(chan struct{})
			go func() {
				defer close(done)
				t.runClients(asking, node.addr, node.role, p.Rate, &count)
			}()
			if err := pause(ctx, p.Warmup); err != nil {
				return err
			}
			before, err := w.call(ctx, workerCommand{Do: "counts"})
			if err != nil {
				return err
			}
			id := node.cmd.Process.Pid
			cpuBefore, startedAt := cpuTime(id), time.Now()
			count.Store(true)
			if err := pause(ctx, p.For); err != nil {
				return err
			}
			after, err := w.call(ctx, workerCommand{Do: "counts"})
			if err != nil {
				return err
			}
			spent := (cpuTime(id) - cpuBefore).Seconds() / time.Since(startedAt).Seconds()
			stop()
			<-done
			if t.served == 0 {
				return fmt.Errorf("%d servers: none of %d requests was served", n, t.requests)
			}
			x := float64(n)
			requests := after.Figures["requests"] - before.Figures["requests"]
			results[i] = result{Point{x, (after.Figures["conns"] - before.Figures["conns"]) / requests},
				Point{x, (after.Figures[reportAges[0].String()] - before.Figures[reportAges[0].String()]) / requests},
				Point{x, quantile(t.addedSeconds, 0.5)},
				Point{x, quantile(t.addedSeconds, 0.99)}, Point{x, spent}}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	// These figures are not linear: the reported value is the last point, at the largest number of servers.
	addRow := func(id, role, figure, unit, note string, of func(*result) Point) {
		var list []Point
		for i := range results {
			list = append(list, of(&results[i]))
		}
		last := list[len(list)-1]
		r.addRows(Row{ID: id, Role: role, Figure: figure, Unit: unit, Origin: Measured, Of: "server", Points: list,
			Size: last.X, At: last.Y, Note: note})
	}
	note := fmt.Sprintf("one node, %v requests per second, servers take %v and keep idle connections for %v; loopback, no handshake but TCP's",
		p.Rate, p.Service, p.Idle)
	addRow("pool.fresh", "web server", "new connections per request", "", note, func(s *result) Point { return s.fresh })
	addRow("pool.known", "node", fmt.Sprintf("share of requests to a server whose load report is at most %v old",
		reportAges[0]), "", note, func(s *result) Point { return s.known })
	addRow("pool.p50", "node", "latency added to a request, median", "s", note, func(s *result) Point { return s.p50 })
	addRow("pool.p99", "node", "latency added to a request, p99", "s", note, func(s *result) Point { return s.p99 })
	addRow("pool.cpu", "node", "CPU time per second, with requests", "s", note,
		func(s *result) Point { return s.cpuBefore })
	return nil
}
