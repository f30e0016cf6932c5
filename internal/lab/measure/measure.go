// Package measure collects the results of a lab run, in the same way for the model and for the rig.
//
// An operation is what a client wants: it makes one or more tries, each a request to a node, and a node makes one or
// more attempts at web servers for a try. Times are counted from the start of the scenario.
package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending says how an operation ended for its client. The values are written into results.
type Ending string

const (
	Served      Ending = "served"
	Refused     Ending = "refused"     // rejected with the promise that a repeat does no harm
	Failed      Ending = "failed"      // a response that is no success and promises nothing about repeats
	TimedOut    Ending = "overdue"     // no response within the time that the client waits
	Unreachable Ending = "unreachable" // no node accepted the request
	Lost        Ending = "lost"        // the node died while it held the request
	ClientLeft  Ending = "left"        // the client disconnected before its time was up
)

// Endings lists all endings in the order in which reports print them.
var Endings = []Ending{Served, Refused, Failed, TimedOut, Unreachable, Lost, ClientLeft}

// Tally counts the operations of a group, and their value. The value of an operation is the value of its class times
// its work in seconds, so that a heavy request counts for more than a light one.
type Tally struct {
	Asked   int     `json:"asked"`   // operations
	Served  int     `json:"served"`  // operations that were served
	InTime  int     `json:"in_time"` // operations that were served within the target latency, counted from the first try
	Offered float64 `json:"offered"` // value of all operations
	Earned  float64 `json:"earned"`  // value of the operations that were served in time
}

// EarnedShare returns the share of the offered value that was served in time; 1 where nothing was offered.
func (t *Tally) EarnedShare() float64 {
	if t.Offered == 0 {
		return 1
	}
	return t.Earned / t.Offered
}

// add counts one operation.
func (t *Tally) add(served, inTime bool, value float64) {
	t.Asked++
	t.Offered += value
	if served {
		t.Served++
	}
	if inTime {
		t.InTime++
		t.Earned += value
	}
}

// Second counts the operations that started within one second, by their endings.
type Second struct {
	Asked    int     `json:"asked"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`   // all other endings
	Attempts int     `json:"attempts"` // attempts that were sent within the second
	Offered  float64 `json:"offered"`
	Earned   float64 `json:"earned"`
}

// ServerLoad describes the load of one web server.
type ServerLoad struct {
	ID     uint32  `json:"id"`
	Kind   string  `json:"kind"`
	Sent   int     `json:"sent"`             // attempts that reached it
	Busy   float64 `json:"busy"`             // work done, as a share of what it could have done if warm throughout
	Fallen bool    `json:"fallen,omitempty"` // it collapsed under load while it was cold
}

// Quantiles describes the time from an operation's first try to its response, in milliseconds, for operations that were
// served.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Result holds the results of one run. It is written as JSON.
type Result struct {
	Scenario string            `json:"scenario"`
	Policy   string            `json:"policy"`
	Seed     uint64            `json:"seed"`
	Params   map[string]string `json:"params,omitempty"` // parameters set by a sweep
	Engine   string            `json:"engine"`           // model, rig or load
	All      Tally             `json:"all"`
	Classes  map[string]*Tally `json:"classes"`
	Tenants  map[string]*Tally `json:"tenants"`
	Split    map[string]*Tally `json:"split"` // by tenant and class; the key is tenant/class
	Endings  map[Ending]int    `json:"endings"`
	Causes   map[string]int    `json:"causes"` // tries that were not served, by cause
	Tries    int               `json:"tries"`
	Attempts int               `json:"attempts"`
	Latency  Quantiles         `json:"latency_ms"`
	Series   []Second          `json:"series"` // one entry a second
	Servers  []ServerLoad      `json:"servers"`
	Trigger  [2]float64        `json:"trigger_s"`          // start and end of the first fault in seconds; 0, 0: none
	Broken   map[string]int    `json:"broken"`             // number of breaches by rule; empty where no rule was broken
	Breaches []string          `json:"breaches,omitempty"` // the first breaches, with the trace of their requests
	Digest   string            `json:"digest,omitempty"`   // checksum of all events; model only
	Events   int64             `json:"events,omitempty"`   // number of events; model only
	Wall     float64           `json:"wall_s"`             // wall-clock duration of the run in seconds
}

// AttemptsPerOperation returns the mean number of attempts for an operation.
func (r *Result) AttemptsPerOperation() float64 {
	if r.All.Asked == 0 {
		return 0
	}
	return float64(r.Attempts) / float64(r.All.Asked)
}

// BreachTotal returns the number of breaches of all rules.
func (r *Result) BreachTotal() int {
	n := 0
	for _, c := range r.Broken {
		n += c
	}
	return n
}

// WorstClassShare returns the lowest EarnedShare of all classes.
func (r *Result) WorstClassShare() float64 {
	worst := 1.0
	for _, t := range r.Classes {
		worst = min(worst, t.EarnedShare())
	}
	return worst
}

// Recorder collects the results of one run. It is not safe for concurrent use.
type Recorder struct {
	warmup    time.Duration
	latencies *hdrhistogram.Histogram // of served operations, in microseconds
	result    Result
}

// NewRecorder returns a recorder for a run of the given duration. Totals exclude what happens before warmup; the series
// does not.
func NewRecorder(warmup, duration time.Duration) *Recorder {
	return &Recorder{warmup: warmup, latencies: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		result: Result{Classes: map[string]*Tally{}, Tenants: map[string]*Tally{}, Split: map[string]*Tally{},
			Endings: map[Ending]int{}, Causes: map[string]int{}, Broken: map[string]int{},
			Series: make([]Second, int(duration/time.Second)+1)}}
}

// RecordOperation records an operation that has ended. at is the start of its first try, and took is the time from then
// to its end.
func (r *Recorder) RecordOperation(at time.Duration, class, tenant string, end Ending, inTime bool, took time.Duration, value float64) {
	if i := int(at / time.Second); i >= 0 && i < len(r.result.Series) {
		second := &r.result.Series[i]
		second.Asked++
		second.Offered += value
		switch end {
		case Served:
			second.Served++
		case Refused:
			second.Refused++
		default:
			second.Failed++
		}
		if inTime {
			second.Earned += value
		}
	}
	if at < r.warmup {
		return
	}
	for _, t := range []*Tally{&r.result.All, tallyOf(r.result.Classes, class), tallyOf(r.result.Tenants, tenant),
		tallyOf(r.result.Split, tenant+"/"+class)} {
		t.add(end == Served, inTime, value)
	}
	r.result.Endings[end]++
	if end == Served {
		r.latencies.RecordValue(max(1, int64(took/time.Microsecond))) // a value beyond the histogram's range is not counted
	}
}

// tallyOf returns the tally of a name and creates it where needed.
func tallyOf(m map[string]*Tally, name string) *Tally {
	if m[name] == nil {
		m[name] = &Tally{}
	}
	return m[name]
}

// RecordTry records a client's try, which is a request to a node.
func (r *Recorder) RecordTry(at time.Duration) {
	if at >= r.warmup {
		r.result.Tries++
	}
}

// RecordCause records why a try was not served.
func (r *Recorder) RecordCause(at time.Duration, cause string) {
	if at >= r.warmup {
		r.result.Causes[cause]++
	}
}

// RecordAttempt records an attempt at a web server.
func (r *Recorder) RecordAttempt(at time.Duration) {
	if i := int(at / time.Second); i >= 0 && i < len(r.result.Series) {
		r.result.Series[i].Attempts++
	}
	if at >= r.warmup {
		r.result.Attempts++
	}
}

// Result returns the results so far. It shares its maps and the series with the recorder.
func (r *Recorder) Result() Result {
	ms := func(q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1e3 }
	result := r.result
	result.Latency = Quantiles{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(r.latencies.Max()) / 1e3}
	return result
}

// RecoveryTime returns how long after a fault's end goodput needs to recover: the time until the first of hold
// successive seconds in which it is at least the given share of the mean of the ten seconds before the fault began.
// Seconds without operations are skipped. It returns false if goodput never recovers, or if there is no second before
// the fault.
func (r *Result) RecoveryTime(begin, end time.Duration, share float64, hold int) (time.Duration, bool) {
	beginSecond, endSecond := int(begin/time.Second), int(end/time.Second)
	baseline, seconds := 0.0, 0
	for i := max(0, beginSecond-10); i < beginSecond && i < len(r.Series); i++ {
		baseline += earnedShare(r.Series[i])
		seconds++
	}
	if seconds == 0 {
		return 0, false
	}
	baseline /= float64(seconds)
	held := 0
	for i := endSecond; i < len(r.Series); i++ {
		if r.Series[i].Asked == 0 {
			continue
		}
		if earnedShare(r.Series[i]) >= share*baseline {
			if held++; held >= hold {
				return time.Duration(i-hold+1-endSecond) * time.Second, true
			}
		} else {
			held = 0
		}
	}
	return 0, false
}

// What counts as recovered.
const (
	RecoveryShare       = 0.9 // share of the goodput before the fault that has to be reached
	RecoveryHoldSeconds = 5   // successive seconds for which it has to be reached
)

// RecoverySeconds returns the time from the first fault's end until goodput has recovered, in seconds. Where it never
// does, it returns false and the time from the fault's end to the end of the run.
func (r *Result) RecoverySeconds() (float64, bool) {
	begin, end := time.Duration(r.Trigger[0]*float64(time.Second)), time.Duration(r.Trigger[1]*float64(time.Second))
	if took, ok := r.RecoveryTime(begin, end, RecoveryShare, RecoveryHoldSeconds); ok {
		return took.Seconds(), true
	}
	return max(0, float64(len(r.Series))-r.Trigger[1]), false
}

// earnedShare returns the share of the offered value that was served in time; 1 where nothing was offered.
func earnedShare(s Second) float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.Earned / s.Offered
}
