// Package rig runs a scenario in real time on loopback sockets: stub web servers, a stub discovery, clients with a
// front balancer, and real nodes as processes. It measures the same results and checks the same rules as the model.
//
// All events are recorded at the stand-ins and the clients, so that their times are those that the node's peers see.
// They are sorted and checked at the end of the run. The end of one attempt and the arrival of the next may be seen in
// reverse order, so an attempt that ends at most Options.Slack after the next one's arrival counts as ended before it.
package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/scenario"
	"portstall/internal/lab/standin"
)

// DefaultSlack is added to the time limits of the rules: events are seen late, as they pass through sockets and
// goroutines.
const DefaultSlack = 50 * time.Millisecond

// startupAllowance is the time in which all stand-ins and nodes have to start where the nodes' configuration depends on
// the time at which the scenario starts.
const startupAllowance = 3 * time.Second

// agentPort is the port of all agents, each on the host of its server. It lies below the range of ephemeral ports.
const agentPort = 9777

// Options holds the options of a run.
type Options struct {
	Binary string // path of the portstall binary
	// Progress is called every second with the results so far; may be nil.
	Progress func(second int, r measure.Result)
	// Slack is added to the time limits of the rules; 0 means DefaultSlack.
	Slack time.Duration
}

// rig is one run. mu guards the fields below it.
type rig struct {
	scenario     *scenario.Scenario
	options      Options
	ctx          context.Context
	dir          string
	startedAt    time.Time
	plannedStart time.Time // time at which the scenario is to start, if the nodes' configuration depends on it
	servers      []*server
	nodes        []*node
	usesAgents   bool             // each server has a health agent
	proxies      []*standin.Proxy // each in front of every other server; empty: servers are reached directly
	discovery    discovery
	faultTargets [][]int // of each fault, by index
	wg           sync.WaitGroup

	mu            sync.Mutex
	fleetEffects  fleet.FleetEffects
	activeFaults  []bool
	recorder      *measure.Recorder
	records       []record
	openAttempts  map[string]bool // attempts at servers, by attemptKey
	attemptCounts map[string]int  // by request
	errs          []error
	finished      bool // the run is over: nothing more is recorded
}

// Run runs a scenario. The error is one of the stand-ins or the nodes; breaches of rules are part of the result.
func Run(ctx context.Context, s scenario.Scenario, options Options) (measure.Result, error) {
	for i, f := range s.Faults {
		if !scenario.FaultKinds[f.Kind].Rig {
			return measure.Result{}, fmt.Errorf(
				"faults[%d].kind: the rig does not support %s: all its nodes and servers share one address", i, f.Kind)
		}
	}
	if s.Servers.Count > 200 || s.Nodes > 10 {
		return measure.Result{}, fmt.Errorf("%d servers and %d nodes are too many for one machine; run the model instead",
			s.Servers.Count, s.Nodes)
	}
	if options.Slack == 0 {
		options.Slack = DefaultSlack
	}
	dir, err := os.MkdirTemp("", "portstall-rig")
	if err != nil {
		return measure.Result{}, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &rig{scenario: &s, options: options, ctx: ctx, dir: dir, fleetEffects: fleet.FleetEffects{Slowdown: 1, RetryFactor: 1},
		activeFaults: make([]bool, len(s.Faults)), recorder: measure.NewRecorder(s.Warmup, s.Duration),
		openAttempts: map[string]bool{}, attemptCounts: map[string]int{}, startedAt: time.Now()}
	r.discovery.rig = r
	defer r.cleanUp()
	if err := r.start(); err != nil {
		return measure.Result{}, err
	}
	r.runTimeline()
	return r.stopNodesAndCheck()
}

// now returns the time since the scenario's start.
func (r *rig) now() time.Duration { return time.Since(r.startedAt) }

// start starts the stand-ins and then all nodes, and returns once the nodes are ready.
func (r *rig) start() error {
	if r.scenario.Cells.Size > 0 {
		r.plannedStart = time.Now().Add(startupAllowance)
	}
	generatedServers := r.scenario.Fleet()
	r.faultTargets = r.scenario.FaultTargets(generatedServers)
	r.usesAgents = r.checksUseAgents()
	for i, generated := range generatedServers {
		v := &server{Server: generated, rig: r, index: i, slots: generated.Type.Cores * generated.Type.SlotsPerCore,
			queueCap: generated.Type.Cores * generated.Type.QueuePerCore, launched: -1, effects: fleet.ServerEffects{Slowdown: 1, ReportFactor: 1},
			reports: fleet.Reports{Period: r.scenario.Servers.Reports.Period, Phase: rand.N(r.scenario.Servers.Reports.Period)}}
		var err error
		if v.host, err = standin.ReserveHost(); err != nil {
			return err
		}
		r.servers = append(r.servers, v)
		if err := v.start(); err != nil {
			return err
		}
		if r.usesAgents {
			if v.agent, err = standin.StartAgent(net.JoinHostPort(v.host, strconv.Itoa(agentPort))); err != nil {
				return err
			}
			v.agent.ReplyWith(func() (string, bool) { return v.healthReply(true) })
		}
		r.discovery.entries = append(r.discovery.entries, r.listEntryOf(v, "Ready"))
	}
	if err := r.discovery.start(r.scenario.Nodes); err != nil {
		return err
	}
	for i := range r.scenario.Nodes {
		addr, err := standin.FreeAddr()
		if err != nil {
			return err
		}
		n := &node{rig: r, index: i, addr: addr}
		if r.scenario.Clients.Via != "" {
			if n.tunnelAddr, err = standin.FreeAddr(); err != nil {
				return err
			}
		}
		if slices.ContainsFunc(r.scenario.Classes, func(c scenario.Class) bool { return c.Stands > 0 }) {
			if n.opaqueAddr, err = standin.FreeAddr(); err != nil {
				return err
			}
			if r.scenario.Clients.Via == "connect" { // one listener serves both
				n.opaqueAddr = n.tunnelAddr
			}
		}
		n.client = newClient(r.scenario.Clients.Via, n.tunnelAddr)
		r.nodes = append(r.nodes, n)
	}
	if via := r.scenario.Servers.Via; via != "" {
		for range 2 {
			p := &standin.Proxy{SOCKS5: via == "socks5", User: "node", Password: "node"}
			r.proxies = append(r.proxies, p)
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	errs := make(chan error, len(r.nodes))
	for _, n := range r.nodes {
		go func() { errs <- n.start(r.ctx) }()
	}
	var err error
	for range r.nodes {
		err = errors.Join(err, <-errs)
	}
	return err
}

// checksUseAgents reports whether nodes query health agents.
func (r *rig) checksUseAgents() bool {
	health := r.scenario.Health
	return health != nil && health.Checks != nil && health.Checks.Agent != nil
}

// listEntryOf returns the entry of a server in discovery's list. The caller holds the server's lock, or the server is
// not yet known to others.
func (r *rig) listEntryOf(v *server, state string) listEntry {
	entry := listEntry{ServerEntry: standin.ServerEntry{ID: fmt.Sprintf("s-%d", v.ID), Addr: v.addr, Zone: scenario.ZoneName(v.Zone),
		Kind: v.Type.Name, Cell: v.Pod, State: state, Weight: 1}, index: v.index, launched: v.launched}
	if v.launched >= 0 {
		entry.Started = r.startedAt.Add(v.launched).UnixMilli()
	}
	return entry
}

// runTimeline runs the scenario: it starts operations, begins and ends faults at their times, and waits for their end.
func (r *rig) runTimeline() {
	time.Sleep(time.Until(r.plannedStart)) // times in the nodes' configuration count from it
	r.startedAt = time.Now()
	var timers []*time.Timer
	schedule := func(t time.Duration, do func()) {
		r.wg.Add(1)
		timers = append(timers, time.AfterFunc(t-r.now(), func() {
			defer r.wg.Done()
			do()
		}))
	}
	for i := range r.scenario.Faults {
		schedule(r.scenario.Faults[i].At, func() { r.applyFault(i, true) })
		if !scenario.FaultKinds[r.scenario.Faults[i].Kind].Instant {
			schedule(r.scenario.Faults[i].End(), func() { r.applyFault(i, false) })
		}
	}
	if r.options.Progress != nil {
		for second := 1; second <= int(r.scenario.Duration/time.Second); second++ {
			schedule(time.Duration(second)*time.Second, func() {
				r.mu.Lock()
				result := r.recorder.Result()
				result.Series = slices.Clone(result.Series)
				r.mu.Unlock()
				r.options.Progress(second, result)
			})
		}
	}
	completed := r.runArrivals(func(op scenario.Operation) {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.runOperation(op)
		}()
	})
	if !completed {
		for _, t := range timers {
			if t.Stop() {
				r.wg.Done()
			}
		}
	}
	r.wg.Wait()
}

// addError stores an error of the stand-ins or nodes, which invalidates the run; nil is ignored.
func (r *rig) addError(err error) {
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, err)
	}
}

// stopNodesAndCheck terminates the nodes, checks the rules and returns the results.
func (r *rig) stopNodesAndCheck() (measure.Result, error) {
	for _, n := range r.nodes {
		n.setSuspended(false)
		r.addError(n.exitError())
	}
	errs := make(chan error, len(r.nodes))
	for _, n := range r.nodes {
		go func() { errs <- n.terminate() }()
	}
	for range r.nodes {
		r.addError(<-errs)
	}
	end := r.now()
	var loads []measure.ServerLoad
	for _, v := range r.servers {
		v.mu.Lock()
		loads = append(loads, measure.ServerLoad{ID: v.ID, Kind: v.Type.Name, Sent: v.attempts,
			Busy: v.totalWork / (float64(v.Type.Cores) * v.Speed * r.scenario.Duration.Seconds())})
		v.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	if err := r.ctx.Err(); err != nil {
		return measure.Result{}, err
	}
	result := r.recorder.Result()
	result.Scenario, result.Policy, result.Seed, result.Engine, result.Wall = r.scenario.Name, "portstall", r.scenario.Seed,
		"rig", end.Seconds()
	result.Trigger = r.scenario.FirstFaultSpan()
	oracleRecords := r.checkRules(end)
	for rule, n := range oracleRecords.Counts() {
		result.Broken[string(rule)] = n
	}
	for _, b := range oracleRecords.Breaches() {
		result.Breaches = append(result.Breaches, b.String())
	}
	result.Servers = loads
	return result, errors.Join(r.errs...)
}

// cleanUp stops everything that still runs.
func (r *rig) cleanUp() {
	for _, n := range r.nodes {
		n.setSuspended(false)
		n.kill()
		n.client.CloseIdleConnections()
	}
	for _, p := range r.proxies {
		p.Stop()
	}
	if r.discovery.stopped != nil {
		r.discovery.stop()
	}
	for _, v := range r.servers {
		v.mu.Lock()
		if v.silence != nil {
			close(v.silence)
			v.silence = nil
		}
		if v.up {
			v.closeAll()
		}
		v.mu.Unlock()
		if v.agent != nil {
			v.agent.Stop()
		}
	}
}
