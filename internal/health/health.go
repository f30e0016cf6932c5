// Package health decides whether a web server is healthy, from the reports of its agent, from active checks, from the
// outcomes of real requests and from failures that other instances see. No source is trusted alone: Tracker has the
// rules, and docs/health.md shows them as a table. The package does no I/O and reads no clock: probes are in its
// subpackages, and callers pass times of a clock that never goes backwards.
package health

import (
	"time"

	"portstall/policy"
)

// Admin is the administrative state that an agent reports: what operators want of its server.
type Admin uint8

const (
	AdminUnset Admin = iota
	Ready
	Drain
	Maint
)

// adminNames are the keywords of the agent-check protocol, by Admin.
var adminNames = [...]string{"", "ready", "drain", "maint"}

// String returns the keyword of the agent-check protocol, and "" for AdminUnset.
func (a Admin) String() string { return adminNames[a] }

// State is the operational state of a server, as an agent or a check reports it.
type State uint8

const (
	StateUnset State = iota
	Up
	Down
)

// Report is one reply of an agent or one outcome of a check. A field that is not set leaves the earlier value in force.
type Report struct {
	Admin   Admin
	State   State
	Weight  float64 // relative to the server's normal weight; negative: not reported
	MaxConn int     // limit on concurrent requests; negative: not reported, 0: no limit
	Reason  string
}

// EmptyReport is a report that sets nothing.
var EmptyReport = Report{Weight: -1, MaxConn: -1}

// Rules limit what reports may do to a server. The zero value is not usable: see DefaultRules.
type Rules struct {
	// PanicThreshold is the share of the fleet above which reports are suspected instead of followed.
	PanicThreshold float64
	// PanicDuration is how long reports stay suspected after the share was last exceeded: a source that reported wrongly
	// once may do so again.
	PanicDuration time.Duration
	// RequestTTL is how long the outcome of a real request, or a failure seen by other instances, is evidence.
	RequestTTL time.Duration
	// AgentTTL is how long an agent's up, down, weight and maxconn are valid.
	AgentTTL time.Duration
	// AdminTTL is how long an agent's drain and maint are valid after the agent's last reply.
	AdminTTL time.Duration
	// CheckTTL is how long the outcome of a check is valid.
	CheckTTL time.Duration
	// Rise is the number of consecutive good reports that readmit an ejected server.
	Rise int
	// Fall is the number of consecutive failed checks that count as down.
	Fall int
	// MinHold is the minimum time of the first ejection of a server. It doubles with each further ejection.
	MinHold time.Duration
	// MaxHold limits the doubling. A server that has not been ejected for as long starts at the minimum again.
	MaxHold time.Duration
	// DisputedWeight is the weight factor of a server that is reported down but answers real requests, that other
	// instances see fail, or that is reported unhealthy by suspected reports.
	DisputedWeight float64
}

// DefaultRules returns the rules for probes at an interval.
func DefaultRules(interval time.Duration) Rules {
	return Rules{PanicThreshold: 0.5, PanicDuration: 30 * time.Second, RequestTTL: 2 * time.Second, AgentTTL: 3*interval + time.Second, AdminTTL: max(time.Minute, 3*interval+time.Second), CheckTTL: 3*interval + time.Second,
		Rise: 2, Fall: 3, MinHold: time.Second, MaxHold: time.Minute, DisputedWeight: 0.5}
}

// Verdict is the result of the rules for one server.
type Verdict struct {
	Ejected  bool    // the server is ejected: it gets no new requests
	Drain    bool    // open connections end as in a drain; only where the server is ejected
	Weight   float64 // factor on the server's share of the traffic, from 0 to 1; 0 if it is ejected
	MaxConn  int     // limit on concurrent requests; 0: no limit
	Reason   string  // the rule that applied, in words; empty if none did
	Conflict string  // evidence that contradicts the verdict; empty: none
}

// healthyVerdict is the verdict on a server without bad reports.
var healthyVerdict = Verdict{Weight: 1}

// server is the evidence on one server and its latest verdict.
type server struct {
	agentAt                  time.Duration // time of the agent's last reply
	report                   Report        // the last reported value of each field of the agent's reports
	checkedAt                time.Duration // time of the last check; 0: none
	failedChecks             int           // consecutive failed checks
	failReason               string        // of the last check, if it failed
	goodReports              int           // consecutive good reports of agent or checks
	lastSuccess, lastFailure time.Duration // of real requests; 0: none
	peerFailureAt            time.Duration // when other instances last reported failures of it; 0: never
	agentReplied             bool          // the agent has replied at least once
	hasOutcome               bool          // a real request has ended at least once
	verdict                  Verdict
	changedAt                time.Duration // of the latest ejection or readmission
	holdTime                 time.Duration // minimum time of the latest ejection; 0: none yet
	wantsEjection            bool          // its own evidence asks for ejection, before the panic threshold is applied
}

// Tracker holds the evidence on the servers of a fleet and evaluates it by Rules. It is not safe for concurrent use: its
// owner's lock guards it.
type Tracker struct {
	rules           Rules
	servers         map[uint32]*server
	ejectionsWanted int           // servers with wantsEjection
	panicUntil      time.Duration // reports are suspected until then
	inPanic         bool          // reports were suspected at the latest evaluation
}

// NewTracker returns a tracker without servers.
func NewTracker(r Rules) *Tracker { return &Tracker{rules: r, servers: map[uint32]*server{}} }

// Add adds a server without evidence. For a known server it drops all earlier evidence: the server has restarted.
func (t *Tracker) Add(id uint32) {
	t.Remove(id)
	t.servers[id] = &server{verdict: healthyVerdict}
}

// Remove drops a server.
func (t *Tracker) Remove(id uint32) {
	if s := t.servers[id]; s != nil {
		t.setWantsEjection(s, false)
		delete(t.servers, id)
	}
}

// setWantsEjection sets s.wantsEjection and updates ejectionsWanted.
func (t *Tracker) setWantsEjection(s *server, wants bool) {
	if s.wantsEjection != wants {
		s.wantsEjection = wants
		if wants {
			t.ejectionsWanted++
		} else {
			t.ejectionsWanted--
		}
	}
}

// RecordAgent records a reply of an agent. It returns false if the server is unknown or a later reply was recorded
// before.
func (t *Tracker) RecordAgent(now time.Duration, id uint32, report Report) bool {
	s := t.servers[id]
	if s == nil || s.agentReplied && now < s.agentAt {
		return false
	}
	if s.agentReplied && now > s.agentAt+t.rules.AgentTTL { // earlier values have expired, except the administrative state
		s.report = Report{Admin: s.report.Admin, Weight: -1, MaxConn: -1, Reason: s.report.Reason}
	}
	if !s.agentReplied {
		s.report = EmptyReport
	}
	s.agentAt, s.agentReplied = now, true
	if report.Admin != AdminUnset {
		s.report.Admin, s.report.Reason = report.Admin, report.Reason
	}
	if report.State != StateUnset {
		s.report.State, s.report.Reason = report.State, report.Reason
	}
	if report.Weight >= 0 {
		s.report.Weight = report.Weight
	}
	if report.MaxConn >= 0 {
		s.report.MaxConn = report.MaxConn
	}
	t.countReport(s, s.report.State != Down && s.report.Admin != Drain && s.report.Admin != Maint && s.report.Weight != 0)
	return true
}

// RecordCheck records the outcome of an active check.
func (t *Tracker) RecordCheck(now time.Duration, id uint32, ok bool, reason string) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.checkedAt = now
	if ok {
		s.failedChecks, s.failReason = 0, ""
	} else {
		s.failedChecks++
		s.failReason = reason
	}
	t.countReport(s, ok)
}

// countReport counts consecutive good reports.
func (t *Tracker) countReport(s *server, good bool) {
	s.goodReports++
	if !good {
		s.goodReports = 0
	}
}

// RecordRequest records the outcome of a real request: a success, or a failure that reflects on the server
// (OutcomeCounts).
func (t *Tracker) RecordRequest(now time.Duration, id uint32, ok bool) {
	if s := t.servers[id]; s != nil {
		s.hasOutcome = true
		if ok {
			s.lastSuccess = now
		} else {
			s.lastFailure = now
		}
	}
}

// RecordPeerFailure records that other instances see a server fail. This lowers its weight but never ejects it.
func (t *Tracker) RecordPeerFailure(now time.Duration, id uint32) {
	if s := t.servers[id]; s != nil {
		s.peerFailureAt = now
	}
}

// ServesRequests reports whether a server is not ejected and its recent real requests succeed, so that it may be probed
// less often.
func (t *Tracker) ServesRequests(now time.Duration, id uint32) bool {
	s := t.servers[id]
	return s != nil && !s.verdict.Ejected && t.succeeds(now, s)
}

// succeeds reports whether a real request has succeeded recently and none has failed since.
func (t *Tracker) succeeds(now time.Duration, s *server) bool {
	return s.hasOutcome && s.lastSuccess > 0 && now < s.lastSuccess+t.rules.RequestTTL && s.lastSuccess >= s.lastFailure
}

// fails reports whether a real request has failed recently and none has succeeded since.
func (t *Tracker) fails(now time.Duration, s *server) bool {
	return s.hasOutcome && s.lastFailure > 0 && now < s.lastFailure+t.rules.RequestTTL && s.lastFailure > s.lastSuccess
}

// evaluateAlone returns the verdict on a server by its own evidence alone, before the panic threshold and the rules on
// readmission.
func (t *Tracker) evaluateAlone(now time.Duration, s *server) Verdict {
	v := healthyVerdict
	rules := &t.rules
	agentValid := s.agentReplied && now <= s.agentAt+rules.AgentTTL
	adminValid := s.agentReplied && now <= s.agentAt+rules.AdminTTL
	checksFail := s.checkedAt > 0 && now <= s.checkedAt+rules.CheckTTL && s.failedChecks >= rules.Fall
	if agentValid && s.report.MaxConn > 0 {
		v.MaxConn = s.report.MaxConn
	}
	if agentValid && s.report.Weight > 0 {
		v.Weight = min(1, s.report.Weight)
	}
	down := ""
	switch {
	case agentValid && s.report.State == Down:
		down = withReason("its agent reports down", s.report.Reason)
	case checksFail:
		down = withReason("its checks fail", s.failReason)
	}
	switch {
	case adminValid && (s.report.Admin == Drain || s.report.Admin == Maint): // an order of operators goes before all evidence
		return Verdict{Ejected: true, Drain: true, Reason: withReason("its agent reports "+s.report.Admin.String(), s.report.Reason)}
	case down != "" && t.succeeds(now, s):
		v.Weight *= rules.DisputedWeight
		v.Reason, v.Conflict = "it answers real requests: only its weight is reduced", down+", but it answers real requests"
	case down != "":
		return Verdict{Ejected: true, Reason: down}
	case agentValid && s.report.Weight == 0:
		return Verdict{Ejected: true, Reason: "its agent reports weight 0"}
	case agentValid && (s.report.State == Up || s.report.Admin == Ready) && t.fails(now, s):
		// The policy ejects it for these failures, and a report does not readmit it.
		v.Conflict = "its agent reports up, but real requests fail"
	case s.checkedAt > 0 && now <= s.checkedAt+rules.CheckTTL && s.failedChecks == 0 && t.fails(now, s):
		v.Conflict = "its checks pass, but real requests fail"
	}
	if s.peerFailureAt > 0 && now <= s.peerFailureAt+rules.RequestTTL && !t.succeeds(now, s) {
		v.Weight *= rules.DisputedWeight
		v.Reason = "other instances see it fail"
	}
	if v.Reason == "" && v.Weight < 1 {
		v.Reason = "its agent reduces its weight"
	}
	return v
}

// withReason appends a reason, if there is one.
func withReason(what, why string) string {
	if why == "" {
		return what
	}
	return what + ": " + why
}

// Evaluate computes a server's verdict and reports whether it differs from the previous one. The owner calls it after
// each record for a server, and a few times a second for all servers, since evidence expires.
func (t *Tracker) Evaluate(now time.Duration, id uint32) (v Verdict, changed bool) {
	s := t.servers[id]
	if s == nil {
		return healthyVerdict, false
	}
	v = t.evaluateAlone(now, s)
	t.setWantsEjection(s, v.Ejected)
	if float64(t.ejectionsWanted) > t.rules.PanicThreshold*float64(len(t.servers)) {
		t.panicUntil = now + t.rules.PanicDuration
	}
	t.inPanic = now < t.panicUntil
	if v.Ejected && t.inPanic && !t.fails(now, s) {
		// It is less likely that most of a fleet fails at once than that the reports are wrong.
		v = Verdict{Weight: t.rules.DisputedWeight, MaxConn: v.MaxConn, Reason: "most of the fleet is reported unhealthy: the reports are suspected", Conflict: v.Reason}
	}
	before := s.verdict
	if before.Ejected && !v.Ejected && !t.inPanic {
		// Readmission needs consecutive good reports, or no valid report at all, and the minimum time of ejection.
		noReports := !s.agentReplied && s.checkedAt == 0 || now > max(s.agentAt+t.rules.AgentTTL, s.checkedAt+t.rules.CheckTTL)
		if s.goodReports < t.rules.Rise && !noReports || now < s.changedAt+s.holdTime {
			v = before
		}
	}
	if v.Ejected != before.Ejected {
		if v.Ejected {
			if s.holdTime == 0 || now > s.changedAt+max(t.rules.MaxHold, s.holdTime) {
				s.holdTime = t.rules.MinHold
			} else {
				s.holdTime = min(2*s.holdTime, t.rules.MaxHold)
			}
		}
		s.changedAt = now
	}
	s.verdict = v
	return v, v != before
}

// Verdict returns the latest verdict on a server.
func (t *Tracker) Verdict(id uint32) Verdict {
	if s := t.servers[id]; s != nil {
		return s.verdict
	}
	return healthyVerdict
}

// InPanic reports whether reports were suspected at the latest evaluation: the share of servers reported unhealthy
// exceeded Rules.PanicThreshold then, or had done so within Rules.PanicDuration before.
func (t *Tracker) InPanic() bool { return t.inPanic }

// OutcomeCounts reports whether the outcome of an attempt reflects on its server. It does not if nothing was sent, the
// client had disconnected, or the server's queue was full.
func OutcomeCounts(o policy.Outcome) bool {
	return o != policy.QueueFull && o != policy.Canceled && o != policy.NeverSent
}

// PolicyEvents returns the events that move the policy from one verdict on a server to the next. A server that an
// operator has disabled is neither disabled nor enabled by them.
func PolicyEvents(server uint32, old, v Verdict, operatorDisabled bool) []policy.Event {
	var events []policy.Event
	if v.Ejected != old.Ejected && !operatorDisabled {
		kind := policy.EvEnable
		if v.Ejected {
			kind = policy.EvDisable
		}
		events = append(events, policy.Event{Kind: kind, Server: server})
	}
	if !v.Ejected && (v.Weight != old.Weight || v.MaxConn != old.MaxConn) {
		events = append(events, policy.Event{Kind: policy.EvSetWeight, Server: server, Weight: v.Weight, MaxConcurrent: v.MaxConn})
	}
	return events
}
