// Package fleet contains the behavior that the model's web servers share with those of the rig on real sockets:
// warm-up, load reports, and the effects of faults; and the retry rules of their clients. It has no clock: times are
// passed in, counted from the scenario's start.
package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"portstall/internal/lab/oracle"
	"portstall/internal/lab/scenario"
)

// Ramp returns the share of its full capacity that a server has at an age since its start, after done seconds of work.
// A server that warms up by work is warm once it has done half of the work that its cores do at full speed in ColdFor,
// and at the latest after its ColdFor or the stated time, whichever is longer.
func Ramp(k *scenario.ServerType, speed float64, age, stated time.Duration, done float64) float64 {
	if k.ColdFor <= 0 {
		return 1
	}
	progress := float64(age) / float64(k.ColdFor)
	if k.WarmBy == "work" {
		progress = float64(age) / float64(max(k.ColdFor, stated))
		progress = math.Max(progress, done/(0.5*float64(k.Cores)*speed*k.ColdFor.Seconds()))
	}
	if progress >= 1 {
		return 1
	}
	return k.ColdFrom + (1-k.ColdFrom)*max(0, progress)
}

// Reports are a server's load reports: its queue length sampled at periodic ticks and reported with a delay. It stores
// a bounded number of samples; for a delay beyond them it reports the oldest. Not safe for concurrent use.
type Reports struct {
	Period, Phase time.Duration
	tick          int64      // number of the latest tick
	ring          [64]sample // the latest samples
	next          int        // number of samples taken; the next one goes to next % len(ring)
}

// sample is the queue length at a tick.
type sample struct {
	at    time.Duration
	queue int
}

// Reset discards all samples, as the server has started with an empty queue.
func (r *Reports) Reset(now time.Duration) { r.tick, r.next = int64((now+r.Phase)/r.Period), 0 }

// Record records the queue length at the tick since the last call, if there was one. It is called before each change.
func (r *Reports) Record(now time.Duration, queue int) {
	if tick := int64((now + r.Phase) / r.Period); tick > r.tick {
		r.ring[r.next%len(r.ring)] = sample{time.Duration(r.tick+1)*r.Period - r.Phase, queue}
		r.next++
		r.tick = tick
	}
}

// Read returns the queue length as a report with the given delay shows it now; queue is the present length. It is 0
// where the server had not started, or no tick had passed, at the time that the report shows.
func (r *Reports) Read(now, delay time.Duration, queue int) int {
	r.Record(now, queue)
	oldest := 0
	for i := r.next - 1; i >= 0 && i >= r.next-len(r.ring); i-- {
		e := r.ring[i%len(r.ring)]
		if e.at <= now-delay {
			return e.queue
		}
		oldest = e.queue
	}
	if r.next > len(r.ring) {
		return oldest
	}
	return 0
}

// RetryDelay reports whether a client retries, and after which delay. If promised, the try was refused or reached no
// node, so that any class may be retried; otherwise only a class whose repeats are harmless. after is the response's
// Retry-After, storm multiplies the number of retries (1: no change); above 1 it also divides the delay by ten and
// overrides Retry-After. roll is a random number from 0 to 1.
func RetryDelay(s *scenario.Scenario, op *scenario.Operation, tries int, promised bool, now, after time.Duration, storm,
	roll float64) (time.Duration, bool) {
	c := &s.Classes[op.Class]
	harmless := promised || c.Effect == "safe" || c.Effect == "keyed" && op.RepeatsUnsafely ||
		c.Effect == "keyed" && (c.Group == "" || c.Group == "all") && now < op.At+c.Window
	wait := float64(s.Clients.Backoff) * (0.5 + roll)
	if s.Clients.Exponential {
		wait *= float64(int64(1) << min(tries-1, 16))
	}
	if storm > 1 {
		wait /= 10
	} else if op.HonorsRetryAfter {
		wait = max(wait, float64(after))
	}
	if !harmless || tries > int(float64(op.Retries)*storm) || now+time.Duration(wait) > op.At+c.Deadline-10*time.Millisecond {
		return 0, false
	}
	return time.Duration(wait), true
}

// ServerEffects are the effects of the faults in force on one server.
type ServerEffects struct {
	Slowdown         float64       // factor by which slowed requests take longer
	SlowShare        float64       // share of its requests that are slowed
	ErrorShare       float64       // share of requests that fail with an error response at once
	ResetShare       float64       // share of requests whose connection is reset at once
	CutShare         float64       // share of requests whose response is cut off
	ReportFactor     float64       // factor on the queue length that it reports
	NoNewConnections bool          // accepts no new connections
	ProxyRefuses     bool          // the proxy in front of it opens no new connections
	ProxyDelay       time.Duration // additional time that the proxy takes to open a connection
}

// FleetEffects are the effects of the faults in force on all servers and clients.
type FleetEffects struct {
	Slowdown    float64       // factor by which every server is slower
	ReportDelay time.Duration // additional delay of every load report
	RetryFactor float64       // factor on the number of retries of clients
	NetworkCuts int           // number of faults in force that cut the network
}

// ActiveEffects combines the effects of the active faults; faultTargets has the indexes of the servers that each fault
// hits. Where faults of one kind overlap, the factors of slowdowns and storms are multiplied, and of shares and delays
// the largest counts; of two report_lie faults at a server the later one in the scenario's list replaces the other. The
// second result is by server index.
func ActiveEffects(s *scenario.Scenario, active []bool, faultTargets [][]int, serverCount int) (FleetEffects, []ServerEffects) {
	all := FleetEffects{Slowdown: 1, RetryFactor: 1}
	each := make([]ServerEffects, serverCount)
	for i := range each {
		each[i] = ServerEffects{Slowdown: 1, ReportFactor: 1}
	}
	for i, on := range active {
		if !on {
			continue
		}
		f := &s.Faults[i]
		switch f.Kind {
		case "shared_slow":
			all.Slowdown *= f.Factor
		case "report_lag":
			all.ReportDelay = max(all.ReportDelay, f.Delay)
		case "storm":
			all.RetryFactor *= f.Factor
		case "cut":
			all.NetworkCuts++
		case "error", "slow", "reset", "cut_answer", "report_lie", "backlog", "proxy_down", "proxy_slow", "proxy_nonsense":
			for _, server := range faultTargets[i] {
				each[server].apply(f)
			}
		}
	}
	return all, each
}

// apply adds the effect of one fault to those of the faults applied before.
func (effects *ServerEffects) apply(f *scenario.Fault) {
	switch f.Kind {
	case "error":
		effects.ErrorShare = max(effects.ErrorShare, f.Part)
	case "slow":
		effects.Slowdown, effects.SlowShare = effects.Slowdown*f.Factor, max(effects.SlowShare, f.Part)
	case "reset":
		effects.ResetShare = max(effects.ResetShare, f.Part)
	case "cut_answer":
		effects.CutShare = max(effects.CutShare, f.Part)
	case "report_lie":
		effects.ReportFactor = f.Factor
	case "backlog":
		effects.NoNewConnections = true
	case "proxy_down", "proxy_nonsense":
		effects.ProxyRefuses = true
	case "proxy_slow":
		effects.ProxyDelay = max(effects.ProxyDelay, f.Delay)
	}
}

// CheckOK is the result of a check of a healthy server.
const CheckOK = "ok"

// ProbeReply returns the reply of the agent of a server that is up, or the result of a check of the server; replies is
// false if none comes. An agent knows about its server what a program on the same machine can know: that it drains,
// that it responds with errors, and how much slower it is. A check only sees whether its own page gets a response.
func ProbeReply(s *scenario.Scenario, active []bool, faultTargets [][]int, server int, effects *ServerEffects, agent bool,
	now time.Duration) (text string, replies bool) {
	drains := false
	for i := range s.Faults {
		f := &s.Faults[i]
		if !active[i] || !slices.Contains(faultTargets[i], server) {
			continue
		}
		switch {
		case agent && f.Kind == "agent_says":
			turns := strings.Split(f.Says, "|")
			return turns[int(now/time.Second)%len(turns)], f.Says != ""
		case !agent && f.Kind == "check_fails":
			return "said to fail", true
		}
		drains = drains || f.Kind == "drain"
	}
	switch {
	case !agent && (effects.NoNewConnections || effects.ProxyRefuses):
		return "no answer", false
	case !agent:
		return CheckOK, true
	case drains:
		return "drain", true
	case effects.ErrorShare+effects.ResetShare+effects.CutShare >= 0.2:
		return "down #errors", true
	case effects.Slowdown > 1 && effects.SlowShare > 0:
		return fmt.Sprintf("up ready %d%%", max(1, int(100/(1+(effects.Slowdown-1)*effects.SlowShare)))), true
	}
	return "up ready 100%", true
}

// NewRecords creates the oracles' records for a scenario and its servers. slack extends the time limits by the time
// that messages on real sockets may take; it is 0 in the model.
func NewRecords(s *scenario.Scenario, servers []scenario.Server, slack time.Duration, traces bool) *oracle.Records {
	var classes []oracle.Class
	for _, c := range s.Classes {
		classes = append(classes, oracle.Class{Name: c.Name, Effect: c.Effect, Group: c.Group, Window: c.Window})
	}
	rules := s.Rules
	records := oracle.New(oracle.Limits{MaxAttempts: rules.MaxAttempts, ResponseSlack: rules.AnswerSlack + slack,
		DrainGrace: rules.DrainGrace + slack, TunnelDrain: rules.TunnelDrain,
		WindowSlack: slack, ColdMultiple: rules.FallMultiple, ColdWindow: rules.FallFor,
		MeanWork: s.MeanWork()}, classes, s.Nodes, traces)
	for _, v := range servers {
		records.AddServer(oracle.Server{ID: v.ID, Zone: v.Zone, Pod: v.Pod})
	}
	return records
}
