package scenario

import (
	"fmt"
	"math"
	"time"

	"portstall/internal/config"
)

// Default is the fleet that a scenario has where its file says nothing: one data centre of thirteen mixed servers behind
// two nodes, with middles of the ranges that the operators state.
func Default() Scenario {
	return Scenario{
		Seed: 1, Duration: 40 * time.Second, Warmup: 2 * time.Second, Nodes: 2,
		Servers: Servers{Count: 13, Zones: 1, PodSize: 7,
			Kinds: []Kind{
				{Name: "std-2c", Share: 0.36, Cores: 2, Speed: 0.95, SpeedCV: 0.15, SlotsPerCore: 1, QueuePerCore: 3, ColdFrom: 0.4,
					ColdFor: 6 * time.Second, WarmBy: "work", ErrorRate: 0.0005},
				{Name: "slow-2c", Share: 0.64, Cores: 2, Speed: 0.6, SpeedCV: 0.12, SlotsPerCore: 1, QueuePerCore: 2, ColdFrom: 0.45,
					ColdFor: 6 * time.Second, WarmBy: "work", ErrorRate: 0.001},
			},
			Connections: Connections{CapPerCore: 700, HandshakeWork: 2300 * time.Microsecond, HandshakeRTTs: 2,
				Idle: 10 * time.Second, ConnectTimeout: 250 * time.Millisecond},
			Choke:   Choke{At: 6},
			Reports: Reports{Period: 220 * time.Millisecond, Delay: 50 * time.Millisecond, Noise: 0.1},
		},
		Network: Network{OneWay: 100 * time.Microsecond, Client: 350 * time.Microsecond, Jitter: 0.2},
		Roster: Roster{AddLag: 1500 * time.Millisecond, Notice: 3 * time.Second, SilentNotice: 8 * time.Second,
			CallTime: 20 * time.Millisecond, Timeout: time.Second},
		Front: Front{Notice: 2 * time.Second},
		Clients: Clients{Arrivals: "poisson", Burstiness: 2, Load: 0.65, WavePeriod: 20 * time.Second, Retries: 1,
			Backoff: 150 * time.Millisecond, TryShare: 0.85, Impatient: 0.01},
		Classes: []Class{
			{Name: "search", Share: 0.49, Work: 50 * time.Millisecond, CV: 1.5, Aim: time.Second, Deadline: 3 * time.Second,
				Worth: 2, Effect: "safe"},
			{Name: "waitlist-join", Share: 0.36, Work: 100 * time.Millisecond, CV: 1.5, Aim: 750 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 3, Effect: "keyed", Group: "all", Window: 10 * time.Second},
			{Name: "place-accept", Share: 0.15, Work: 145 * time.Millisecond, CV: 1.5, Aim: 1200 * time.Millisecond,
				Deadline: 6 * time.Second, Worth: 8, Effect: "keyed", Group: "pod", Window: 12 * time.Second},
		},
		Tenants: []Tenant{{Name: "gulf-coast", Share: 0.72, Usage: 1}, {Name: "central-tx", Share: 0.15, Usage: 1},
			{Name: "panhandle", Share: 0.13, Usage: 1}},
		Rules: Rules{MaxAttempts: 6, DrainGrace: time.Second, FallMultiple: 2.5, FallFor: 1500 * time.Millisecond,
			ColdShare: 0.3, ColdFor: 8300 * time.Millisecond, AnswerSlack: 20 * time.Millisecond, TunnelDrain: 3 * time.Second, OverShare: 0.2},
	}
}

// Parse reads a scenario; name stands for the text in errors.
func Parse(name string, text []byte) (Scenario, error) {
	s := Default()
	if err := config.Decode(name, text, &s, s.check); err != nil {
		return Scenario{}, err
	}
	return s, nil
}

// Check reports the first field that makes no sense, as a *config.FieldError.
func (s *Scenario) Check() error { return s.check() }

func (s *Scenario) check() error {
	var first error
	bad := func(path, why string, args ...any) {
		if first == nil {
			first = &config.FieldError{Path: path, Why: fmt.Sprintf(why, args...)}
		}
	}
	count := func(path string, v, least, most int) {
		if v < least || v > most {
			bad(path, "%d is outside %d to %d", v, least, most)
		}
	}
	number := func(path string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(path, "%v is outside %v to %v", v, least, most)
		}
	}
	span := func(path string, v, least time.Duration) {
		if v < least || v > 24*time.Hour {
			bad(path, "%v is outside %v to 24h", v, least)
		}
	}
	word := func(path, v string, allowed ...string) {
		for _, a := range allowed {
			if v == a {
				return
			}
		}
		bad(path, "%q is none of %q", v, allowed)
	}
	if s.Name == "" {
		bad("name", "missing")
	}
	span("duration", s.Duration, time.Second)
	span("warmup", s.Warmup, 0)
	if s.Warmup >= s.Duration {
		bad("warmup", "%v leaves nothing of the %v that the scenario lasts", s.Warmup, s.Duration)
	}
	count("nodes", s.Nodes, 1, 100)
	v := &s.Servers
	count("servers.count", v.Count, 1, 10000)
	count("servers.zones", v.Zones, 1, 20)
	word("servers.via", v.Via, "", "socks5", "connect")
	word("clients.via", s.Clients.Via, "", "socks5", "connect")
	count("servers.pod_size", v.PodSize, 0, 10000)
	if len(v.Kinds) == 0 {
		bad("servers.kinds", "at least one is needed")
	}
	for i, k := range v.Kinds {
		p := fmt.Sprintf("servers.kinds[%d].", i)
		if k.Name == "" {
			bad(p+"name", "missing")
		}
		number(p+"share", k.Share, 1e-6, math.MaxFloat64)
		count(p+"cores", k.Cores, 1, 256)
		number(p+"speed", k.Speed, 0.01, 100)
		number(p+"speed_cv", k.SpeedCV, 0, 1)
		count(p+"slots_per_core", k.SlotsPerCore, 1, 1000)
		count(p+"queue_per_core", k.QueuePerCore, 0, 10000)
		number(p+"cold_from", k.ColdFrom, 0.01, 1)
		span(p+"cold_for", k.ColdFor, 0)
		word(p+"warm_by", k.WarmBy, "time", "work")
		number(p+"error_rate", k.ErrorRate, 0, 1)
	}
	c := &v.Connections
	count("servers.connections.cap_per_core", c.CapPerCore, 1, 1<<20)
	span("servers.connections.handshake_work", c.HandshakeWork, 0)
	count("servers.connections.handshake_rtts", c.HandshakeRTTs, 0, 10)
	span("servers.connections.idle", c.Idle, time.Millisecond)
	span("servers.connections.connect_timeout", c.ConnectTimeout, time.Millisecond)
	number("servers.choke.at", v.Choke.At, 0, math.MaxFloat64)
	number("servers.choke.by", v.Choke.By, 0, 100)
	span("servers.reports.period", v.Reports.Period, time.Millisecond)
	span("servers.reports.delay", v.Reports.Delay, 0)
	number("servers.reports.noise", v.Reports.Noise, 0, 10)
	span("network.one_way", s.Network.OneWay, 0)
	span("network.client", s.Network.Client, 0)
	number("network.jitter", s.Network.Jitter, 0, 10)
	span("roster.add_lag", s.Roster.AddLag, 0)
	span("roster.notice", s.Roster.Notice, 0)
	span("roster.silent_notice", s.Roster.SilentNotice, 0)
	span("roster.call_time", s.Roster.CallTime, 0)
	span("roster.timeout", s.Roster.Timeout, time.Millisecond)
	span("front.notice", s.Front.Notice, 0)
	span("front.moves", s.Front.Moves, 0)
	if n := len(s.Front.Split); n > 0 && n != s.Nodes {
		bad("front.split", "%d shares for %d nodes", n, s.Nodes)
	}
	for i, v := range s.Front.Split {
		number(fmt.Sprintf("front.split[%d]", i), v, 1e-6, math.MaxFloat64)
	}
	l := &s.Clients
	word("clients.arrivals", l.Arrivals, "poisson", "constant", "bursty")
	number("clients.burstiness", l.Burstiness, 0.1, 20)
	number("clients.rate", l.Rate, 0, 1e7)
	if l.Rate == 0 {
		number("clients.load", l.Load, 0.001, 100)
	}
	number("clients.wave", l.Wave, 0, 1)
	span("clients.wave_period", l.WavePeriod, time.Millisecond)
	number("clients.retries", l.Retries, 0, 100)
	span("clients.backoff", l.Backoff, 0)
	number("clients.honour", l.Honour, 0, 1)
	number("clients.try_share", l.TryShare, 0.01, 1)
	number("clients.stubborn", l.Stubborn, 0, 1)
	number("clients.impatient", l.Impatient, 0, 1)
	if len(s.Classes) == 0 {
		bad("classes", "at least one is needed")
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		p := fmt.Sprintf("classes[%d].", i)
		if c.Name == "" || names[c.Name] {
			bad(p+"name", "%q is missing or used twice", c.Name)
		}
		names[c.Name] = true
		number(p+"share", c.Share, 1e-6, math.MaxFloat64)
		span(p+"work", c.Work, time.Microsecond)
		number(p+"cv", c.CV, 0, 20)
		span(p+"deadline", c.Deadline, time.Millisecond)
		span(p+"aim", c.Aim, time.Millisecond)
		if c.Aim > c.Deadline {
			bad(p+"aim", "%v is past the deadline of %v", c.Aim, c.Deadline)
		}
		number(p+"worth", c.Worth, 0, 1e9)
		word(p+"effect", c.Effect, "safe", "keyed", "unsafe")
		word(p+"group", c.Group, "", "all", "zone", "pod")
		span(p+"window", c.Window, 0)
		span(p+"stands", c.Stands, 0)
		if c.Effect == "keyed" && c.Window == 0 {
			bad(p+"window", "missing: a keyed class says how long repeats are dropped")
		}
	}
	tenants := map[string]bool{}
	for i, t := range s.Tenants {
		p := fmt.Sprintf("tenants[%d].", i)
		if t.Name == "" || tenants[t.Name] {
			bad(p+"name", "%q is missing or used twice", t.Name)
		}
		tenants[t.Name] = true
		number(p+"share", t.Share, 1e-6, 1)
		number(p+"usage", t.Usage, 0, 1000)
		number(p+"hints", t.Hints, 0, 1000)
	}
	if s.Cells.Size != 0 || len(s.Cells.Tenants) > 0 {
		s.Cells.Size = max(s.Cells.Size, 1)
		if _, err := s.Cells.At(time.Unix(1, 0)).Terms(); err != nil && first == nil {
			first = err
		}
	}
	for i, v := range s.Cells.Tenants {
		if !tenants[v.Tenant] {
			bad(fmt.Sprintf("cells.tenants[%d].tenant", i), "%q is no tenant of this scenario", v.Tenant)
		}
	}
	r := &s.Rules
	count("rules.max_attempts", r.MaxAttempts, 1, 100)
	span("rules.drain_grace", r.DrainGrace, 0)
	number("rules.fall_multiple", r.FallMultiple, 1, 100)
	span("rules.fall_for", r.FallFor, time.Millisecond)
	number("rules.cold_share", r.ColdShare, 0.01, 1)
	span("rules.cold_for", r.ColdFor, 0)
	number("rules.tunnel_drain", r.TunnelDrain.Seconds(), 0.001, 60)
	span("rules.answer_slack", r.AnswerSlack, 0)
	number("rules.over_share", r.OverShare, 0, 1)
	if s.Health != nil && s.Health.Checks != nil {
		if _, err := s.Health.Checks.Ready(); err != nil && first == nil {
			first = err
		}
	}
	if first == nil {
		if _, err := s.Contracts(); err != nil {
			first = err
		}
	}
	for i, f := range s.Faults {
		p := fmt.Sprintf("faults[%d].", i)
		use, ok := Kinds[f.Kind]
		if !ok {
			bad(p+"kind", "%q is no kind of fault; `portstall lab faults` lists them", f.Kind)
			continue
		}
		span(p+"at", f.At, 0)
		if f.At > s.Duration {
			bad(p+"at", "%v is after the end at %v", f.At, s.Duration)
		}
		if !use.Instant {
			span(p+"for", f.For, time.Millisecond)
		}
		for _, v := range []struct {
			name  string
			reads bool
			value float64
			most  float64
		}{{"share", use.Share, f.Share, 1}, {"part", use.Part, f.Part, 1}, {"factor", use.Factor, f.Factor, 1e6},
			{"nodes", use.Nodes, f.Nodes, 1}, {"delay", use.Delay, f.Delay.Seconds(), 3600}} {
			if !v.reads && v.value != 0 {
				bad(p+v.name, "a fault of kind %s does not read it", f.Kind)
			}
			if v.reads && !(v.value > 0 && v.value <= v.most) && !(f.Kind == "report_lie" && v.name == "factor" && v.value == 0) {
				bad(p+v.name, "%v is outside 0 (not included) to %v", v.value, v.most)
			}
		}
		if f.Class != "" && !names[f.Class] {
			bad(p+"class", "%q is no class of this scenario", f.Class)
		}
		if f.Tenant != "" && !tenants[f.Tenant] {
			bad(p+"tenant", "%q is no tenant of this scenario", f.Tenant)
		}
		if needsProxies(f.Kind) && v.Via == "" {
			bad(p+"kind", "%s is for scenarios whose servers are reached by way of proxies (servers.via)", f.Kind)
		}
		if needsChecks(f.Kind) && (s.Health == nil || s.Health.Checks == nil) {
			bad(p+"kind", "%s is for scenarios whose nodes check servers (health.checks)", f.Kind)
		}
		if f.Says != "" && f.Kind != "agent_says" {
			bad(p+"says", "a fault of kind %s does not read it", f.Kind)
		}
		if f.Kind == "poison" && f.Tenant == "" {
			bad(p+"tenant", "missing: poison is a tenant's")
		}
		if f.Kind == "zone_loss" {
			count(p+"zone", f.Zone, 0, v.Zones-1)
		}
	}
	return first
}
