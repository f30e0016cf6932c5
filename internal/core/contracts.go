package core

import (
	"errors"
	"time"

	"portstall/internal/contract"
)

// admission records under which contract a request was admitted.
type admission struct {
	contract   string // name; empty without contracts, and once the admission is settled
	verdict    contract.Verdict
	serverTime time.Duration // time at web servers, summed over all attempts
}

// ErrNoContracts is returned when no contracts are in force.
var ErrNoContracts = errors.New("no contracts are in force")

// SetContracts puts a table of contracts in force; nil means none. Contracts that stay keep their remaining quota. The
// lock must be held.
func (c *Core) SetContracts(t *contract.Table) {
	switch {
	case t == nil:
		c.ledger = nil
	case c.ledger == nil:
		c.ledger = contract.NewLedger(t, c.Now(), c.initialShare)
	default:
		c.ledger.ReplaceTable(t)
	}
}

// ChangeContracts applies a change of the contracts, which must have been checked. The time it takes depends on the
// size of the change, not on the number of contracts. The lock must be held.
func (c *Core) ChangeContracts(ch *contract.Change) {
	if c.ledger == nil {
		if len(ch.Put) == 0 {
			return
		}
		t, _ := contract.NewTable(nil) // an empty table can't fail
		c.ledger = contract.NewLedger(t, c.Now(), c.initialShare)
	}
	c.ledger.ApplyChange(c.Now(), ch)
}

// hasContracts reports whether contracts are in force.
func (c *Core) hasContracts() bool { return c.ledger != nil && c.ledger.Table().Count() > 0 }

// ContractStates returns the remaining quota of the contracts. The lock must be held.
func (c *Core) ContractStates() []contract.ContractState {
	if c.ledger == nil {
		return nil
	}
	return c.ledger.States(c.Now())
}

// AdoptContractStates continues from the contract states of another process. If credit is false only its debts are
// adopted. The lock must be held.
func (c *Core) AdoptContractStates(states []contract.ContractState, credit bool) {
	if c.ledger != nil {
		c.ledger.Restore(c.Now(), states, credit)
	}
}

// SetProcessShare sets the share of this node's quotas that this process hands out. If empty is true the unused quota
// is dropped first, because it belongs to another process. The lock must be held.
func (c *Core) SetProcessShare(share float64, empty bool) {
	if c.ledger == nil {
		return
	}
	if empty {
		c.ledger.DropCredit(c.Now())
	}
	c.ledger.SetProcessShare(share)
}

// admit checks a request against the contracts, and gives a request that they reject its final response.
func (c *Core) admit(now time.Duration, r *Request) bool {
	if !c.hasContracts() {
		return true
	}
	c.ledger.SetPressure(now, c.balancer.Pressure())
	if share, known := c.balancer.TrafficShare(); known {
		c.ledger.SetTrafficShare(now, share)
	}
	t := c.ledger.Table()
	v := c.ledger.Admit(now, t.Find(&r.Caller), r.Class, r.CostHint, r.Repeat)
	if v.Contract >= 0 {
		r.admission.contract = t.Terms(v.Contract).Name
	}
	r.admission.verdict = v
	if v.Rule == contract.Admitted {
		return true
	}
	r.responded = true
	r.response <- Response{Kind: RejectedByContract, RetryAfter: v.RetryAfter, Rule: v.Rule, Contract: r.admission.contract}
	return false
}

// settleAdmission reports the end of a request to its contract.
func (c *Core) settleAdmission(r *Request) {
	if c.ledger != nil && r.admission.contract != "" {
		c.ledger.Done(c.Now(), r.admission.contract, r.admission.verdict, r.admission.serverTime.Seconds())
	}
	r.admission.contract = ""
}

// mayRetry reports whether the contracts allow a retry of a request.
func (c *Core) mayRetry(now time.Duration, r *Request) bool {
	if c.ledger == nil || r.admission.contract == "" {
		return true
	}
	i, known := c.ledger.Table().Slot(r.admission.contract)
	if !known {
		return true // a contract that was removed limits nothing: open requests stay admitted
	}
	return c.ledger.AllowRetry(now, i, r.Class)
}

// Pace charges bytes of a request's tunnel to its contract, and returns how long to wait before more bytes are passed
// on.
func (c *Core) Pace(r *Request, bytes int) time.Duration {
	c.Lock()
	defer c.Unlock()
	if c.ledger == nil || r.admission.contract == "" {
		return 0
	}
	return c.ledger.Pace(c.Now(), r.admission.contract, r.admission.verdict, bytes)
}

// Explain returns the verdict that the contracts would give a caller now, without charging it, and the status of its
// contract. If the verdict's Contract is -1 the caller has none, and the status is zero. The only error is
// ErrNoContracts.
func (c *Core) Explain(who *contract.Caller, class string, repeat bool) (contract.Verdict, contract.Status, error) {
	c.Lock()
	defer c.Unlock()
	if !c.hasContracts() {
		return contract.Verdict{}, contract.Status{}, ErrNoContracts
	}
	now, i := c.Now(), c.ledger.Table().Find(who)
	if i < 0 {
		return contract.Verdict{Rule: contract.None, Contract: i}, contract.Status{}, nil
	}
	return c.ledger.Preview(now, i, class, repeat), c.ledger.Status(now, i), nil
}

// Stats are the figures that a Core reports about itself.
type Stats struct {
	Pressure     float64 // share of recent requests for which no server in normal mode was available
	OpenRequests int     // requests accepted and not ended
	HasContracts bool    // contracts are in force; the fields below are set only then
	// AllowedWork is the work that all requests together may use, in server-seconds per second; it is infinite without
	// pressure. WorkInUse is the work that they do use.
	AllowedWork, WorkInUse float64
	ContractShare          float64           // share of the contracts that this node hands out
	ContractStatuses       []contract.Status // of contracts that have been used
}

// Stats returns the current figures, with the status of at most the given number of contracts.
func (c *Core) Stats(levels int) Stats {
	c.Lock()
	defer c.Unlock()
	s := Stats{Pressure: c.balancer.Pressure(), OpenRequests: len(c.requests), HasContracts: c.hasContracts()}
	if s.HasContracts {
		s.AllowedWork, s.WorkInUse, s.ContractShare = c.ledger.AllowedWork(), c.ledger.WorkInUse(), c.ledger.NodeShare()
		s.ContractStatuses = c.ledger.Statuses(c.Now(), levels)
	}
	return s
}
