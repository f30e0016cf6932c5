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

// contractTable compiles the contracts of the product's own file for the classes that the settings know. It returns nil
// where the file has none. Where control provides the contracts it returns an empty table, so that the process share
// and what a predecessor has spent count from the first contract on.
func (c *Config) contractTable() (*contract.Table, error) {
	if c.follower != nil {
		return contract.NewTable(nil)
	}
	if c.Product == nil {
		return nil, nil
	}
	return config.Compile(c.Product, c.classEffects())
}

// classEffects returns the effects of the classes that the settings know, under their names in the product's own file.
func (c *Config) classEffects() map[string]string {
	names := map[policy.Effect]string{policy.Safe: "safe", policy.Keyed: "keyed", policy.Unsafe: "unsafe"}
	effects := map[string]string{}
	for _, class := range c.Settings.Policy.Classes {
		effects[class.Name] = names[class.Effect]
	}
	return effects
}

// Explanation is a node's reply to an operator who asks how a request would be treated.
type Explanation struct {
	Contract string           `json:"contract"` // the contract that applies; empty: none applies to this caller
	Rule     contract.Rule    `json:"rule"`     // the rule by which the request would be refused now; empty: it would be admitted
	Why      string           `json:"why"`
	Status   *contract.Status `json:"level,omitempty"`
}

// Explain reports which contract a request would fall under and whether it would be admitted now. The query has tenant,
// class, from, token and any number of header=Name: value. It charges nothing to the contract.
func (n *node) Explain(query url.Values) (any, error) {
	header := http.Header{}
	header.Set("X-Tenant", query.Get("tenant"))
	for _, line := range query["header"] {
		name, value, _ := strings.Cut(line, ":")
		header.Set(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	var from netip.Addr
	if text := query.Get("from"); text != "" {
		var err error
		if from, err = netip.ParseAddr(text); err != nil {
			return nil, fmt.Errorf("from: %q is not an IP address", text)
		}
	}
	caller := fronthttp.Caller(header, from, query.Get("user"))
	caller.Token = query.Get("token")
	verdict, level, err := n.core.Explain(&caller, query.Get("class"), query.Get("repeat") == "1")
	if err != nil {
		return nil, err
	}
	explanation := Explanation{Rule: verdict.Rule, Why: "it would be admitted"}
	if verdict.Rule != contract.Admitted {
		explanation.Why = verdict.Rule.Why()
	}
	if verdict.Contract >= 0 {
		explanation.Contract, explanation.Status = level.Name, &level
	}
	return explanation, nil
}
