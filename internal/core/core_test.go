package core

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

// bubble is the clock of a synctest bubble: it runs as fast as everything waits.
type stubEnvironment struct{}

func (stubEnvironment) Now() time.Duration                  { return time.Duration(time.Now().UnixNano()) }
func (stubEnvironment) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }
func (stubEnvironment) Spent() bool                         { return false }
func (stubEnvironment) Watch()                              {}
func (stubEnvironment) Among(*Request) []uint32             { return nil }
func (stubEnvironment) Fetch()                              {}
func (stubEnvironment) Server(number uint32) (any, bool)    { return number, number != 3 } // one that has left the roster
func settings() policy.Settings {
	return policy.Settings{Nodes: 2, MaxAttempts: 3, Cancel: true, Classes: []policy.Class{
		{Name: "view", Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: policy.Safe},
		{Name: "buy", Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 5, Effect: policy.Unsafe}},
		DrainGrace: time.Second, ColdFor: time.Second, ColdShare: 0.5, FallFor: time.Second, FallFactor: 4}
}

// payload counts how often it was released.
type countedPayload struct{ released *int }

func (p countedPayload) Release() { *p.released++ }

// servers is a back whose attempts end as chance has it, and which holds the rules against what it is sent.
type stubServers struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand

	open           map[string]int // attempts under way, by request
	mayHaveRun     map[string]bool
	attempts       int
	served         map[string]*int
	clock          Clock
	maxServiceTime time.Duration
	outcomes       []policy.Outcome
}

func (s *stubServers) Attempt(ctx context.Context, a *Attempt) Result {
	id := a.Request.ID
	s.mu.Lock()
	s.attempts++
	if s.open[id]++; s.open[id] > 1 {
		s.t.Errorf("%s: two attempts are under way", id)
	}
	if s.mayHaveRun[id] && a.Request.Class == "buy" {
		s.t.Errorf("%s: sent again after an attempt that may have run", id)
	}
	out, takes := s.outcomes[s.random.IntN(len(s.outcomes))], time.Duration(s.random.Int64N(int64(s.maxServiceTime)))
	s.mu.Unlock()
	if out == policy.TimedOut {
		takes = a.Wait
	}
	select {
	case <-time.After(min(takes, a.Wait)):
		if takes >= a.Wait {
			out = policy.TimedOut
		}
	case <-ctx.Done():
		out = policy.Canceled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id]--
	s.mayHaveRun[id] = s.mayHaveRun[id] || out != policy.Full && out != policy.ConnectFailed
	res := Result{Outcome: out, Load: policy.Load{Queue: -1, Held: -1}}
	if out == policy.OK {
		n := new(int)
		s.served[id] = n
		res.Payload, res.First = countedPayload{n}, s.clock.Now()
	}
	return res
}

func newStubServers(t *testing.T, seed uint64) *stubServers {
	return &stubServers{t: t, random: rand.New(rand.NewPCG(seed, 1)), open: map[string]int{}, mayHaveRun: map[string]bool{},
		served: map[string]*int{}, clock: stubEnvironment{}, maxServiceTime: 3 * time.Second, outcomes: []policy.Outcome{policy.OK, policy.OK, policy.Failed,
			policy.Full, policy.ConnectFailed, policy.Reset, policy.TimedOut}}
}

func newCore(t *testing.T, b Back, seed uint64) *Core {
	set := settings()
	c, err := New(set, seed, Options{Clock: stubEnvironment{}, Back: b, Roster: stubEnvironment{}, Log: slog.New(slog.DiscardHandler), Transit: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	c.Lock()
	defer c.Unlock()
	var list []policy.Entry
	for id := range uint32(4) {
		list = append(list, policy.Entry{ID: id + 1, Zone: "a", Kind: "k"})
	}
	c.Handle(&policy.Event{Kind: policy.EvList, List: policy.ListFull, Entries: list})
	return c
}

// Whatever the servers do and whenever clients leave: one final answer each, before the client gives up, never two attempts
// at once, no unsafe request twice, each payload released once, and nothing remembered in the end.
func TestExactlyOneFinalResponse(t *testing.T) {
	kinds, sent := make([]int, 4), 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			b := newStubServers(t, seed)
			c := newCore(t, b, seed)
			r := rand.New(rand.NewPCG(seed, 2))
			var wg sync.WaitGroup
			for i := range 40 {
				q := &Request{ID: fmt.Sprint("r", i), Class: []string{"view", "buy"}[r.IntN(2)], Patience: 4 * time.Second, Body: stubEnvironment{}}
				starts, leaves := time.Duration(r.Int64N(5e9)), time.Duration(0)
				if r.IntN(5) == 0 {
					leaves = time.Duration(r.Int64N(4e9))
				}
				wg.Go(func() {
					time.Sleep(starts)
					q.Arrived = stubEnvironment{}.Now()
					if !c.Begin(q) {
						t.Errorf("%s is not taken", q.ID)
						return
					}
					left, end := (<-chan time.Time)(nil), time.After(q.Patience)
					if leaves > 0 {
						left = time.After(leaves)
					}
					select {
					case a := <-q.Answer():
						b.mu.Lock()
						kinds[a.Kind]++
						b.mu.Unlock()
						releasePayload(a.Payload)
						c.Written(q)
					case <-left:
						c.Gone(q)
					case <-end:
						t.Errorf("seed %d: %s has no answer", seed, q.ID)
					}
					time.Sleep(20 * time.Second)
					if len(q.Answer()) != 0 {
						t.Errorf("%s has a second answer", q.ID)
					}
				})
			}
			wg.Wait()
			if st := c.Stats(0); st.Open != 0 {
				t.Errorf("%d requests are remembered", st.Open)
			}
			for id, n := range b.served {
				if *n != 1 {
					t.Errorf("%s: its payload was released %d times", id, *n)
				}
			}
			sent += b.attempts
			c.Close()
		})
	}
	if kinds[Served] < 100 || kinds[Failed] < 100 || kinds[Refused] < 100 || sent < 1000 {
		t.Errorf("answers %v of %d attempts: the days test too little", kinds, sent)
	}
}

// An id that is open here or in another process of the node does not begin; once it is over it does.
func TestOpenRequestIDIsNotAdmittedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, newStubServers(t, 1), 1)
		defer c.Close()
		ask := func(id string) (*Request, bool) {
			q := &Request{ID: id, Class: "view", Patience: 4 * time.Second, Arrived: stubEnvironment{}.Now(), Body: stubEnvironment{}}
			return q, c.Begin(q)
		}
		first, ok := ask("a")
		if _, twice := ask("a"); !ok || twice {
			t.Errorf("begun %v, and again %v", ok, twice)
		}
		c.Lock()
		c.Ids().Hold(1, map[string]time.Duration{"b": stubEnvironment{}.Now() + time.Second}, nil)
		if open := c.Open(); len(open) != 1 || open["a"] == 0 {
			t.Errorf("open: %v", open)
		}
		c.Unlock()
		if _, ok := ask("b"); ok {
			t.Error("one that another process has open was begun")
		}
		a := <-first.Answer()
		if _, twice := ask("a"); twice {
			t.Error("its id begins again while its answer is on its way")
		}
		releasePayload(a.Payload)
		c.Written(first)
		time.Sleep(5 * time.Second)
		for _, id := range []string{"a", "b"} {
			if _, ok := ask(id); !ok {
				t.Errorf("%s is not taken once it is over", id)
			}
		}
	})
}

// A request that contracts bar is answered at once, reaches no server and is not remembered.
func TestRequestRejectedByContractReachesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStubServers(t, 1)
		b.maxServiceTime, b.outcomes = 10*time.Millisecond, []policy.Outcome{policy.OK}
		c := newCore(t, b, 1)
		defer c.Close()
		table, err := contract.NewTable([]contract.Terms{{Name: "one", Matches: []contract.Match{{Tenant: "one"}}, Rate: 1, Burst: 2, Weight: 1}})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.Explain(&contract.Caller{}, "view", false); err != ErrNoContracts {
			t.Errorf("without contracts: %v", err)
		}
		c.Lock()
		c.Bind(table)
		c.Unlock()
		ask := func(id, tenant string) Answer {
			q := &Request{ID: id, Class: "view", Tenant: tenant, Caller: contract.Caller{Tenant: tenant}, Patience: 4 * time.Second,
				Arrived: stubEnvironment{}.Now(), Body: stubEnvironment{}}
			if !c.Begin(q) {
				t.Fatalf("%s is not taken", id)
			}
			a := <-q.Answer()
			releasePayload(a.Payload)
			c.Written(q)
			return a
		}
		if a := ask("a", "none"); a.Kind != RejectedByContract || a.Rule != contract.None || a.Contract != "" {
			t.Errorf("without a contract: %+v", a)
		}
		if b.attempts != 0 {
			t.Errorf("%d attempts for one that is barred", b.attempts)
		}
		if a := ask("b", "one"); a.Kind == RejectedByContract {
			t.Errorf("within its rate: %+v", a)
		}
		if a := ask("c", "one"); a.Kind != RejectedByContract || a.Rule != contract.Rate || a.Contract != "one" || a.RetryAfter <= 0 {
			// each of two nodes hands out half: a burst of one
			t.Errorf("past its rate: %+v", a)
		}
		v, level, err := c.Explain(&contract.Caller{Tenant: "one"}, "view", false)
		if err != nil || level.Name != "one" || v.Contract != 0 || level.Admitted != 1 {
			t.Errorf("explained as %+v %+v, %v", v, level, err)
		}
		if st := c.Stats(10); st.Open != 0 || !st.Contracts || len(st.Levels) != 1 || st.Part != 0.5 {
			t.Errorf("stats %+v", st)
		}
	})
}
