package scenario

import (
	"fmt"
	"math"
	"time"

	"portstall/internal/config"
)

// Default returns the values of fields that a scenario file does not set: one data center of thirteen servers of two
// types behind two nodes. Figures for which the operators state a range are in its middle.
func Default() Scenario {
	return Scenario{
		Seed: 1, Duration: 40 * time.Second, Warmup: 2 * time.Second, Nodes: 2,
		Servers: Servers{Count: 13, Zones: 1, PodSize: 7,
			Kinds: []ServerType{
				{Name: "std-2c", Share: 0.36, Cores: 2, Speed: 0.95, SpeedCV: 0.15, SlotsPerCore: 1, QueuePerCore: 3, ColdFrom: 0.4,
					ColdFor: 6 * time.Second, WarmBy: "work", ErrorRate: 0.0005},
				{Name: "slow-2c", Share: 0.64, Cores: 2, Speed: 0.6, SpeedCV: 0.12, SlotsPerCore: 1, QueuePerCore: 2, ColdFrom: 0.45,
					ColdFor: 6 * time.Second, WarmBy: "work", ErrorRate: 0.001},
			},
			Connections: Connections{CapPerCore: 700, HandshakeWork: 2300 * time.Microsecond, HandshakeRTTs: 2,
				Idle: 10 * time.Second, ConnectTimeout: 250 * time.Millisecond},
			Choke:   Contention{At: 6},
			Reports: Reports{Period: 220 * time.Millisecond, Delay: 50 * time.Millisecond, Noise: 0.1},
		},
		Network: Network{OneWay: 100 * time.Microsecond, Client: 350 * time.Microsecond, Jitter: 0.2},
		Roster: Discovery{AddLag: 1500 * time.Millisecond, Notice: 3 * time.Second, SilentNotice: 8 * time.Second,
			CallTime: 20 * time.Millisecond, Timeout: time.Second},
		Front: FrontBalancer{Notice: 2 * time.Second},
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
			ColdShare: 0.3, ColdFor: 8300 * time.Millisecond, AnswerSlack: 20 * time.Millisecond, TunnelDrain: 3 * time.Second,
			OverShare: 0.2},
	}
}

// Parse parses and checks the text of a scenario file; errors begin with the name.
func Parse(name string, text []byte) (Scenario, error) {
	s := Default()
	if err := config.Decode(name, text, &s, s.check); err != nil {
		return Scenario{}, err
	}
	return s, nil
}

// Check returns the first invalid field as a *config.FieldError, and nil if there is none. It sets the size of cells to
// 1 where only their tenants are given.
func (s *Scenario) Check() error { return s.check() }

// check implements Check.
func (s *Scenario) check() error {
	var first error
	reject := func(path, format string, args ...any) {
		if first == nil {
			first = &config.FieldError{Path: path, Reason: fmt.Sprintf(format, args...)}
		}
	}
	checkInt := func(path string, v, lower, upper int) {
		if v < lower || v > upper {
			reject(path, "%d is outside %d to %d", v, lower, upper)
		}
	}
	checkFloat := func(path string, v, lower, upper float64) {
		if !(v >= lower && v <= upper) {
			reject(path, "%v is outside %v to %v", v, lower, upper)
		}
	}
	checkDuration := func(path string, v, lower time.Duration) {
		if v < lower || v > 24*time.Hour {
			reject(path, "%v is outside %v to 24h", v, lower)
		}
	}
	checkWord := func(path, v string, allowed ...string) {
		for _, a := range allowed {
			if v == a {
				return
			}
		}
		reject(path, "%q is none of %q", v, allowed)
	}
	if s.Name == "" {
		reject("name", "missing")
	}
	checkDuration("duration", s.Duration, time.Second)
	checkDuration("warmup", s.Warmup, 0)
	if s.Warmup >= s.Duration {
		reject("warmup", "%v is not shorter than the duration of %v", s.Warmup, s.Duration)
	}
	checkInt("nodes", s.Nodes, 1, 100)
	servers := &s.Servers
	checkInt("servers.count", servers.Count, 1, 10000)
	checkInt("servers.zones", servers.Zones, 1, 20)
	checkWord("servers.via", servers.Via, "", "socks5", "connect")
	checkWord("clients.via", s.Clients.Via, "", "socks5", "connect")
	checkInt("servers.pod_size", servers.PodSize, 0, 10000)
	if len(servers.Kinds) == 0 {
		reject("servers.kinds", "at least one is needed")
	}
	for i, k := range servers.Kinds {
		prefix := fmt.Sprintf("servers.kinds[%d].", i)
		if k.Name == "" {
			reject(prefix+"name", "missing")
		}
		checkFloat(prefix+"share", k.Share, 1e-6, math.MaxFloat64)
		checkInt(prefix+"cores", k.Cores, 1, 256)
		checkFloat(prefix+"speed", k.Speed, 0.01, 100)
		checkFloat(prefix+"speed_cv", k.SpeedCV, 0, 1)
		checkInt(prefix+"slots_per_core", k.SlotsPerCore, 1, 1000)
		checkInt(prefix+"queue_per_core", k.QueuePerCore, 0, 10000)
		checkFloat(prefix+"cold_from", k.ColdFrom, 0.01, 1)
		checkDuration(prefix+"cold_for", k.ColdFor, 0)
		checkWord(prefix+"warm_by", k.WarmBy, "time", "work")
		checkFloat(prefix+"error_rate", k.ErrorRate, 0, 1)
	}
	connections := &servers.Connections
	checkInt("servers.connections.cap_per_core", connections.CapPerCore, 1, 1<<20)
	checkDuration("servers.connections.handshake_work", connections.HandshakeWork, 0)
	checkInt("servers.connections.handshake_rtts", connections.HandshakeRTTs, 0, 10)
	checkDuration("servers.connections.idle", connections.Idle, time.Millisecond)
	checkDuration("servers.connections.connect_timeout", connections.ConnectTimeout, time.Millisecond)
	checkFloat("servers.choke.at", servers.Choke.At, 0, math.MaxFloat64)
	checkFloat("servers.choke.by", servers.Choke.By, 0, 100)
	checkDuration("servers.reports.period", servers.Reports.Period, time.Millisecond)
	checkDuration("servers.reports.delay", servers.Reports.Delay, 0)
	checkFloat("servers.reports.noise", servers.Reports.Noise, 0, 10)
	checkDuration("network.one_way", s.Network.OneWay, 0)
	checkDuration("network.client", s.Network.Client, 0)
	checkFloat("network.jitter", s.Network.Jitter, 0, 10)
	checkDuration("roster.add_lag", s.Roster.AddLag, 0)
	checkDuration("roster.notice", s.Roster.Notice, 0)
	checkDuration("roster.silent_notice", s.Roster.SilentNotice, 0)
	checkDuration("roster.call_time", s.Roster.CallTime, 0)
	checkDuration("roster.timeout", s.Roster.Timeout, time.Millisecond)
	checkDuration("front.notice", s.Front.Notice, 0)
	checkDuration("front.moves", s.Front.Moves, 0)
	if n := len(s.Front.Split); n > 0 && n != s.Nodes {
		reject("front.split", "%d shares for %d nodes", n, s.Nodes)
	}
	for i, v := range s.Front.Split {
		checkFloat(fmt.Sprintf("front.split[%d]", i), v, 1e-6, math.MaxFloat64)
	}
	clients := &s.Clients
	checkWord("clients.arrivals", clients.Arrivals, "poisson", "constant", "bursty")
	checkFloat("clients.burstiness", clients.Burstiness, 0.1, 20)
	checkFloat("clients.rate", clients.Rate, 0, 1e7)
	if clients.Rate == 0 {
		checkFloat("clients.load", clients.Load, 0.001, 100)
	}
	checkFloat("clients.wave", clients.Wave, 0, 1)
	checkDuration("clients.wave_period", clients.WavePeriod, time.Millisecond)
	checkFloat("clients.retries", clients.Retries, 0, 100)
	checkDuration("clients.backoff", clients.Backoff, 0)
	checkFloat("clients.honour", clients.Honour, 0, 1)
	checkFloat("clients.try_share", clients.TryShare, 0.01, 1)
	checkFloat("clients.stubborn", clients.Stubborn, 0, 1)
	checkFloat("clients.impatient", clients.Impatient, 0, 1)
	if len(s.Classes) == 0 {
		reject("classes", "at least one is needed")
	}
	classes := map[string]bool{}
	for i, c := range s.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		if c.Name == "" || classes[c.Name] {
			reject(prefix+"name", "%q is missing or used twice", c.Name)
		}
		classes[c.Name] = true
		checkFloat(prefix+"share", c.Share, 1e-6, math.MaxFloat64)
		checkDuration(prefix+"work", c.Work, time.Microsecond)
		checkFloat(prefix+"cv", c.CV, 0, 20)
		checkDuration(prefix+"deadline", c.Deadline, time.Millisecond)
		checkDuration(prefix+"aim", c.Aim, time.Millisecond)
		if c.Aim > c.Deadline {
			reject(prefix+"aim", "%v is longer than the deadline of %v", c.Aim, c.Deadline)
		}
		checkFloat(prefix+"worth", c.Worth, 0, 1e9)
		checkWord(prefix+"effect", c.Effect, "safe", "keyed", "unsafe")
		checkWord(prefix+"group", c.Group, "", "all", "zone", "pod")
		checkDuration(prefix+"window", c.Window, 0)
		checkDuration(prefix+"stands", c.Stands, 0)
		if c.Effect == "keyed" && c.Window == 0 {
			reject(prefix+"window", "missing: a keyed class needs the time for which repeats are dropped")
		}
	}
	tenants := map[string]bool{}
	for i, t := range s.Tenants {
		prefix := fmt.Sprintf("tenants[%d].", i)
		if t.Name == "" || tenants[t.Name] {
			reject(prefix+"name", "%q is missing or used twice", t.Name)
		}
		tenants[t.Name] = true
		checkFloat(prefix+"share", t.Share, 1e-6, 1)
		checkFloat(prefix+"usage", t.Usage, 0, 1000)
		checkFloat(prefix+"hints", t.Hints, 0, 1000)
	}
	if s.Cells.Size != 0 || len(s.Cells.Tenants) > 0 {
		s.Cells.Size = max(s.Cells.Size, 1)
		if _, err := s.Cells.ConfigAt(time.Unix(1, 0)).Settings(); err != nil && first == nil {
			first = err
		}
	}
	for i, v := range s.Cells.Tenants {
		if !tenants[v.Tenant] {
			reject(fmt.Sprintf("cells.tenants[%d].tenant", i), "%q is not a tenant of this scenario", v.Tenant)
		}
	}
	rules := &s.Rules
	checkInt("rules.max_attempts", rules.MaxAttempts, 1, 100)
	checkDuration("rules.drain_grace", rules.DrainGrace, 0)
	checkFloat("rules.fall_multiple", rules.FallMultiple, 1, 100)
	checkDuration("rules.fall_for", rules.FallFor, time.Millisecond)
	checkFloat("rules.cold_share", rules.ColdShare, 0.01, 1)
	checkDuration("rules.cold_for", rules.ColdFor, 0)
	checkFloat("rules.tunnel_drain", rules.TunnelDrain.Seconds(), 0.001, 60)
	checkDuration("rules.answer_slack", rules.AnswerSlack, 0)
	checkFloat("rules.over_share", rules.OverShare, 0, 1)
	if s.Health != nil && s.Health.Checks != nil {
		if _, err := s.Health.Checks.WithDefaults(); err != nil && first == nil {
			first = err
		}
	}
	if first == nil {
		if _, err := s.ContractTable(); err != nil {
			first = err
		}
	}
	for i, f := range s.Faults {
		prefix := fmt.Sprintf("faults[%d].", i)
		kind, ok := FaultKinds[f.Kind]
		if !ok {
			reject(prefix+"kind", "%q is not a kind of fault; `portstall lab faults` lists them", f.Kind)
			continue
		}
		checkDuration(prefix+"at", f.At, 0)
		if f.At > s.Duration {
			reject(prefix+"at", "%v is after the scenario's end at %v", f.At, s.Duration)
		}
		if !kind.Instant {
			checkDuration(prefix+"for", f.For, time.Millisecond)
		}
		for _, v := range []struct {
			name  string
			reads bool
			value float64
			upper float64
		}{{"share", kind.Share, f.Share, 1}, {"part", kind.Part, f.Part, 1}, {"factor", kind.Factor, f.Factor, 1e6},
			{"nodes", kind.Nodes, f.Nodes, 1}, {"delay", kind.Delay, f.Delay.Seconds(), 3600}} {
			if !v.reads && v.value != 0 {
				reject(prefix+v.name, "faults of kind %s do not use it", f.Kind)
			}
			if v.reads && !(v.value > 0 && v.value <= v.upper) && !(f.Kind == "report_lie" && v.name == "factor" && v.value == 0) {
				reject(prefix+v.name, "%v is outside 0 (not included) to %v", v.value, v.upper)
			}
		}
		if f.Class != "" && !classes[f.Class] {
			reject(prefix+"class", "%q is not a class of this scenario", f.Class)
		}
		if f.Tenant != "" && !tenants[f.Tenant] {
			reject(prefix+"tenant", "%q is not a tenant of this scenario", f.Tenant)
		}
		if needsProxies(f.Kind) && servers.Via == "" {
			reject(prefix+"kind", "%s needs servers that are reached through proxies (servers.via)", f.Kind)
		}
		if needsChecks(f.Kind) && (s.Health == nil || s.Health.Checks == nil) {
			reject(prefix+"kind", "%s needs nodes that check the health of servers (health.checks)", f.Kind)
		}
		if f.Says != "" && f.Kind != "agent_says" {
			reject(prefix+"says", "faults of kind %s do not use it", f.Kind)
		}
		if f.Kind == "poison" && f.Tenant == "" {
			reject(prefix+"tenant", "missing: a poison fault needs one")
		}
		if f.Kind == "zone_loss" {
			checkInt(prefix+"zone", f.Zone, 0, servers.Zones-1)
		}
	}
	return first
}
