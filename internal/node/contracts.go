package node

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"portstall/internal/config"
	"portstall/internal/contract"
	fronthttp "portstall/internal/front/http"
	"portstall/policy"
)

// contracts compiles those of the product's own file for the classes that the settings know. Nil where there are none, and none where
// control tells them: the part of them that a process hands out, and what a predecessor has spent, count from the first on.
func (c *Config) contracts() (*contract.Table, error) {
	if c.followed != nil {
		return contract.NewTable(nil)
	}
	if c.Product == nil {
		return nil, nil
	}
	return config.Compile(c.Product, c.effects())
}

// effects are those of the classes that the settings know, as the product's own file names them.
func (c *Config) effects() map[string]string {
	names := map[policy.Effect]string{policy.Safe: "safe", policy.Keyed: "keyed", policy.Unsafe: "unsafe"}
	effects := map[string]string{}
	for _, class := range c.Settings.Policy.Classes {
		effects[class.Name] = names[class.Effect]
	}
	return effects
}

// Explanation is what a node answers an operator who asks why.
type Explanation struct {
	Contract string          `json:"contract"` // empty: none is for this caller
	Rule     contract.Rule   `json:"rule"`     // by which it would be refused now; empty: it would be let in
	Why      string          `json:"why"`
	Level    *contract.Level `json:"level,omitempty"`
}

// Explain tells which contract a request would fall under and whether it would be let in now: tenant, class, from, token
// and any number of header=Name: value. It charges nothing.
func (n *node) Explain(q url.Values) (any, error) {
	h := http.Header{}
	h.Set("X-Tenant", q.Get("tenant"))
	for _, line := range q["header"] {
		name, value, _ := strings.Cut(line, ":")
		h.Set(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	var from netip.Addr
	if text := q.Get("from"); text != "" {
		var err error
		if from, err = netip.ParseAddr(text); err != nil {
			return nil, fmt.Errorf("from: %q is no address", text)
		}
	}
	c := fronthttp.Caller(h, from, q.Get("user"))
	c.Token = q.Get("token")
	v, level, err := n.core.Explain(&c, q.Get("class"), q.Get("repeat") == "1")
	if err != nil {
		return nil, err
	}
	e := Explanation{Rule: v.Rule, Why: "it would be let in"}
	if v.Rule != contract.Kept {
		e.Why = v.Rule.Why()
	}
	if v.Contract >= 0 {
		e.Contract, e.Level = level.Name, &level
	}
	return e, nil
}
