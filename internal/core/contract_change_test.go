package core

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

// Contracts that change in place: the first change puts the first ones in force, a contract that goes while its request is at a server
// leaves that request its final answer, made again it has what it had, and where the last one has gone everybody is let in, as without any.
func TestContractChangesTakeEffectInPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStubServers(t, 1)
		b.maxServiceTime, b.outcomes = 100*time.Millisecond, []policy.Outcome{policy.OK}
		c := newCore(t, b, 1)
		defer c.Close()
		change := func(ch contract.Change) {
			c.Lock()
			defer c.Unlock()
			c.Change(&ch)
		}
		begin := func(id, tenant string) *Request {
			q := &Request{ID: id, Class: "view", Tenant: tenant, Caller: contract.Caller{Tenant: tenant}, Patience: 4 * time.Second,
				Arrived: stubEnvironment{}.Now(), Body: stubEnvironment{}}
			if !c.Begin(q) {
				t.Fatalf("%s is not taken", id)
			}
			return q
		}
		end := func(q *Request) Answer {
			a := <-q.Answer()
			releasePayload(a.Payload)
			c.Written(q)
			return a
		}
		change(contract.Change{Gone: []string{"none"}})
		if c.Stats(10).Contracts {
			t.Error("a change without contracts puts some in force")
		}
		one := contract.Terms{Name: "one", Matches: []contract.Match{{Tenant: "one"}}, Rate: 0.001, Burst: 2, InFlight: 8, Weight: 1}
		change(contract.Change{Put: []contract.Terms{one}})
		if a := end(begin("a", "none")); a.Kind != RejectedByContract || a.Rule != contract.None {
			t.Errorf("without a contract: %+v", a)
		}
		q := begin("b", "one")
		change(contract.Change{Gone: []string{"one"}})
		if c.Stats(10).Contracts {
			t.Error("the last contract has gone, and contracts are in force")
		}
		if _, _, err := c.Explain(&contract.Caller{}, "view", false); err != ErrNoContracts {
			t.Errorf("without contracts: %v", err)
		}
		if a := end(q); a.Kind == RejectedByContract {
			t.Errorf("its contract has gone: %+v", a)
		}
		if a := end(begin("c", "none")); a.Kind == RejectedByContract {
			t.Errorf("no contracts are in force: %+v", a)
		}
		change(contract.Change{Put: []contract.Terms{one}})
		if s := c.Stats(10); len(s.Levels) != 1 || s.Levels[0].InFlight != 0 || s.Levels[0].Admitted != 1 {
			t.Errorf("made again: %+v", s)
		}
		if a := end(begin("d", "one")); a.Kind != RejectedByContract || a.Rule != contract.Rate {
			t.Errorf("a second burst: %+v", a)
		}
	})
}

// Contracts that go, come back and change while requests of theirs are asked for, at servers and answered: each request has its one
// answer, and in the end nothing is in flight, of a contract that is there or of one that is remembered.
func TestContractChangesDuringOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStubServers(t, 1)
		b.maxServiceTime, b.outcomes = 30*time.Millisecond, []policy.Outcome{policy.OK, policy.Failed, policy.Reset}
		c := newCore(t, b, 1)
		defer c.Close()
		r := rand.New(rand.NewPCG(1, 2))
		name := func() string { return fmt.Sprint("t", r.IntN(4)) }
		var all sync.WaitGroup
		answered := make([]int, 400)
		barred := 0
		for i := range answered {
			if r.IntN(2) == 0 {
				tenant := name()
				ch := contract.Change{Gone: []string{tenant}}
				if r.IntN(3) > 0 {
					ch = contract.Change{Put: []contract.Terms{{Name: tenant, Matches: []contract.Match{{Tenant: tenant}}, InFlight: 1 + r.IntN(20), Weight: 1,
						Bounded: true, Ratio: 1, Window: time.Second}}}
				}
				c.Lock()
				c.Change(&ch)
				c.Unlock()
			}
			tenant := name()
			q := &Request{ID: fmt.Sprint("r", i), Class: "view", Tenant: tenant, Caller: contract.Caller{Tenant: tenant}, Patience: 4 * time.Second,
				Arrived: stubEnvironment{}.Now(), Body: stubEnvironment{}}
			if !c.Begin(q) {
				t.Fatalf("%s is not taken", q.ID)
			}
			all.Go(func() {
				a := <-q.Answer()
				releasePayload(a.Payload)
				b.mu.Lock()
				if answered[i]++; a.Kind == RejectedByContract {
					barred++
				}
				b.mu.Unlock()
				c.Written(q)
			})
			time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		}
		all.Wait()
		for i, n := range answered {
			if n != 1 {
				t.Errorf("request %d has %d answers", i, n)
			}
		}
		if barred == 0 || barred == len(answered) {
			t.Errorf("%d of %d were barred: the test shows nothing", barred, len(answered))
		}
		c.Lock()
		var back contract.Change
		for i := range 4 {
			tenant := fmt.Sprint("t", i)
			back.Put = append(back.Put, contract.Terms{Name: tenant, Matches: []contract.Match{{Tenant: tenant}}, Weight: 1})
		}
		c.Change(&back)
		c.Unlock()
		levels := c.Stats(10).Levels
		if len(levels) != 4 {
			t.Fatalf("%+v", levels)
		}
		for _, l := range levels {
			if l.InFlight != 0 || l.Admitted == 0 {
				t.Errorf("%+v", l)
			}
		}
	})
}
