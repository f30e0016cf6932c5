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

// Health is how web servers are checked, and where this node answers those that check it.
type Health struct {
	Checks *Checks `yaml:"checks"`
	Answer *Answer `yaml:"answer"`
}

// Answer is the listeners on which this node is checked, host:port each; empty: not spoken.
type Answer struct {
	Agent string `yaml:"agent"` // HAProxy's agent-check
	HTTP  string `yaml:"http"`  // /health and /live
	GRPC  string `yaml:"grpc"`  // grpc.health.v1; services by their names
}

// Checks is how web servers are probed. Not given is as told here.
type Checks struct {
	Interval         time.Duration `yaml:"interval"`   // of a server of which nothing is known; 2 s
	Timeout          time.Duration `yaml:"timeout"`    // of a probe; 1 s
	Rise             int           `yaml:"rise"`       // good words in a row that bring a server back; 2
	Fall             int           `yaml:"fall"`       // failed checks in a row that take it out; 3
	TrafficFactor    float64       `yaml:"calm"`       // intervals between probes where real requests speak; 4
	MaxRatePerServer float64       `yaml:"per_server"` // probes a second that a server gets of all nodes together at most; 2
	MaxRate          float64       `yaml:"rate"`       // probes a second that this node makes at most; 200
	PanicThreshold   float64       `yaml:"panic"`      // part of the fleet above which those who say that it is bad are suspected; 0.5

	Agent *AgentCheck `yaml:"agent"`
	HTTP  *HTTPCheck  `yaml:"http"`
	TCP   *TCPCheck   `yaml:"tcp"`
	GRPC  *GRPCCheck  `yaml:"grpc"`
}

// AgentCheck asks HAProxy's agent-check.
type AgentCheck struct {
	Port int    `yaml:"port"` // on each web server's host
	Send string `yaml:"send"` // told to it first
}

// HTTPCheck asks for a page.
type HTTPCheck struct {
	Port   int    `yaml:"port"`   // 0: where the server serves, as in the others
	Method string `yaml:"method"` // GET or HEAD; GET
	Path   string `yaml:"path"`   // /
	Host   string `yaml:"host"`
	Status string `yaml:"status"` // such as 200-299,404; 200-399
	Body   string `yaml:"body"`   // that the answer must hold
}

// TCPCheck opens a connection.
type TCPCheck struct {
	Port int `yaml:"port"`
}

// GRPCCheck asks by the gRPC health protocol.
type GRPCCheck struct {
	Port    int    `yaml:"port"`
	Service string `yaml:"service"`
	Watch   bool   `yaml:"watch"` // keeps a stream a server
}

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
	_, err := h.Checks.Ready()
	return err
}

// Ready fills in what was not given. An error is a *FieldError.
func (c *Checks) Ready() (Checks, error) {
	out := *c
	for _, v := range []struct {
		field        *time.Duration
		name         string
		usual, least time.Duration
	}{{&out.Interval, "interval", 2 * time.Second, 100 * time.Millisecond}, {&out.Timeout, "timeout", time.Second, 10 * time.Millisecond}} {
		if *v.field == 0 {
			*v.field = v.usual
		}
		if *v.field < v.least || *v.field > time.Hour {
			return out, &FieldError{"health.checks." + v.name, fmt.Sprintf("%s is outside %s to 1h", *v.field, v.least)}
		}
	}
	for _, v := range []struct {
		field        *int
		name         string
		usual, least int
	}{{&out.Rise, "rise", 2, 1}, {&out.Fall, "fall", 3, 1}} {
		if *v.field == 0 {
			*v.field = v.usual
		}
		if *v.field < v.least || *v.field > 100 {
			return out, &FieldError{"health.checks." + v.name, fmt.Sprintf("%d is outside %d to 100", *v.field, v.least)}
		}
	}
	for _, v := range []struct {
		field              *float64
		name               string
		usual, least, most float64
	}{{&out.TrafficFactor, "calm", 4, 1, 1000}, {&out.MaxRatePerServer, "per_server", 2, 0.001, 1000}, {&out.MaxRate, "rate", 200, 0.1, 100000}, {&out.PanicThreshold, "panic", 0.5, 0.01, 1}} {
		if *v.field == 0 {
			*v.field = v.usual
		}
		if !(*v.field >= v.least && *v.field <= v.most) {
			return out, &FieldError{"health.checks." + v.name, fmt.Sprintf("%v is outside %v to %v", *v.field, v.least, v.most)}
		}
	}
	if c.Agent == nil && c.HTTP == nil && c.TCP == nil && c.GRPC == nil {
		return out, &FieldError{"health.checks", "none of agent, http, tcp and grpc is there"}
	}
	if c.Agent != nil && (c.Agent.Port < 1 || c.Agent.Port > 65535) {
		return out, &FieldError{"health.checks.agent.port", fmt.Sprintf("%d is outside 1 to 65535", c.Agent.Port)}
	}
	type at struct {
		name string
		port int
	}
	var ports []at
	if c.TCP != nil {
		ports = append(ports, at{"tcp", c.TCP.Port})
	}
	if c.GRPC != nil {
		ports = append(ports, at{"grpc", c.GRPC.Port})
	}
	if h := c.HTTP; h != nil {
		ports = append(ports, at{"http", h.Port})
		page := *h
		if page.Method == "" {
			page.Method = "GET"
		}
		if page.Path == "" {
			page.Path = "/"
		}
		if page.Status == "" {
			page.Status = "200-399"
		}
		switch {
		case page.Method != "GET" && page.Method != "HEAD":
			return out, &FieldError{"health.checks.http.method", fmt.Sprintf("%q is neither GET nor HEAD", page.Method)}
		case page.Method == "HEAD" && page.Body != "":
			return out, &FieldError{"health.checks.http.body", "an answer to HEAD has none"}
		case !strings.HasPrefix(page.Path, "/"):
			return out, &FieldError{"health.checks.http.path", fmt.Sprintf("%q does not begin with /", page.Path)}
		}
		if _, err := parseStatuses(page.Status); err != nil {
			return out, &FieldError{"health.checks.http.status", err.Error()}
		}
		out.HTTP = &page
	}
	for _, v := range ports {
		if v.port < 0 || v.port > 65535 {
			return out, &FieldError{"health.checks." + v.name + ".port", fmt.Sprintf("%d is outside 0 to 65535", v.port)}
		}
	}
	if len(ports) > 1 {
		return out, &FieldError{"health.checks." + ports[1].name, "one of http, tcp and grpc is enough: the outcomes of two would be counted as one's"}
	}
	return out, nil
}

// statuses reads ranges such as 200-299,404.
func parseStatuses(text string) ([]probe.Range, error) {
	var all []probe.Range
	for part := range strings.SplitSeq(text, ",") {
		from, to, ranged := strings.Cut(strings.TrimSpace(part), "-")
		if !ranged {
			to = from
		}
		a, err1 := strconv.Atoi(from)
		b, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || a < 100 || b > 599 || a > b {
			return nil, fmt.Errorf("%q is no status from 100 to 599, or range of them", part)
		}
		all = append(all, probe.Range{From: a, To: b})
	}
	return all, nil
}

// Weighing is how often so many nodes, which probe alike, ask a server, and by which rules they weigh what is said. The
// checks are ready.
func (c *Checks) Weighing(nodes int) (health.Pace, health.Rules) {
	share := float64(len(c.Probers())) // they share the budget
	pace := health.Pace{Interval: c.Interval, Calm: c.TrafficFactor, PerServer: c.MaxRatePerServer / share, Rate: c.MaxRate / share, Nodes: nodes, Jitter: 0.1}
	rules := health.Usual(pace.Slowest())
	rules.Panic, rules.Rise, rules.Fall = c.PanicThreshold, c.Rise, c.Fall
	return pace, rules
}

// Probers are the protocols that are asked for, by name. The checks are ready.
func (c *Checks) Probers() map[string]probe.Prober {
	all := map[string]probe.Prober{}
	if a := c.Agent; a != nil {
		all["agent"] = &probe.AgentCheck{Port: a.Port, Send: a.Send}
	}
	if h := c.HTTP; h != nil {
		ranges, _ := parseStatuses(h.Status) // it was checked
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
