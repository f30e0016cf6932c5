package config

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"portstall/internal/health"
	"portstall/internal/health/probe"
)

// Health holds how web servers are checked, and where this node responds to health checks itself.
type Health struct {
	Checks *Checks     `yaml:"checks"`
	Answer *Responders `yaml:"answer"`
}

// Responders holds the listeners on which this node responds to health checks, each host:port; empty: disabled.
type Responders struct {
	Agent string `yaml:"agent"` // HAProxy's agent-check protocol
	HTTP  string `yaml:"http"`  // /health and /live
	GRPC  string `yaml:"grpc"`  // grpc.health.v1, for each service by its name
}

// Checks holds how web servers are probed.
type Checks struct {
	Interval  time.Duration `yaml:"interval"`   // between probes of a server whose health is unknown; default 2 s
	Timeout   time.Duration `yaml:"timeout"`    // of a probe; default 1 s
	Rise      int           `yaml:"rise"`       // consecutive successes after which an ejected server returns; default 2
	Fall      int           `yaml:"fall"`       // consecutive failures after which a server is ejected; default 3
	Calm      float64       `yaml:"calm"`       // intervals between probes of a server that real requests cover; default 4
	PerServer float64       `yaml:"per_server"` // maximum probes per second of one server by all nodes together; default 2
	Rate      float64       `yaml:"rate"`       // maximum probes per second by this node; default 200
	Panic     float64       `yaml:"panic"`      // share of servers found unhealthy above which the checks themselves are doubted; default 0.5

	Agent *AgentCheck `yaml:"agent"`
	HTTP  *HTTPCheck  `yaml:"http"`
	TCP   *TCPCheck   `yaml:"tcp"`
	GRPC  *GRPCCheck  `yaml:"grpc"`
}

// AgentCheck probes by HAProxy's agent-check protocol.
type AgentCheck struct {
	Port int    `yaml:"port"` // on the host of each web server
	Send string `yaml:"send"` // sent to the agent first
}

// HTTPCheck probes by an HTTP request.
type HTTPCheck struct {
	Port   int    `yaml:"port"`   // 0: the port on which the server serves requests, also in TCPCheck and GRPCCheck
	Method string `yaml:"method"` // GET (the default) or HEAD
	Path   string `yaml:"path"`   // default /
	Host   string `yaml:"host"`
	Status string `yaml:"status"` // accepted statuses, as in 200-299,404; default 200-399
	Body   string `yaml:"body"`   // text that the response must contain
}

// TCPCheck probes by opening a connection.
type TCPCheck struct {
	Port int `yaml:"port"`
}

// GRPCCheck probes by the gRPC health checking protocol.
type GRPCCheck struct {
	Port    int    `yaml:"port"`
	Service string `yaml:"service"`
	Watch   bool   `yaml:"watch"` // keeps one Watch stream open per server instead of polling
}

// check checks the section. An error is a *FieldError.
func (h *Health) check() error {
	if h.Answer != nil {
		for _, v := range []struct{ field, addr string }{{"agent", h.Answer.Agent}, {"http", h.Answer.HTTP}, {"grpc", h.Answer.GRPC}} {
			if _, _, err := net.SplitHostPort(v.addr); v.addr != "" && err != nil {
				return &FieldError{"health.answer." + v.field, fmt.Sprintf("%q is not host:port", v.addr)}
			}
		}
	}
	if h.Checks == nil {
		return nil
	}
	_, err := h.Checks.WithDefaults()
	return err
}

// WithDefaults returns the checked section with defaults filled in. An error is a *FieldError.
func (c *Checks) WithDefaults() (Checks, error) {
	out := *c
	for _, v := range []struct {
		field                 *time.Duration
		name                  string
		defaultValue, minimum time.Duration
	}{{&out.Interval, "interval", 2 * time.Second, 100 * time.Millisecond}, {&out.Timeout, "timeout", time.Second, 10 * time.Millisecond}} {
		if *v.field == 0 {
			*v.field = v.defaultValue
		}
		if *v.field < v.minimum || *v.field > time.Hour {
			return out, &FieldError{"health.checks." + v.name, fmt.Sprintf("%s is outside %s to 1h", *v.field, v.minimum)}
		}
	}
	for _, v := range []struct {
		field                 *int
		name                  string
		defaultValue, minimum int
	}{{&out.Rise, "rise", 2, 1}, {&out.Fall, "fall", 3, 1}} {
		if *v.field == 0 {
			*v.field = v.defaultValue
		}
		if *v.field < v.minimum || *v.field > 100 {
			return out, &FieldError{"health.checks." + v.name, fmt.Sprintf("%d is outside %d to 100", *v.field, v.minimum)}
		}
	}
	for _, v := range []struct {
		field                          *float64
		name                           string
		defaultValue, minimum, maximum float64
	}{{&out.Calm, "calm", 4, 1, 1000}, {&out.PerServer, "per_server", 2, 0.001, 1000}, {&out.Rate, "rate", 200, 0.1, 100000}, {&out.Panic, "panic", 0.5, 0.01, 1}} {
		if *v.field == 0 {
			*v.field = v.defaultValue
		}
		if !(*v.field >= v.minimum && *v.field <= v.maximum) {
			return out, &FieldError{"health.checks." + v.name, fmt.Sprintf("%v is outside %v to %v", *v.field, v.minimum, v.maximum)}
		}
	}
	if c.Agent == nil && c.HTTP == nil && c.TCP == nil && c.GRPC == nil {
		return out, &FieldError{"health.checks", "none of agent, http, tcp and grpc is given"}
	}
	if c.Agent != nil && (c.Agent.Port < 1 || c.Agent.Port > 65535) {
		return out, &FieldError{"health.checks.agent.port", fmt.Sprintf("%d is outside 1 to 65535", c.Agent.Port)}
	}
	type namedPort struct {
		name string
		port int
	}
	var ports []namedPort
	if c.TCP != nil {
		ports = append(ports, namedPort{"tcp", c.TCP.Port})
	}
	if c.GRPC != nil {
		ports = append(ports, namedPort{"grpc", c.GRPC.Port})
	}
	if h := c.HTTP; h != nil {
		ports = append(ports, namedPort{"http", h.Port})
		check := *h
		if check.Method == "" {
			check.Method = "GET"
		}
		if check.Path == "" {
			check.Path = "/"
		}
		if check.Status == "" {
			check.Status = "200-399"
		}
		switch {
		case check.Method != "GET" && check.Method != "HEAD":
			return out, &FieldError{"health.checks.http.method", fmt.Sprintf("%q is neither GET nor HEAD", check.Method)}
		case check.Method == "HEAD" && check.Body != "":
			return out, &FieldError{"health.checks.http.body", "a response to HEAD has no body"}
		case !strings.HasPrefix(check.Path, "/"):
			return out, &FieldError{"health.checks.http.path", fmt.Sprintf("%q does not begin with /", check.Path)}
		}
		if _, err := parseStatuses(check.Status); err != nil {
			return out, &FieldError{"health.checks.http.status", err.Error()}
		}
		out.HTTP = &check
	}
	for _, v := range ports {
		if v.port < 0 || v.port > 65535 {
			return out, &FieldError{"health.checks." + v.name + ".port", fmt.Sprintf("%d is outside 0 to 65535", v.port)}
		}
	}
	if len(ports) > 1 {
		return out, &FieldError{"health.checks." + ports[1].name, "only one of http, tcp and grpc is allowed: the outcomes of two would be counted as those of one"}
	}
	return out, nil
}

// parseStatuses parses ranges of HTTP statuses, as in 200-299,404.
func parseStatuses(text string) ([]probe.StatusRange, error) {
	var all []probe.StatusRange
	for part := range strings.SplitSeq(text, ",") {
		from, to, ranged := strings.Cut(strings.TrimSpace(part), "-")
		if !ranged {
			to = from
		}
		first, err1 := strconv.Atoi(from)
		last, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || first < 100 || last > 599 || first > last {
			return nil, fmt.Errorf("%q is not a status from 100 to 599 or a range of them", part)
		}
		all = append(all, probe.StatusRange{From: first, To: last})
	}
	return all, nil
}

// ProbeRules returns the limits on this node's probes, where the given number of nodes probe with the same settings, and
// the rules by which the outcomes are judged. Defaults must have been filled in.
func (c *Checks) ProbeRules(nodes int) (health.ProbeSettings, health.Rules) {
	share := float64(len(c.Probers())) // the protocols share the budget
	settings := health.ProbeSettings{Interval: c.Interval, IntervalFactor: c.Calm, MaxPerServer: c.PerServer / share, MaxRate: c.Rate / share, Nodes: nodes, Jitter: 0.1}
	rules := health.DefaultRules(settings.MaxInterval())
	rules.PanicThreshold, rules.Rise, rules.Fall = c.Panic, c.Rise, c.Fall
	return settings, rules
}

// Probers returns the configured probers by protocol name. Defaults must have been filled in.
func (c *Checks) Probers() map[string]probe.Prober {
	all := map[string]probe.Prober{}
	if a := c.Agent; a != nil {
		all["agent"] = &probe.AgentCheck{Port: a.Port, Send: a.Send}
	}
	if h := c.HTTP; h != nil {
		ranges, _ := parseStatuses(h.Status) // can't fail: WithDefaults has checked it
		all["http"] = &probe.HTTP{Port: h.Port, Method: h.Method, Path: h.Path, Host: h.Host, Statuses: ranges, Body: h.Body}
	}
	if t := c.TCP; t != nil {
		all["tcp"] = &probe.TCP{Port: t.Port}
	}
	if g := c.GRPC; g != nil {
		all["grpc"] = &probe.GRPC{Port: g.Port, Service: g.Service, Watch: g.Watch}
	}
	return all
}
