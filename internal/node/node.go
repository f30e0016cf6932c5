// Package node is one load balancer on real sockets. It turns what happens on them into policy events and
// carries out the policy's actions; it decides nothing itself.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"portstall/internal/back"
	backhttp "portstall/internal/back/http"
	backtunnel "portstall/internal/back/tunnel"
	"portstall/internal/cell"
	"portstall/internal/config"
	"portstall/internal/core"
	"portstall/internal/flow"
	fronthttp "portstall/internal/front/http"
	"portstall/internal/front/tunnel"
	"portstall/internal/handover"
	"portstall/internal/member"
	"portstall/internal/message"
	"portstall/internal/mgmt"
	"portstall/internal/state"
	"portstall/policy"
)

const (
	minSockets       = 64 // with fewer descriptors a node cannot serve
	ownSockets       = 24 // descriptors for anything but clients and backends: ownNeeds names them
	transitAllowance = 10 * time.Millisecond
	// acceptFor is how long after SIGTERM connections are still accepted: the front notices only after a while.
	acceptGrace = 500 * time.Millisecond
	// SIGKILL follows SIGTERM after the longest deadline, killMost where that is longer, and killAfter. A request that comes late
	// has its answer killMargin before, so that it is with its client.
	maxDeadlineBeforeKill = 3 * time.Second
	killGrace             = 700 * time.Millisecond
	killResponseMargin    = 150 * time.Millisecond
	// streamTime is how long large bodies may go on when the node leaves and the last deadline has passed.
	bodyDrainTimeout = time.Minute
)

// node is the roster of web servers and all that surrounds the core. What is said to be guarded by the core's lock is
// handed to it in order with the core's own events.
type node struct {
	cfg     Config
	log     *slog.Logger
	core    *core.Core
	pool    *back.Pool
	http    backhttp.Back
	opaque  *backtunnel.Back
	set     atomic.Pointer[settings]
	life    lifecycle
	hand    hand
	pair    pair
	clients *fronthttp.Front
	budget  *flow.Budget

	// Guarded by the core's lock.
	disc        *discovery
	names       map[string]*backend   // listed backends by discovery's id
	addrs       map[string][]*backend // the same by address
	backends    map[uint32]*backend   // the same by the policy's number, and those that left until their grace is over
	nextNum     uint32
	version     int64 // of the list
	past        map[string]past
	cells       *cells        // nil: there are none
	checker     *checker      // nil: nothing is checked; its own lock guards it
	edge        *member.Edge  // nil: no talk among instances
	proxyRoutes []config.Way  // to web servers behind proxies; not changed after the start
	routes      *tunnel.Table // where control tells them; else nil. Changed in place under the lock, read without it as well
	ready       bool          // some backend is listed as ready
}

// backend is one web server as the roster knows it. All but the server itself is guarded by the core's lock.
type backend struct {
	*back.Server
	number  uint32 // the policy's name for it
	started int64
	entry   *listed // as discovery last told it; replaced, never changed
	left    bool    // off the list
}

// Change is a configuration that was read again, and where to tell what became of it: nil, or why all stays as it is.
type Change struct {
	Config
	Taken chan<- error // never blocks
}

// Run serves until ctx ends, finishes what it has taken and returns. A configuration from reload replaces what can
// be replaced while it serves: the settings, and the address of discovery.
func Run(ctx context.Context, cfg Config, reload <-chan Change, log *slog.Logger) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	}
	cfg.process = true
	debug.SetGCPercent(400) // the live heap is small; collecting it often would be felt as latency
	early, err := configured(ctx, &cfg, reload, log)
	if errors.Is(err, errEnded) {
		return nil
	} else if err != nil {
		return err
	}
	defer early.close()
	ln, err := listen(ctx, cfg)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	old := requestHandedState(cfg, log) // without one, another process that serves is looked for once this one can
	n, stop, err := start(cfg, old, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	defer stop()
	cfg.followed.settle()
	if err := n.join(ctx); err != nil {
		return err
	}
	if n.edge != nil {
		defer n.edge.Close()
	}
	if cfg.Mgmt != "" {
		ln, err := early.listen(ctx, cfg.Mgmt)
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		var more []mgmt.Page
		if cfg.Product != nil {
			more = n.pages()
		}
		defer mgmt.Serve(ln, n, log, more...).Close()
	}
	if cfg.Product != nil && cfg.Product.Tunnels != nil {
		if err := n.tunnels(ctx, cfg.Product.Tunnels); err != nil {
			return fmt.Errorf("tunnels: %w", err)
		}
	}
	if p, err := n.answers(ctx); err != nil {
		return err
	} else if p != nil {
		defer p.Close()
	}
	go func() {
		for {
			select {
			case change := <-reload:
				change.Taken <- n.reload(change.Config)
			case <-n.core.Context().Done():
				return
			}
		}
	}()
	return n.serve(ctx, ln)
}

// listen opens the clients' listening socket, or takes the one that another process holds for this one.
func listen(ctx context.Context, cfg Config) (net.Listener, error) {
	if cfg.AcceptFD == 0 {
		return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", cfg.Listen)
	}
	f := os.NewFile(uintptr(cfg.AcceptFD), "clients")
	defer f.Close() // the listener has its own
	return net.FileListener(f)
}

// start brings up all of a node but its listener, with what a predecessor left if there was one. The returned
// function ends what was started.
func start(cfg Config, old *estate, log *slog.Logger) (*node, func(), error) {
	n := &node{cfg: cfg, log: log, names: map[string]*backend{}, addrs: map[string][]*backend{}, backends: map[uint32]*backend{},
		past: map[string]past{}, hand: hand{disabled: map[string]bool{}, returned: map[string]time.Duration{}}}
	o := core.Options{Clock: cfg.newClock(), Back: n, Roster: n, Log: log, Transit: transitAllowance}
	if cfg.Product != nil && cfg.Product.Cells != nil {
		terms, err := cfg.Product.Cells.Terms()
		if err != nil {
			return nil, nil, fmt.Errorf("cells: %w", err)
		}
		n.cells = &cells{cell.NewPlacer(terms), n}
		o.Cells = n.cells
	}
	var err error
	n.core, err = core.New(cfg.Settings.Policy, cfg.Seed, o)
	if err != nil {
		return nil, nil, err
	}
	table, err := cfg.contracts()
	if err != nil {
		n.core.Close()
		return nil, nil, fmt.Errorf("contracts: %w", err)
	}
	if cfg.Product != nil && cfg.Product.Tunnels != nil {
		n.proxyRoutes, err = cfg.Product.Tunnels.Ways()
		if err == nil && cfg.followed != nil {
			n.routes, err = cfg.Product.Tunnels.Table()
		}
		if err != nil {
			n.core.Close()
			return nil, nil, err
		}
	}
	n.set.Store(newSettings(cfg.Settings))
	n.pool = back.NewPool(cfg.poolLimit(), cfg.Settings.ConnectTimeout, cfg.Settings.ConnIdle)
	n.budget = flow.NewBudget(cfg.bodyBytes())
	n.http = backhttp.Back{Core: n.core, Pool: n.pool, Budget: n.budget, Log: log,
		Reports: func() bool { return n.set.Load().Reports }, Slack: cfg.slack}
	n.opaque = backtunnel.New(n.core, n.pool, n.life.sendsAway)
	n.clients = fronthttp.New(fronthttp.Options{Core: n.core, Budget: n.budget, Limit: cfg.clientLimit(), Away: n.life.sendsAway,
		Ready: n.readinessStatus, Until: n.responseDeadline, Fits: func(r *http.Request) error { return n.set.Load().fits(r) }, Slack: cfg.slack})
	n.pair.initialize(n)
	if cfg.Product != nil && cfg.Product.State != nil {
		set, err := cfg.Product.State.Ready()
		if err != nil {
			n.core.Close()
			return nil, nil, err
		}
		n.pair.persister = &keeping{settings: set}
	}
	n.setLimits(1)
	n.disc = newDiscovery(n, cfg.Discovery)
	if cfg.Product != nil && cfg.Product.Health != nil {
		if n.checker, err = newChecker(n, cfg.Product.Health.Checks); err != nil {
			n.core.Close()
			return nil, nil, err
		}
	}
	// The list can start a watch at once, whose answer must not be taken in before the list is.
	cfg.followed.lock()
	n.core.Lock()
	n.core.Bind(table)
	cfg.followed.attach(n) // before what a predecessor had left of the contracts, which must find them
	if old != nil {
		n.adoptPredecessor(old)
	} else {
		var s *state.Snapshot
		if n.pair.persister != nil {
			s = n.loadStoredState(n.pair.persister.settings)
		}
		n.takeList(&cfg.Known, policy.ListCached)
		if s != nil {
			n.ageSnapshot(s)
			n.adoptStoredState(s)
		}
	}
	if !cfg.Settings.Policy.MustAsk {
		n.disc.watch() // the policy asks only where lists are not pushed
	}
	if n.checker != nil {
		n.checker.start()
	}
	n.core.Unlock()
	cfg.followed.unlock()
	return n, func() {
		n.core.Close()
		n.checker.stop()
		n.disc.http.CloseIdleConnections()
		n.pool.Stop()
	}, nil
}

// serve answers clients on ln until ctx ends or a successor has them, and then until all that was taken is answered.
func (n *node) serve(ctx context.Context, ln net.Listener) error {
	d := newSharedListener(ln)
	failed := make(chan error, 1)
	go func() { failed <- n.clients.Accept(d) }()
	n.acquireClients(d)
	defer n.pair.close()
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", errors.Join(err, d.Close()))
		case <-n.pair.phaseChanged:
			if n.pair.currentPhase() != handover.Relieved {
				continue
			}
			n.life.enter(relieved)
			n.opaque.Drain(nil)
			if n.finishForSuccessor(ctx) {
				return n.stopAccepting(d, failed)
			}
			n.life.endRelief()
		case <-ctx.Done():
			n.life.enter(leaving)
			n.pair.handle(func(m *handover.Machine, _ handover.Env) { m.End() })
			n.opaque.Drain(nil)
			n.log.Info("leaving: finishing what was taken")
			// Connections go on coming for a while, and clients use those that they have: each answer now tells them
			// to close, and only then is the listener closed.
			time.Sleep(acceptGrace)
			err := n.stopAccepting(d, failed)
			n.waitForClients(context.Background())
			return err
		}
	}
}

// finish finishes what was taken, for a successor that serves. False: that has ended, and clients are this process's again.
func (n *node) finishForSuccessor(ctx context.Context) bool {
	again, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		defer stop()
		for again.Err() == nil {
			select {
			case <-n.pair.phaseChanged:
				if n.pair.currentPhase() == handover.Serves {
					return
				}
			case <-ctx.Done(): // it is to end in any case
				n.pair.handle(func(m *handover.Machine, _ handover.Env) { m.End() })
				n.life.enter(leaving)
				<-again.Done()
			case <-again.Done():
			}
		}
	}()
	sleep(again, acceptGrace) // until the front has noticed, clients use the connections that they have
	for n.waitForClients(again) {
		if n.pair.tryEnd() {
			return true
		}
		sleep(again, retryInterval)
	}
	return false
}

// settled returns true once no client's connection is left. Those without a request are closed at once, others behind their
// answers: at the latest when the last deadline has passed, and large bodies later. False: ctx has ended before.
func (n *node) waitForClients(ctx context.Context) bool {
	s := n.clients
	if ctx.Err() != nil {
		return false
	}
	s.CloseIdle() // the clients of those on which no request has come turn to other nodes
	if s.Wait(ctx, n.set.Load().longest()+transitAllowance) {
		return true
	}
	if ctx.Err() == nil {
		s.Cut(false) // the last deadline has passed
	}
	if s.Wait(ctx, bodyDrainTimeout) {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	s.Cut(true)
	return s.Wait(ctx, bodyDrainTimeout)
}

// stopAccepting closes the listener and waits until accept has returned: what it has taken from the socket by then is
// served.
func (n *node) stopAccepting(d *door, failed <-chan error) error {
	err := d.Close()
	if e := <-failed; !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	return err
}

// Server, Watch and Fetch make it a core.Roster.
func (n *node) Server(number uint32) (any, bool) {
	b := n.backends[number]
	if b == nil {
		return nil, false
	}
	return b.Server, true
}

func (n *node) Watch() { n.disc.watch() }
func (n *node) Fetch() { n.disc.fetch() }

// Attempt makes it a core.Back: each request goes by the protocol that it came for.
func (n *node) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	var res core.Result
	if _, ok := a.Request.Message.(*message.Stream); ok {
		res = n.opaque.Attempt(ctx, a)
	} else {
		res = n.http.Attempt(ctx, a)
	}
	n.checker.real(a.Server.(*back.Server), res.Outcome)
	return res
}
