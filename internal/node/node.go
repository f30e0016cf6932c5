// Package node is one load balancer on real sockets. It translates socket activity, timers and discovery responses into
// policy events and carries out the policy's actions; it makes no load-balancing decisions itself.
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
	"portstall/internal/contract"
	"portstall/internal/core"
	"portstall/internal/endpoints"
	"portstall/internal/flow"
	fronthttp "portstall/internal/front/http"
	"portstall/internal/front/tunnel"
	"portstall/internal/handover"
	"portstall/internal/lograte"
	"portstall/internal/member"
	"portstall/internal/message"
	"portstall/internal/mgmt"
	"portstall/internal/state"
	"portstall/policy"
)

const (
	minSockets      = 64 // minimum file descriptors; with fewer a node cannot serve
	reservedSockets = 24 // file descriptors for everything but clients and web servers, listed in descriptors_test.go
	// transitAllowance is the time allowed for the way to a client and back; it is subtracted from each request's time.
	transitAllowance = 10 * time.Millisecond
	// acceptGrace is how long connections are still accepted after SIGTERM, and how long idle ones stay open in a
	// drain: the front (the balancer ahead of this node) notices either only after a while.
	acceptGrace = 500 * time.Millisecond
	// maxDeadlineBeforeKill caps the longest class deadline when the time of SIGKILL is worked out: it follows SIGTERM
	// after min(longest deadline, maxDeadlineBeforeKill) + killGrace.
	maxDeadlineBeforeKill = 3 * time.Second
	// killGrace is the time between the last deadline and SIGKILL.
	killGrace = 700 * time.Millisecond
	// killResponseMargin is how long before SIGKILL a late request gets its final response, so that it has reached the
	// client by then.
	killResponseMargin = 150 * time.Millisecond
	// lateResponseAllowance is how long after its deadline a client still reads its final response.
	lateResponseAllowance = 500 * time.Millisecond
	// bodyDrainTimeout is how long large bodies may continue when the node is leaving and the last deadline has passed.
	bodyDrainTimeout = time.Minute
)

// node holds the listed web servers and everything around the core. Fields that the core's lock guards change in order
// with the core's own events, which are handled under the same lock.
type node struct {
	cfg       Config
	log       *slog.Logger
	core      *core.Core
	pool      *back.Pool
	http      backhttp.Sender
	opaque    *backtunnel.Sender
	settings  atomic.Pointer[settings]
	lifecycle lifecycle
	overrides operatorOverrides
	handover  handoverController
	clients   *fronthttp.Front
	budget    *flow.Budget

	// Guarded by the core's lock.
	discovery       *discoveryClient
	serversByID     map[string]*webServer   // listed web servers by discovery's id
	serversByAddr   map[string][]*webServer // listed web servers by address; several ids may share one
	serversByNumber map[uint32]*webServer   // web servers by the policy's number, including removed ones until their drain grace is over
	lastNumber      uint32                  // the number that was assigned last
	listVersion     int64                   // version of the latest server list
	// Processes that were announced as removed, so that an older list does not bring them back.
	removedServers  map[string]removedServer
	cells           *cells             // nil: cells are not configured
	checker         *healthChecker     // nil: no health checks; it has its own lock
	memberTransport *member.Transport  // nil: no cluster membership
	proxyRoutes     []config.ProxyRule // routes to web servers behind proxies; unchanged after the start
	// Routes of tunnels where control provides them, else nil. Changed in place under the lock, read without it as
	// well.
	tunnelRoutes *tunnel.Table
	anyReady     bool // some listed web server is ready
}

// webServer is one process of a web server as the node knows it. The core's lock guards all but the embedded Server.
type webServer struct {
	*back.Server
	number uint32 // the policy's number for it
	// When the process started as discovery says, in Unix milliseconds.
	startedMS int64
	listEntry *endpoints.Endpoint // its latest entry in the server list; replaced, never changed
	removed   bool                // it is no longer listed
	removals  int                 // how often it was removed from the list
}

// Change is a configuration that was read again.
type Change struct {
	Config
	// Applied receives nil, or the reason why nothing has changed. A send to it never blocks.
	Applied chan<- error
}

// Run serves until ctx ends, finishes the requests that it has accepted and returns. While it serves, a configuration
// from reload replaces what can be replaced in service: the settings, and the address of discovery.
func Run(ctx context.Context, cfg Config, reload <-chan Change, log *slog.Logger) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	}
	cfg.ownsProcess = true
	debug.SetGCPercent(400) // the live heap is small; frequent collections would show up as latency
	early, err := awaitConfiguration(ctx, &cfg, reload, log)
	if errors.Is(err, errStoppedEarly) {
		return nil
	} else if err != nil {
		return err
	}
	defer early.close()
	ln, err := listen(ctx, cfg)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	old := requestHandedState(cfg, log) // without one, it looks for another serving process once it can serve itself
	n, stop, err := start(cfg, old, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	defer stop()
	cfg.follower.freeStartupMemory()
	if err := n.joinMembers(ctx); err != nil {
		return err
	}
	if n.memberTransport != nil {
		defer n.memberTransport.Close()
	}
	if cfg.Mgmt != "" {
		ln, err := early.listen(ctx, cfg.Mgmt)
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		var more []mgmt.Page
		if cfg.Product != nil {
			more = n.managementPages()
		}
		defer mgmt.Serve(ln, n, log, more...).Close()
	}
	if cfg.Product != nil && cfg.Product.Tunnels != nil {
		if err := n.openTunnelListeners(ctx, cfg.Product.Tunnels); err != nil {
			return fmt.Errorf("tunnels: %w", err)
		}
	}
	if p, err := n.startHealthResponder(ctx); err != nil {
		return err
	} else if p != nil {
		defer p.Close()
	}
	go func() {
		for {
			select {
			case change := <-reload:
				change.Applied <- n.reload(change.Config)
			case <-n.core.Context().Done():
				return
			}
		}
	}()
	return n.serve(ctx, ln)
}

// listen opens the clients' listening socket, or uses the one that another process holds open for this one.
func listen(ctx context.Context, cfg Config) (net.Listener, error) {
	if cfg.AcceptFD == 0 {
		return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", cfg.Listen)
	}
	f := os.NewFile(uintptr(cfg.AcceptFD), "clients")
	defer f.Close() // the listener has its own duplicate
	return net.FileListener(f)
}

// start sets up all of a node but its listener, with the state of a predecessor if there is one. The returned function
// stops what was started.
func start(cfg Config, old *handedState, log *slog.Logger) (*node, func(), error) {
	n := &node{cfg: cfg, log: log, serversByID: map[string]*webServer{}, serversByAddr: map[string][]*webServer{}, serversByNumber: map[uint32]*webServer{},
		removedServers: map[string]removedServer{}, overrides: operatorOverrides{disabled: map[string]bool{}, enabledAt: map[string]time.Duration{}}}
	if err := n.createCore(); err != nil {
		return nil, nil, err
	}
	n.createProtocols()
	n.handover.initialize(n)
	table, err := n.createProductParts()
	if err != nil {
		n.core.Close()
		return nil, nil, err
	}
	n.setLimits(1)
	n.discovery = newDiscoveryClient(n, cfg.Discovery)
	// Applying the list can start a watch at once, whose response must not be applied before the list is.
	cfg.follower.lock()
	n.core.Lock()
	n.core.SetContracts(table)
	cfg.follower.attach(n) // before the predecessor's contract states, which need the contracts to be there
	n.adoptInitialState(old)
	if !cfg.Settings.Policy.MustAsk {
		n.discovery.watch() // where lists are not pushed, the policy says when to ask
	}
	if n.checker != nil {
		n.checker.start()
	}
	n.core.Unlock()
	cfg.follower.unlock()
	return n, func() {
		n.core.Close()
		n.checker.stop()
		n.discovery.client.CloseIdle()
		n.pool.Stop()
	}, nil
}

// createCore creates the core, with cells if they are configured.
func (n *node) createCore() error {
	o := core.Options{Clock: n.cfg.newClock(), Sender: n, Discovery: n, Log: n.log, ClientRoundTrip: transitAllowance,
		FinalResponseBy: n.responseDeadline}
	if n.cfg.Product != nil && n.cfg.Product.Cells != nil {
		cellSettings, err := n.cfg.Product.Cells.Settings()
		if err != nil {
			return fmt.Errorf("cells: %w", err)
		}
		n.cells = &cells{cell.NewPlacer(cellSettings), n}
		o.Cells = n.cells
	}
	var err error
	n.core, err = core.New(n.cfg.Settings.Policy, n.cfg.Seed, o)
	return err
}

// requestLogLimit bounds the log lines about single requests, attempts and connections: clients and web servers can cause
// them at any rate.
var requestLogLimit = lograte.Limit{PerSecond: 20, Burst: 100}

// createProtocols creates what speaks with clients and with web servers.
func (n *node) createProtocols() {
	cfg := &n.cfg
	n.settings.Store(newSettings(cfg.Settings))
	n.pool = back.NewPool(cfg.poolLimit(), cfg.Settings.ConnectTimeout, cfg.Settings.ServerIdleTimeout)
	n.budget = flow.NewBudget(cfg.maxBodyBytes())
	events := slog.New(lograte.NewHandler(n.log.Handler(), requestLogLimit, n.core.Now))
	n.http = backhttp.Sender{Core: n.core, Pool: n.pool, Budget: n.budget, Log: events,
		LoadReports: func() bool { return n.settings.Load().LoadReports }, StallSlack: cfg.slack}
	n.opaque = backtunnel.NewSender(n.core, n.pool, n.lifecycle.closingConnections)
	n.clients = fronthttp.New(fronthttp.Options{Core: n.core, Budget: n.budget, Limit: cfg.clientLimit(), Draining: n.lifecycle.closingConnections,
		Ready: n.readinessStatus, CheckRequest: func(r *http.Request) error { return n.settings.Load().checkRequest(r) }, Slack: cfg.slack, Log: events})
}

// createProductParts creates what the product's own file configures besides cells, and returns its contracts.
func (n *node) createProductParts() (*contract.Table, error) {
	table, err := n.cfg.contractTable()
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	product := n.cfg.Product
	if product == nil {
		return table, nil
	}
	if product.Tunnels != nil {
		if n.proxyRoutes, err = product.Tunnels.ProxyRules(); err != nil {
			return nil, err
		}
		if n.cfg.follower != nil {
			if n.tunnelRoutes, err = product.Tunnels.Table(); err != nil {
				return nil, err
			}
		}
	}
	if product.State != nil {
		set, err := product.State.WithDefaults()
		if err != nil {
			return nil, err
		}
		n.handover.persister = &persister{settings: set}
	}
	if product.Health != nil {
		if n.checker, err = newHealthChecker(n, product.Health.Checks); err != nil {
			return nil, err
		}
	}
	return table, nil
}

// adoptInitialState adopts a predecessor's state or, without one, the configuration's list and what an earlier process
// stored. The core's lock is held.
func (n *node) adoptInitialState(old *handedState) {
	if old != nil {
		n.adoptPredecessor(old)
		return
	}
	var stored *state.Snapshot
	if n.handover.persister != nil {
		stored = n.loadStoredState(n.handover.persister.settings)
	}
	n.applyList(&n.cfg.Known, policy.ListCached)
	if stored != nil {
		n.ageSnapshot(stored)
		n.adoptStoredState(stored)
	}
}

// serve serves clients on ln until ctx ends or a successor has taken over, and then until all accepted requests have
// their final responses.
func (n *node) serve(ctx context.Context, ln net.Listener) error {
	listener := newSharedListener(ln)
	failed := make(chan error, 1)
	go func() { failed <- n.clients.Accept(listener) }()
	n.acquireClients(listener)
	defer n.handover.close()
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", errors.Join(err, listener.Close()))
		case <-n.handover.phaseChanged:
			if n.handover.currentPhase() != handover.Finishing {
				continue
			}
			n.lifecycle.enter(replaced)
			n.opaque.Drain(nil)
			if n.finishForSuccessor(ctx) {
				return n.stopAccepting(listener, failed)
			}
			n.lifecycle.endReplaced()
		case <-ctx.Done():
			n.lifecycle.leave(n.settings.Load().maxDeadline())
			n.handover.handle(func(m *handover.Machine, _ handover.Env) { m.Stop() })
			n.opaque.Drain(nil)
			n.log.Info("leaving: finishing accepted requests")
			// New connections keep arriving for a while, and clients use those that they have: each response now tells
			// them to close, and only then is the listener closed.
			time.Sleep(acceptGrace)
			err := n.stopAccepting(listener, failed)
			n.waitForClients(context.Background())
			return err
		}
	}
}

// finishForSuccessor finishes the accepted requests while a successor serves, and reports whether this process may end.
// It returns false if the successor has ended and this process serves clients again.
func (n *node) finishForSuccessor(ctx context.Context) bool {
	resumed, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		defer stop()
		for resumed.Err() == nil {
			select {
			case <-n.handover.phaseChanged:
				if n.handover.currentPhase() == handover.Active {
					return
				}
			case <-ctx.Done(): // this process ends in any case
				n.handover.handle(func(m *handover.Machine, _ handover.Env) { m.Stop() })
				n.lifecycle.leave(n.settings.Load().maxDeadline())
				<-resumed.Done()
			case <-resumed.Done():
			}
		}
	}()
	sleep(resumed, acceptGrace) // clients use the connections that they have until the front has noticed
	for n.waitForClients(resumed) {
		if n.handover.tryEnd() {
			return true
		}
		sleep(resumed, retryInterval)
	}
	return false
}

// waitForClients returns true once no client's connection is left, false if ctx ends before. Connections without a
// request are closed at once, others after their responses: at the latest once the deadline of each open request has
// passed, and large bodies later.
func (n *node) waitForClients(ctx context.Context) bool {
	clients := n.clients
	if ctx.Err() != nil {
		return false
	}
	clients.CloseIdle()                                        // clients that have sent no request turn to other nodes
	deadline := n.core.Now() + n.settings.Load().maxDeadline() // a request that is still arriving has that of a class in force
	for deadline > 0 {
		left := deadline + transitAllowance + lateResponseAllowance - n.core.Now()
		if left <= 0 {
			break
		}
		if clients.Wait(ctx, left) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		deadline = n.core.LatestDeadline(n.settings.Load().longestDeadline)
	}
	if requests := clients.Abort(false); requests > 0 { // the last deadline has passed
		n.log.Warn("closed connections whose clients had not read their responses in time", "requests", requests)
	}
	if clients.Wait(ctx, bodyDrainTimeout) {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	clients.Abort(true)
	return clients.Wait(ctx, bodyDrainTimeout)
}

// stopAccepting closes the listener and waits until Accept has returned: every connection that it accepted by then is
// served.
func (n *node) stopAccepting(listener *sharedListener, failed <-chan error) error {
	err := listener.Close()
	if e := <-failed; !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	return err
}

// Server returns the web server with the given number. Server, Watch and Fetch make node a core.Discovery; the core's
// lock is held.
func (n *node) Server(number uint32) (any, bool) {
	server := n.serversByNumber[number]
	if server == nil {
		return nil, false
	}
	return server.Server, true
}

// Watch starts watching discovery unless a watch is running.
func (n *node) Watch() { n.discovery.watch() }

// Fetch asks discovery for the full list once.
func (n *node) Fetch() { n.discovery.fetch() }

// Attempt makes node a core.Back: it sends a request over the protocol that it arrived by.
func (n *node) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	var res core.Result
	if _, ok := a.Request.Message.(*message.Stream); ok {
		res = n.opaque.Attempt(ctx, a)
	} else {
		res = n.http.Attempt(ctx, a)
	}
	n.checker.recordOutcome(a.Server.(*back.Server), res.Outcome)
	return res
}
