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

// Contracts change in place: the first change puts the first contracts in force; removing a contract while its request
// is at a server still lets that request get its response; a contract that is added again has its former state; and
// once the last contract is removed every caller is admitted, as without contracts.
func TestContractChangesTakeEffectInPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := newStubServers(t, 1)
		servers.maxServiceTime, servers.outcomes = 100*time.Millisecond, []policy.Outcome{policy.OK}
		c := newCore(t, servers, 1)
		defer c.Close()
		change := func(ch contract.Change) {
			c.Lock()
			defer c.Unlock()
			c.ChangeContracts(&ch)
		}
		begin := func(id, tenant string) *Request {
			q := &Request{ID: id, Class: "view", Tenant: tenant, Caller: contract.Caller{Tenant: tenant}, Timeout: 4 * time.Second,
				Arrived: stubEnvironment{}.Now(), Body: stubEnvironment{}}
			if !c.Begin(q) {
				t.Fatalf("Begin did not accept %s", id)
			}
			return q
		}
		end := func(q *Request) Response {
			response := <-q.Response()
			releasePayload(response.Payload)
			c.ResponseWritten(q)
			return response
		}
		change(contract.Change{Removed: []string{"none"}})
		if c.Stats(10).HasContracts {
			t.Error("a change that adds no contract puts contracts in force")
		}
		one := contract.Terms{Name: "one", Matches: []contract.Match{{Tenant: "one"}}, Rate: 0.001, Burst: 2, InFlight: 8, Weight: 1}
		change(contract.Change{Put: []contract.Terms{one}})
		if a := end(begin("a", "none")); a.Kind != RejectedByContract || a.Rule != contract.None {
			t.Errorf("response to a caller without a contract: %+v", a)
		}
		q := begin("b", "one")
		change(contract.Change{Removed: []string{"one"}})
		if c.Stats(10).HasContracts {
			t.Error("contracts are in force after the last one was removed")
		}
		if _, _, err := c.Explain(&contract.Caller{}, "view", false); err != ErrNoContracts {
			t.Errorf("Explain without contracts: error %v", err)
		}
		if a := end(q); a.Kind == RejectedByContract {
			t.Errorf("open request whose contract was removed: %+v", a)
		}
		if a := end(begin("c", "none")); a.Kind == RejectedByContract {
			t.Errorf("request while no contracts are in force: %+v", a)
		}
		change(contract.Change{Put: []contract.Terms{one}})
		if s := c.Stats(10); len(s.ContractStatuses) != 1 || s.ContractStatuses[0].InFlight != 0 || s.ContractStatuses[0].Admitted != 1 {
			t.Errorf("contract that was removed and added again: %+v", s)
		}
		if a := end(begin("d", "one")); a.Kind != RejectedByContract || a.Rule != contract.Rate {
			t.Errorf("request beyond the burst of a contract that was added again: %+v", a)
		}
	})
}

// Contracts are removed, added again and changed while their requests are admitted, at servers and responded to. Each
// request must get one response, and afterwards no contract may count a request in flight, neither a current nor a
// remembered one.
func TestContractChangesDuringOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := newStubServers(t, 1)
		servers.maxServiceTime, servers.outcomes = 30*time.Millisecond, []policy.Outcome{policy.OK, policy.Failed, policy.Reset}
		c := newCore(t, servers, 1)
		defer c.Close()
		r := rand.New(rand.NewPCG(1, 2))
		name := func() string { return fmt.Sprint("t", r.IntN(4)) }
		var all sync.WaitGroup
		responses := make([]int, 400)
		rejected := 0
		for i := range responses {
			if r.IntN(2) == 0 {
				tenant := name()
				ch := contract.Change{Removed: []string{tenant}}
				if r.IntN(3) > 0 {
					ch = contract.Change{Put: []contract.Terms{{Name: tenant, Matches: []contract.Match{{Tenant: tenant}}, InFlight: 1 + r.IntN(20), Weight: 1,
						RetriesBounded: true, RetryRatio: 1, RetryWindow: time.Second}}}
				}
				c.Lock()
				c.ChangeContracts(&ch)
				c.Unlock()
			}
			tenant := name()
			q := &Request{ID: fmt.Sprint("r", i), Class: "view", Tenant: tenant, Caller: contract.Caller{Tenant: tenant}, Timeout: 4 * time.Second,
				Arrived: stubEnvironment{}.Now(), Body: stubEnvironment{}}
			if !c.Begin(q) {
				t.Fatalf("Begin did not accept %s", q.ID)
			}
			all.Go(func() {
				response := <-q.Response()
				releasePayload(response.Payload)
				servers.mu.Lock()
				if responses[i]++; response.Kind == RejectedByContract {
					rejected++
				}
				servers.mu.Unlock()
				c.ResponseWritten(q)
			})
			time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		}
		all.Wait()
		for i, n := range responses {
			if n != 1 {
				t.Errorf("request %d has %d responses", i, n)
			}
		}
		if rejected == 0 || rejected == len(responses) {
			t.Errorf("%d of %d requests were rejected: the test covers only one case", rejected, len(responses))
		}
		c.Lock()
		var restored contract.Change
		for i := range 4 {
			tenant := fmt.Sprint("t", i)
			restored.Put = append(restored.Put, contract.Terms{Name: tenant, Matches: []contract.Match{{Tenant: tenant}}, Weight: 1})
		}
		c.ChangeContracts(&restored)
		c.Unlock()
		levels := c.Stats(10).ContractStatuses
		if len(levels) != 4 {
			t.Fatalf("contracts %+v, want four", levels)
		}
		for _, l := range levels {
			if l.InFlight != 0 || l.Admitted == 0 {
				t.Errorf("contract at the end: %+v, want none in flight and some admitted", l)
			}
		}
	})
}
