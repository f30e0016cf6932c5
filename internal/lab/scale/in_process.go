package scale

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

// This file holds the measurements that a worker makes within its own process, without sockets.

// tenantTerms returns the terms of the i-th tenant's contract.
func tenantTerms(i int) contract.Terms {
	return contract.Terms{Name: fmt.Sprintf("tenant-%05d", i),
		Matches: []contract.Match{{Tenant: fmt.Sprintf("tenant-%05d", i)}},
		Classes: map[string]bool{"search": true, "waitlist-join": true}, Rate: 5, Burst: 10, InFlight: 20, RetryRatio: 0.2,
		RetryWindow: 10 * time.Second,
		RetryFloor:  1, RetriesBounded: true, Guaranteed: 1, Limit: 4, Weight: 1, LendableShare: 1}
}

// contractsCost measures what the given number of contracts takes: heap bytes before and after their first use, seconds
// to make the table, and seconds to look up a contract and admit a request.
func contractsCost(count int) map[string]float64 {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	list := make([]contract.Terms, count)
	for i := range list {
		list[i] = tenantTerms(i)
	}
	startedAt := time.Now()
	table, err := contract.NewTable(list)
	if err != nil {
		panic(err) // the terms above are valid
	}
	made := time.Since(startedAt)
	clear(list)
	list = nil
	ledger := contract.NewLedger(table, 0, 1)
	unused := heap()
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%05d", i)
	}
	nameBytes := heap() - unused
	admit := func(now time.Duration) {
		for _, name := range names {
			v := ledger.Admit(now, table.Find(&contract.Caller{Tenant: name}), "search", 0.05, false)
			if v.Rule == contract.Admitted {
				ledger.Done(now, name, v, 0.05)
			}
		}
	}
	admit(time.Second)
	used := heap() - nameBytes
	startedAt = time.Now()
	const rounds = 4
	for i := range rounds {
		admit(time.Duration(i+2) * 10 * time.Second)
	}
	elapsed := time.Since(startedAt)
	runtime.KeepAlive(ledger)
	runtime.KeepAlive(names)
	return map[string]float64{"unused": unused - before, "used": used - before, "made": made.Seconds(),
		"request": elapsed.Seconds() / float64(rounds*count)}
}

// planCost measures in seconds how long the policy's plan takes for the given number of servers.
func planCost(servers int) map[string]float64 {
	b, err := policy.New(policySettings(), 1)
	if err != nil {
		panic(err) // the settings below are valid
	}
	now := time.Hour
	ev := policy.Event{Kind: policy.EvList, List: policy.ListFull}
	for i := range servers {
		ev.Entries = append(ev.Entries, policy.Entry{ID: uint32(i + 1), Zone: zoneName(i % 11), ServerType: "standard"})
	}
	out := b.Handle(now, &ev, nil)
	const rounds = 200
	startedAt := time.Now()
	for range rounds {
		now += 250 * time.Millisecond
		out = b.Handle(now, &policy.Event{Kind: policy.EvTimer, Token: "tick"}, out[:0])
	}
	return map[string]float64{"plan": time.Since(startedAt).Seconds() / rounds}
}

// membersCost simulates members and returns what they sent and what CPU time this process used for it. A simulation
// that exceeds the limit returns no figures.
func membersCost(n int, phase, limit time.Duration) (workerReply, error) {
	before := cpuTime(os.Getpid())
	traffic, err := SimulateMembers(context.Background(), n, 1, phase, limit)
	switch {
	case errors.Is(err, errTooSlow):
		return workerReply{Late: err.Error()}, nil
	case err != nil:
		return workerReply{}, err
	}
	f := map[string]float64{"bytes": traffic.BytesPerSecond, "join": traffic.JoinBytesPerSecond,
		"known": traffic.MinKnownShare, "signs": traffic.SignaturesPerSecond, "checks": traffic.ChecksPerSecond,
		"cpu": (cpuTime(os.Getpid()) - before).Seconds() / (2 * phase.Seconds() * float64(n))}
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return workerReply{}, err
	}
	const rounds = 2000
	text := make([]byte, 200)
	var sig []byte
	startedAt := time.Now()
	for range rounds {
		sig = ed25519.Sign(key, text)
	}
	f["sign"], startedAt = time.Since(startedAt).Seconds()/rounds, time.Now()
	for range rounds {
		ed25519.Verify(key.Public().(ed25519.PublicKey), text, sig)
	}
	f["check"] = time.Since(startedAt).Seconds() / rounds
	return workerReply{Figures: f}, nil
}

// policySettings returns settings like those of a node's configuration.
func policySettings() policy.Settings {
	return policy.Settings{Zone: zoneName(0), Nodes: 450, MustAsk: true, MaxAttempts: 3, Cancel: true,
		DrainGrace: time.Second,
		ColdFor:    10 * time.Second, ColdShare: 0.2, FallFactor: 2.5, FallFor: 1500 * time.Millisecond,
		MustAskIn: 10 * time.Second,
		Classes:   []policy.Class{{Name: "search", TargetLatency: 800 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}}}
}

// SplitResult reports what a contract that is split among nodes admits.
type SplitResult struct {
	Nodes int
	// RefusedShare is the share of refused requests of a tenant within its contract, after the first ten seconds.
	RefusedShare float64
	// InitialAdmitted counts the requests of a flooding tenant admitted in the first 10 s, as a share of what its contract
	// allows.
	InitialAdmitted float64
	IdleAdmitted    float64 // the same, if the nodes see the tenant for the first time after ten minutes
}

// SplitContract simulates, in virtual time, a contract with rate and burst that is split among nodes, each with a real
// ledger. One tenant stays within the contract and sends requests at a constant rate; another one floods. Their
// requests are spread over the nodes by a hash of the seed.
func SplitContract(nodes int, seed string, lawful, flood float64, length time.Duration) SplitResult {
	const class = "search"
	terms := contract.Terms{Name: "t", Matches: []contract.Match{{Tenant: "t"}}, Rate: 5, Burst: 10, Weight: 1}
	ledgers := func() []*contract.Ledger {
		var all []*contract.Ledger
		for range nodes {
			table, err := contract.NewTable([]contract.Terms{terms})
			if err != nil {
				panic(err) // the terms above are valid
			}
			all = append(all, contract.NewLedger(table, 0, 1/float64(nodes)))
		}
		return all
	}
	node := func(i int) int {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", seed, i))
		return int(uint64(sum[0])|uint64(sum[1])<<8|uint64(sum[2])<<16|uint64(sum[3])<<24) % nodes
	}
	play := func(rate float64, from, to time.Duration, all []*contract.Ledger) (asked, in int) {
		for i := 0; ; i++ {
			now := from + time.Duration(float64(i)/rate*float64(time.Second))
			if now >= to {
				return asked, in
			}
			ledger := all[node(i)]
			ledger.SetPressure(now, 0)
			v := ledger.Admit(now, 0, class, 0.05, false)
			asked++
			if v.Rule == contract.Admitted {
				in++
				ledger.Done(now, "t", v, 0.05)
			}
		}
	}
	p := SplitResult{Nodes: nodes}
	all := ledgers()
	play(lawful, 0, 10*time.Second, all)
	asked, in := play(lawful, 10*time.Second, 10*time.Second+length, all)
	p.RefusedShare = 1 - float64(in)/float64(asked)
	allowed := terms.Burst + terms.Rate*10
	_, in = play(flood, 0, 10*time.Second, ledgers())
	p.InitialAdmitted = float64(in) / allowed
	_, in = play(flood, 10*time.Minute, 10*time.Minute+10*time.Second, ledgers())
	p.IdleAdmitted = float64(in) / allowed
	return p
}
