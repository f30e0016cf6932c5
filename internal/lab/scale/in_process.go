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

// What is measured within a worker, where no sockets are in play.

// terms is one contract of a tenant.
func tenantTerms(i int) contract.Terms {
	return contract.Terms{Name: fmt.Sprintf("tenant-%05d", i), Matches: []contract.Match{{Tenant: fmt.Sprintf("tenant-%05d", i)}},
		Classes: map[string]bool{"search": true, "waitlist-join": true}, Rate: 5, Burst: 10, InFlight: 20, Ratio: 0.2, Window: 10 * time.Second,
		Floor: 1, Bounded: true, Guaranteed: 1, Limit: 4, Weight: 1, Lends: 1}
}

// contractsCost is what so many contracts take: heap without and with use, and the time to look one up and admit a request.
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
	begun := time.Now()
	t, err := contract.NewTable(list)
	if err != nil {
		panic(err) // they are ours, and sound
	}
	made := time.Since(begun)
	clear(list)
	list = nil
	l := contract.NewLedger(t, 0, 1)
	unused := heap()
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%05d", i)
	}
	own := heap() - unused
	admit := func(now time.Duration) {
		for _, name := range names {
			v := l.Admit(now, t.Find(&contract.Caller{Tenant: name}), "search", 0.05, false)
			if v.Rule == contract.Kept {
				l.Done(now, name, v, 0.05)
			}
		}
	}
	admit(time.Second)
	used := heap() - own
	begun = time.Now()
	const rounds = 4
	for i := range rounds {
		admit(time.Duration(i+2) * 10 * time.Second)
	}
	took := time.Since(begun)
	runtime.KeepAlive(l)
	runtime.KeepAlive(names)
	return map[string]float64{"unused": unused - before, "used": used - before, "made": made.Seconds(),
		"request": took.Seconds() / float64(rounds*count)}
}

// planCost is what the policy's plan takes over so many servers, of which one in ten was used lately.
func planCost(servers int) map[string]float64 {
	b, err := policy.New(policySettings(), 1)
	if err != nil {
		panic(err) // the settings are ours, and sound
	}
	now := time.Hour
	ev := policy.Event{Kind: policy.EvList, List: policy.ListFull}
	for i := range servers {
		ev.Entries = append(ev.Entries, policy.Entry{ID: uint32(i + 1), Zone: zoneName(i % 11), Kind: "standard"})
	}
	out := b.Handle(now, &ev, nil)
	const rounds = 200
	begun := time.Now()
	for range rounds {
		now += 250 * time.Millisecond
		out = b.Handle(now, &policy.Event{Kind: policy.EvTimer, Token: "tick"}, out[:0])
	}
	return map[string]float64{"plan": time.Since(begun).Seconds() / rounds}
}

// membersCost plays members, and tells what they sent and what this process worked for it. One that is late has no figures.
func membersCost(n int, each, limit time.Duration) (workerReply, error) {
	before := cpuTime(os.Getpid())
	t, err := SimulateMembers(context.Background(), n, 1, each, limit)
	switch {
	case errors.Is(err, errTooSlow):
		return workerReply{Late: err.Error()}, nil
	case err != nil:
		return workerReply{}, err
	}
	f := map[string]float64{"bytes": t.BytesPerSecond, "join": t.JoinBytesPerSecond, "known": t.MinKnownShare, "signs": t.SignaturesPerSecond, "checks": t.ChecksPerSecond,
		"cpu": (cpuTime(os.Getpid()) - before).Seconds() / (2 * each.Seconds() * float64(n))}
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return workerReply{}, err
	}
	const rounds = 2000
	text := make([]byte, 200)
	var sig []byte
	begun := time.Now()
	for range rounds {
		sig = ed25519.Sign(key, text)
	}
	f["sign"], begun = time.Since(begun).Seconds()/rounds, time.Now()
	for range rounds {
		ed25519.Verify(key.Public().(ed25519.PublicKey), text, sig)
	}
	f["check"] = time.Since(begun).Seconds() / rounds
	return workerReply{Figures: f}, nil
}

func policySettings() policy.Settings {
	return policy.Settings{Zone: zoneName(0), Nodes: 450, MustAsk: true, MaxAttempts: 3, Cancel: true, DrainGrace: time.Second,
		ColdFor: 10 * time.Second, ColdShare: 0.2, FallFactor: 2.5, FallFor: 1500 * time.Millisecond, MustAskIn: 10 * time.Second,
		Classes: []policy.Class{{Name: "search", Aim: 800 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1}}}
}

// Part is what a contract that is split over so many nodes lets in.
type SplitResult struct {
	Nodes           int
	RefusedShare    float64 // part of a lawful tenant's requests that were refused, after the first ten seconds
	InitialAdmitted float64 // of one that floods: requests let in within the first 10 s, as a part of what its contract allows
	IdleAdmitted    float64 // the same where all nodes see it for the first time ten minutes later
}

// SplitContract plays a contract of rate and burst over so many nodes, each with a real ledger, in virtual time. A tenant that
// stays within the contract asks at even times, its requests dealt out to nodes by a hash of the seed; another one floods.
func SplitContract(nodes int, seed string, lawful, flood float64, length time.Duration) SplitResult {
	const class = "search"
	t := contract.Terms{Name: "t", Matches: []contract.Match{{Tenant: "t"}}, Rate: 5, Burst: 10, Weight: 1}
	ledgers := func() []*contract.Ledger {
		var all []*contract.Ledger
		for range nodes {
			table, err := contract.NewTable([]contract.Terms{t})
			if err != nil {
				panic(err) // it is ours, and sound
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
			l := all[node(i)]
			l.Look(now, 0)
			v := l.Admit(now, 0, class, 0.05, false)
			asked++
			if v.Rule == contract.Kept {
				in++
				l.Done(now, "t", v, 0.05)
			}
		}
	}
	p := SplitResult{Nodes: nodes}
	all := ledgers()
	play(lawful, 0, 10*time.Second, all)
	asked, in := play(lawful, 10*time.Second, 10*time.Second+length, all)
	p.RefusedShare = 1 - float64(in)/float64(asked)
	allowed := t.Burst + t.Rate*10
	_, in = play(flood, 0, 10*time.Second, ledgers())
	p.InitialAdmitted = float64(in) / allowed
	_, in = play(flood, 10*time.Minute, 10*time.Minute+10*time.Second, ledgers())
	p.IdleAdmitted = float64(in) / allowed
	return p
}
