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

// Load sends a scenario's clients to nodes that run already, and counts what they are answered. It checks no rules, since
// it sees only one side. Addresses that are not of the loopback network are refused.
func Load(ctx context.Context, s scenario.Scenario, addrs []string) (measure.Result, error) {
	for _, a := range addrs {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return measure.Result{}, fmt.Errorf("addr: %q is not host:port", a)
		}
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			return measure.Result{}, fmt.Errorf("addr: %s is no loopback address", a)
		}
	}
	r := &rig{scenario: &s, options: Options{Slack: Slack}, ctx: ctx, startedAt: time.Now(), conditions: fleet.Weather{Slowdown: 1, Storm: 1}, finished: true, // records nothing
		recorder: measure.New(s.Warmup, s.Duration)}
	for i, a := range addrs {
		n := &node{rig: r, index: i, addr: a, client: newClient("", ""), running: true, inRotation: true}
		defer n.client.CloseIdleConnections()
		r.nodes = append(r.nodes, n)
	}
	var wg sync.WaitGroup
	r.runArrivals(func(a scenario.Ask) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runOperation(a)
		}()
	})
	wg.Wait()
	res := r.recorder.Result()
	res.Scenario, res.Policy, res.Seed, res.Engine, res.Wall = s.Name, "a running node", s.Seed, "load", r.now().Seconds()
	return res, ctx.Err()
}

// arrivals calls do for each ask at its time, until there are no more or the run is given up; it tells which.
func (r *rig) runArrivals(do func(a scenario.Ask)) bool {
	asks := r.scenario.Asks()
	for {
		a, ok := asks.Next()
		if !ok {
			return true
		}
		select {
		case <-time.After(a.At - r.now()):
			do(a)
		case <-r.ctx.Done():
			return false
		}
	}
}
