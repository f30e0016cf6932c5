// Package measure counts what a lab run shows, in the same way for the model and for the rig.
package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending is how an ask ended for its client.
type Ending string

const (
	Served      Ending = "served"
	Refused     Ending = "refused"     // another try would have been harmless
	Failed      Ending = "failed"      // answered without a promise
	Overdue     Ending = "overdue"     // no answer while the client waited
	Unreachable Ending = "unreachable" // no node took it
	Lost        Ending = "lost"        // its node died with it
	Left        Ending = "left"        // the client left early
)

// Endings lists them in the order of reports.
var Endings = []Ending{Served, Refused, Failed, Overdue, Unreachable, Lost, Left}

// Tally is what became of some asks. Worth is that of the class for each second of work, so that a heavy request is worth
// more than a light one.
type Tally struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	InTime  int     `json:"in_time"` // served within the aim, counted from the first try
	Offered float64 `json:"offered"` // worth
	Earned  float64 `json:"earned"`  // worth of those in time
}

// Share is the part of the worth that was served in time.
func (t *Tally) Share() float64 {
	if t.Offered == 0 {
		return 1
	}
	return t.Earned / t.Offered
}

func (t *Tally) add(served, inTime bool, worth float64) {
	t.Asked++
	t.Offered += worth
	if served {
		t.Served++
	}
	if inTime {
		t.InTime++
		t.Earned += worth
	}
}

// Second is what arrived in one second, and what became of it.
type Second struct {
	Asked    int     `json:"asked"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"` // all other endings
	Attempts int     `json:"attempts"`
	Offered  float64 `json:"offered"`
	Earned   float64 `json:"earned"`
}

// ServerLoad is what one web server bore.
type ServerLoad struct {
	ID     uint32  `json:"id"`
	Kind   string  `json:"kind"`
	Sent   int     `json:"sent"`
	Busy   float64 `json:"busy"` // work done as a part of what it could have done warm
	Fallen bool    `json:"fallen,omitempty"`
}

// Quantiles of the time from an ask's first try to its answer, of those served, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Result is one run, ready to be written as JSON.
type Result struct {
	Scenario string            `json:"scenario"`
	Policy   string            `json:"policy"`
	Seed     uint64            `json:"seed"`
	Params   map[string]string `json:"params,omitempty"` // what a sweep set
	Engine   string            `json:"engine"`           // model or rig
	All      Tally             `json:"all"`
	Classes  map[string]*Tally `json:"classes"`
	Tenants  map[string]*Tally `json:"tenants"`
	Split    map[string]*Tally `json:"split"` // by tenant and class, as in app/search
	Endings  map[Ending]int    `json:"endings"`
	Causes   map[string]int    `json:"causes"` // of refusals and failures, by tries
	Tries    int               `json:"tries"`
	Attempts int               `json:"attempts"`
	Latency  Quantiles         `json:"latency_ms"`
	Series   []Second          `json:"series"`
	Servers  []ServerLoad      `json:"servers"`
	Trigger  [2]float64        `json:"trigger_s"` // when the first fault begins and ends; both 0 where there is none
	Broken   map[string]int    `json:"broken"`    // breaches by rule; empty where all were kept
	Breaches []string          `json:"breaches,omitempty"`
	Digest   string            `json:"digest,omitempty"` // of all events; model only
	Events   int64             `json:"events,omitempty"`
	Wall     float64           `json:"wall_s"` // real seconds that the run took
}

// AttemptsPerAsk is how many attempts each ask cost.
func (r *Result) AttemptsPerAsk() float64 {
	if r.All.Asked == 0 {
		return 0
	}
	return float64(r.Attempts) / float64(r.All.Asked)
}

// BrokenTotal is the number of breaches.
func (r *Result) BrokenTotal() int {
	n := 0
	for _, c := range r.Broken {
		n += c
	}
	return n
}

// Worst is the part served of the worst class.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, t := range r.Classes {
		worst = min(worst, t.Share())
	}
	return worst
}

// Recorder counts one run. Not safe for concurrent use.
type Recorder struct {
	warmup    time.Duration
	latencies *hdrhistogram.Histogram
	result    Result
}

// New counts what arrives from warmup on, for so many seconds in all.
func New(warmup, duration time.Duration) *Recorder {
	return &Recorder{warmup: warmup, latencies: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		result: Result{Classes: map[string]*Tally{}, Tenants: map[string]*Tally{}, Split: map[string]*Tally{}, Endings: map[Ending]int{},
			Causes: map[string]int{}, Broken: map[string]int{}, Series: make([]Second, int(duration/time.Second)+1)}}
}

// Ask books one ask that is over. Took counts from its first try.
func (r *Recorder) Ask(at time.Duration, class, tenant string, end Ending, inTime bool, took time.Duration, worth float64) {
	if i := int(at / time.Second); i >= 0 && i < len(r.result.Series) {
		s := &r.result.Series[i]
		s.Asked++
		s.Offered += worth
		switch end {
		case Served:
			s.Served++
		case Refused:
			s.Refused++
		default:
			s.Failed++
		}
		if inTime {
			s.Earned += worth
		}
	}
	if at < r.warmup {
		return
	}
	for _, t := range []*Tally{&r.result.All, tallyOf(r.result.Classes, class), tallyOf(r.result.Tenants, tenant), tallyOf(r.result.Split, tenant+"/"+class)} {
		t.add(end == Served, inTime, worth)
	}
	r.result.Endings[end]++
	if end == Served {
		r.latencies.RecordValue(max(1, int64(took/time.Microsecond))) // one beyond the range is not counted
	}
}

func tallyOf(m map[string]*Tally, name string) *Tally {
	if m[name] == nil {
		m[name] = &Tally{}
	}
	return m[name]
}

// Try books a client's try at a node, and Cause why one was not served.
func (r *Recorder) Try(at time.Duration) {
	if at >= r.warmup {
		r.result.Tries++
	}
}

func (r *Recorder) Cause(at time.Duration, cause string) {
	if at >= r.warmup {
		r.result.Causes[cause]++
	}
}

// Attempt books a send to a web server.
func (r *Recorder) Attempt(at time.Duration) {
	if i := int(at / time.Second); i >= 0 && i < len(r.result.Series) {
		r.result.Series[i].Attempts++
	}
	if at >= r.warmup {
		r.result.Attempts++
	}
}

// Result is what was counted so far.
func (r *Recorder) Result() Result {
	ms := func(q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1e3 }
	res := r.result
	res.Latency = Quantiles{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(r.latencies.Max()) / 1e3}
	return res
}

// Recovery is how long after a trigger's end goodput stays below a part of what it was in the seconds before the
// trigger began: the time to the first second from which it holds for hold seconds. False: it never does.
func (r *Result) Recovery(begin, end time.Duration, part float64, hold int) (time.Duration, bool) {
	b, e := int(begin/time.Second), int(end/time.Second)
	base, n := 0.0, 0
	for i := max(0, b-10); i < b && i < len(r.Series); i++ {
		base += earnedShare(r.Series[i])
		n++
	}
	if n == 0 {
		return 0, false
	}
	base /= float64(n)
	run := 0
	for i := e; i < len(r.Series); i++ {
		if r.Series[i].Asked == 0 {
			continue
		}
		if earnedShare(r.Series[i]) >= part*base {
			if run++; run >= hold {
				return time.Duration(i-hold+1-e) * time.Second, true
			}
		} else {
			run = 0
		}
	}
	return 0, false
}

// RecoveryPart and RecoveryHold say what counts as recovered: so much of the goodput before the trigger, for so many
// seconds on end.
const (
	RecoveryPart = 0.9
	RecoveryHold = 5
)

// Recovered is the time from the first fault's end until the fleet serves as before, in seconds; false where it never
// does, with the rest of the day as the time.
func (r *Result) Recovered() (float64, bool) {
	begin, end := time.Duration(r.Trigger[0]*float64(time.Second)), time.Duration(r.Trigger[1]*float64(time.Second))
	if took, ok := r.Recovery(begin, end, RecoveryPart, RecoveryHold); ok {
		return took.Seconds(), true
	}
	return max(0, float64(len(r.Series))-r.Trigger[1]), false
}

func earnedShare(s Second) float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.Earned / s.Offered
}
