// Package rig plays a scenario on real loopback sockets in real time: stand-in web servers, a stand-in roster, clients and
// a front, and real nodes as processes. What it counts and the rules it checks are the model's.
//
// All records are taken at the stand-ins, so that times are those that the node's peers see. They are put in order and
// handed to the oracles at the end; a connection's end and the next attempt's begin can cross on the way, so an attempt
// that ends within Slack of the next one's arrival counts as ended before it.
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

// Slack is added to the rules' time limits: what is seen from outside crosses sockets and goroutines.
const Slack = 50 * time.Millisecond

// startTime is what all stand-ins and nodes have to come up in where nodes are told when the day begins.
const startupAllowance = 3 * time.Second

// agentPort is where all agents listen, each on its server's host. It lies below the ports that kernels hand out.
const agentPort = 9777

// Options of a run.
type Options struct {
	Binary string // portstall itself
	// Watch is called each second with what was counted so far. May be nil.
	Watch func(second int, r measure.Result)
	// Slack is what the rules' time limits are lengthened by; 0 means the package's own.
	Slack time.Duration
}

// rig is one run.
type rig struct {
	scenario     *scenario.Scenario
	options      Options
	ctx          context.Context
	dir          string
	startedAt    time.Time
	plannedStart time.Time // when the day is to begin, where nodes are told times of it
	servers      []*server
	nodes        []*node
	usesAgents   bool             // one beside each server
	proxies      []*standin.Proxy // before every other server each; none: servers are reached directly
	discovery    discovery
	targets      [][]int
	wg           sync.WaitGroup

	mu            sync.Mutex
	conditions    fleet.Weather
	activeFaults  []bool
	recorder      *measure.Recorder
	records       []record
	openAttempts  map[string]bool // attempts at servers, by request and number
	attemptCounts map[string]int
	errs          []error
	finished      bool // the run is over: nothing more is recorded
}

// Run plays a scenario. The error is one of the stand-ins or the nodes; breaches are in the result.
func Run(ctx context.Context, s scenario.Scenario, opt Options) (measure.Result, error) {
	for i, f := range s.Faults {
		if !scenario.Kinds[f.Kind].Rig {
			return measure.Result{}, fmt.Errorf("faults[%d].kind: the rig can't play %s: all its nodes and servers share one address", i, f.Kind)
		}
	}
	if s.Servers.Count > 200 || s.Nodes > 10 {
		return measure.Result{}, fmt.Errorf("%d servers and %d nodes are more than one machine plays; the model does", s.Servers.Count, s.Nodes)
	}
	if opt.Slack == 0 {
		opt.Slack = Slack
	}
	dir, err := os.MkdirTemp("", "portstall-rig")
	if err != nil {
		return measure.Result{}, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &rig{scenario: &s, options: opt, ctx: ctx, dir: dir, conditions: fleet.Weather{Slowdown: 1, Storm: 1}, activeFaults: make([]bool, len(s.Faults)),
		recorder: measure.New(s.Warmup, s.Duration), openAttempts: map[string]bool{}, attemptCounts: map[string]int{}, startedAt: time.Now()}
	r.discovery.rig = r
	defer r.cleanUp()
	if err := r.start(); err != nil {
		return measure.Result{}, err
	}
	r.runTimeline()
	return r.stopNodesAndCheck()
}

// now is the time since the scenario's start.
func (r *rig) now() time.Duration { return time.Since(r.startedAt) }

func (r *rig) start() error {
	if r.scenario.Cells.Size > 0 {
		r.plannedStart = time.Now().Add(startupAllowance)
	}
	list := r.scenario.Fleet()
	r.targets = r.scenario.Hits(list)
	r.usesAgents = r.checksUseAgents()
	for i, f := range list {
		v := &server{Server: f, rig: r, index: i, slots: f.Kind.Cores * f.Kind.SlotsPerCore,
			queueCap: f.Kind.Cores * f.Kind.QueuePerCore, launchedAt: -1, effects: fleet.Trouble{Slow: 1, Lie: 1},
			reports: fleet.Reports{Period: r.scenario.Servers.Reports.Period, Phase: rand.N(r.scenario.Servers.Reports.Period)}}
		var err error
		if v.host, err = standin.Host(); err != nil {
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
			v.agent.Asks(func() (string, bool) { return v.healthReply(true) })
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
			if r.scenario.Clients.Via == "connect" { // one listener does for both
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

// asksAgents tells whether nodes ask agents.
func (r *rig) checksUseAgents() bool {
	h := r.scenario.Health
	return h != nil && h.Checks != nil && h.Checks.Agent != nil
}

// entry is a server as the roster lists it. The server's lock is held, or nobody else knows it yet.
func (r *rig) listEntryOf(v *server, state string) listEntry {
	e := listEntry{Listed: standin.Listed{ID: fmt.Sprintf("s-%d", v.ID), Addr: v.addr, Zone: scenario.ZoneName(v.Zone), Kind: v.Kind.Name,
		Cell: v.Pod, State: state, Weight: 1}, index: v.index, launchedAt: v.launchedAt}
	if v.launchedAt >= 0 {
		e.Started = r.startedAt.Add(v.launchedAt).UnixMilli()
	}
	return e
}

// play lets the day pass: arrivals and faults at their times.
func (r *rig) runTimeline() {
	time.Sleep(time.Until(r.plannedStart)) // what the nodes were told of times counts from it
	r.startedAt = time.Now()
	var timers []*time.Timer
	at := func(t time.Duration, do func()) {
		r.wg.Add(1)
		timers = append(timers, time.AfterFunc(t-r.now(), func() {
			defer r.wg.Done()
			do()
		}))
	}
	for i := range r.scenario.Faults {
		at(r.scenario.Faults[i].At, func() { r.applyFault(i, true) })
		if !scenario.Kinds[r.scenario.Faults[i].Kind].Instant {
			at(r.scenario.Faults[i].End(), func() { r.applyFault(i, false) })
		}
	}
	if r.options.Watch != nil {
		for sec := 1; sec <= int(r.scenario.Duration/time.Second); sec++ {
			at(time.Duration(sec)*time.Second, func() {
				r.mu.Lock()
				res := r.recorder.Result()
				res.Series = slices.Clone(res.Series)
				r.mu.Unlock()
				r.options.Watch(sec, res)
			})
		}
	}
	whole := r.runArrivals(func(a scenario.Ask) {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.runOperation(a)
		}()
	})
	if !whole {
		for _, t := range timers {
			if t.Stop() {
				r.wg.Done()
			}
		}
	}
	r.wg.Wait()
}

// fail keeps an error of the stand-ins, which spoils the run.
func (r *rig) addError(err error) {
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, err)
	}
}

// finish lets the nodes leave and checks the rules.
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
		loads = append(loads, measure.ServerLoad{ID: v.ID, Kind: v.Kind.Name, Sent: v.attempts,
			Busy: v.totalWork / (float64(v.Kind.Cores) * v.Speed * r.scenario.Duration.Seconds())})
		v.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	if err := r.ctx.Err(); err != nil {
		return measure.Result{}, err
	}
	res := r.recorder.Result()
	res.Scenario, res.Policy, res.Seed, res.Engine, res.Wall = r.scenario.Name, "portstall", r.scenario.Seed, "rig", end.Seconds()
	res.Trigger = r.scenario.Trigger()
	book := r.checkRules(end)
	for rule, n := range book.Counts() {
		res.Broken[string(rule)] = n
	}
	for _, b := range book.Breaches() {
		res.Breaches = append(res.Breaches, b.String())
	}
	res.Servers = loads
	return res, errors.Join(r.errs...)
}

// stop ends whatever still runs.
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
