package core

import (
	"errors"
	"time"

	"portstall/internal/contract"
)

// grant is what a contract has let a request in by.
type admission struct {
	contract   string // of the contract; empty where there are no contracts
	verdict    contract.Verdict
	serverTime time.Duration // at servers, all attempts together
}

// ErrNoContracts says that none are in force.
var ErrNoContracts = errors.New("no contracts are in force")

// Bind puts contracts in force; nil: none. What is left of those that stay, stays. The lock is held.
func (c *Core) Bind(t *contract.Table) {
	switch {
	case t == nil:
		c.ledger = nil
	case c.ledger == nil:
		c.ledger = contract.NewLedger(t, c.Now(), c.initialShare)
	default:
		c.ledger.Swap(t)
	}
}

// Change puts a change of the contracts in force, in time that goes with what it changes. It must have been checked. The lock is
// held.
func (c *Core) Change(ch *contract.Change) {
	if c.ledger == nil {
		if len(ch.Put) == 0 {
			return
		}
		t, _ := contract.NewTable(nil) // nothing can be wrong with none
		c.ledger = contract.NewLedger(t, c.Now(), c.initialShare)
	}
	c.ledger.Change(c.Now(), ch)
}

// bound tells whether contracts are in force.
func (c *Core) hasContracts() bool { return c.ledger != nil && c.ledger.Table().Count() > 0 }

// Left is what is left of the contracts. The lock is held.
func (c *Core) Left() []contract.Left {
	if c.ledger == nil {
		return nil
	}
	return c.ledger.Left(c.Now())
}

// Resume goes on from what another process had left of the contracts; without credit only from its debts. The lock is held.
func (c *Core) Resume(left []contract.Left, credit bool) {
	if c.ledger != nil {
		c.ledger.Resume(c.Now(), left, credit)
	}
}

// Portion sets which portion of this node's part of the contracts this process hands out. Empty takes what is left unused: it
// is another process's. The lock is held.
func (c *Core) Portion(p float64, empty bool) {
	if c.ledger == nil {
		return
	}
	if empty {
		c.ledger.Empty(c.Now())
	}
	c.ledger.Portion(p)
}

// admit asks the contracts, and gives a request that they turn away its final answer.
func (c *Core) admit(now time.Duration, r *Request) bool {
	if !c.hasContracts() {
		return true
	}
	c.ledger.Look(now, c.balancer.Pressure())
	if part, known := c.balancer.Part(); known {
		c.ledger.Share(now, part)
	}
	t := c.ledger.Table()
	v := c.ledger.Admit(now, t.Find(&r.Caller), r.Class, r.Hint, r.Repeat)
	if v.Contract >= 0 {
		r.admission.contract = t.Terms(v.Contract).Name
	}
	r.admission.verdict = v
	if v.Rule == contract.Kept {
		return true
	}
	r.responded = true
	r.response <- Answer{Kind: RejectedByContract, RetryAfter: v.RetryAfter, Rule: v.Rule, Contract: r.admission.contract}
	return false
}

// settleGrant tells the contracts that a request is over.
func (c *Core) settleAdmission(r *Request) {
	if c.ledger != nil && r.admission.contract != "" {
		c.ledger.Done(c.Now(), r.admission.contract, r.admission.verdict, r.admission.serverTime.Seconds())
	}
	r.admission.contract = ""
}

// maySendAgain tells whether the contracts let a request be sent once more.
func (c *Core) mayRetry(now time.Duration, r *Request) bool {
	if c.ledger == nil || r.admission.contract == "" {
		return true
	}
	i, known := c.ledger.Table().Slot(r.admission.contract)
	if !known {
		return true // its contract has gone: requests under way keep what they came with, and it bounds nothing now
	}
	return c.ledger.Further(now, i, r.Class)
}

// Pace charges bytes of a request's body or tunnel to its contract, and tells how long to wait before any more are passed.
func (c *Core) Pace(r *Request, bytes int) time.Duration {
	c.Lock()
	defer c.Unlock()
	if c.ledger == nil || r.admission.contract == "" {
		return 0
	}
	return c.ledger.Pace(c.Now(), r.admission.contract, r.admission.verdict, bytes)
}

// Explain tells what the contracts would say to a caller now, and charges nothing. The level is of its contract; where the
// verdict's is -1 there is none. An error is ErrNoContracts.
func (c *Core) Explain(who *contract.Caller, class string, repeat bool) (contract.Verdict, contract.Level, error) {
	c.Lock()
	defer c.Unlock()
	if !c.hasContracts() {
		return contract.Verdict{}, contract.Level{}, ErrNoContracts
	}
	now, i := c.Now(), c.ledger.Table().Find(who)
	if i < 0 {
		return contract.Verdict{Rule: contract.None, Contract: i}, contract.Level{}, nil
	}
	return c.ledger.Try(now, i, class, repeat), c.ledger.Level(now, i), nil
}

// Stats is what a core can tell of itself.
type Stats struct {
	Pressure       float64 // part of the latest requests that met no normal server
	Open           int     // requests taken and not over
	Contracts      bool    // some are in force:
	Allowed, InUse float64 // server-seconds a second that all may use (infinite at ease), and do
	Part           float64 // of the contracts that this node hands out
	Levels         []contract.Level
}

// Stats tells how it stands, with the levels of at most so many contracts.
func (c *Core) Stats(levels int) Stats {
	c.Lock()
	defer c.Unlock()
	s := Stats{Pressure: c.balancer.Pressure(), Open: len(c.requests), Contracts: c.hasContracts()}
	if s.Contracts {
		s.Allowed, s.InUse, s.Part = c.ledger.Allowed(), c.ledger.InUse(), c.ledger.Part()
		s.Levels = c.ledger.Levels(c.Now(), levels)
	}
	return s
}
