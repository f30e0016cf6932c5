package rig

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"portstall/internal/lab/fleet"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/scenario"
)

// Load sends the requests of a scenario's clients to nodes that already run, and returns the results as clients see
// them. It checks no rules, since it does not see the web servers. Addresses outside the loopback network are rejected.
func Load(ctx context.Context, s scenario.Scenario, addrs []string) (measure.Result, error) {
	for _, addr := range addrs {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return measure.Result{}, fmt.Errorf("addr: %q is not host:port", addr)
		}
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			return measure.Result{}, fmt.Errorf("addr: %s is no loopback address", addr)
		}
	}
	r := &rig{scenario: &s, options: Options{Slack: DefaultSlack}, ctx: ctx, startedAt: time.Now(),
		fleetEffects: fleet.FleetEffects{Slowdown: 1, RetryFactor: 1},
		finished:     true, // no records for the rules
		recorder:     measure.NewRecorder(s.Warmup, s.Duration)}
	for i, addr := range addrs {
		n := &node{rig: r, index: i, addr: addr, client: newClient("", ""), running: true, inRotation: true}
		defer n.client.CloseIdleConnections()
		r.nodes = append(r.nodes, n)
	}
	var wg sync.WaitGroup
	r.runArrivals(func(op scenario.Operation) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runOperation(op)
		}()
	})
	wg.Wait()
	result := r.recorder.Result()
	result.Scenario, result.Policy, result.Seed, result.Engine, result.Wall = s.Name, "a running node", s.Seed, "load",
		r.now().Seconds()
	return result, ctx.Err()
}

// runArrivals calls do for each operation at its start time. It returns true after the last one, and false if the run
// is canceled before.
func (r *rig) runArrivals(do func(op scenario.Operation)) bool {
	workload := r.scenario.Workload()
	for {
		op, ok := workload.Next()
		if !ok {
			return true
		}
		select {
		case <-time.After(op.At - r.now()):
			do(op)
		case <-r.ctx.Done():
			return false
		}
	}
}
