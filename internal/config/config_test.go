package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"portstall/internal/contract"
)

const validFile = `services:
  - name: placement
    classes: [{name: search, effect: safe}, {name: place-accept, effect: keyed}, {name: pay, effect: unsafe}]
contracts:
  - name: app
    match: [{tenant: gulf-coast}, {header: "x-team: app"}, {from: 10.1.2.3/8}, {from: 192.0.2.7}]
    services: [placement]
    rate: 200
    in_flight: 100
    attempts: {ratio: 0.2}
    retries: [search, place-accept]
    work: {guaranteed: 8, limit: 20}
    criticality: critical
  - name: everybody else
    rate: 1
    lends: 0
    weight: 0
`

// A valid file is parsed and compiled with all defaults filled in.
func TestValidFileIsCompiledWithDefaults(t *testing.T) {
	f, err := Parse("p.yaml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	table, err := Compile(f, map[string]string{"search": "safe"})
	if err != nil {
		t.Fatal(err)
	}
	app, fallback := table.Terms(0), table.Terms(1)
	if app.Burst != 200 || app.RetryWindow.Seconds() != 10 || app.Criticality != contract.Critical || app.Weight != 1 || app.LendableShare != 1 ||
		!app.Classes["pay"] || !app.RetryClasses["search"] || app.RetryClasses["pay"] || app.Matches[1].Header != "X-Team" ||
		app.Matches[2].From.String() != "10.0.0.0/8" || app.Matches[3].From.Bits() != 32 {
		t.Errorf("the contract app: %+v", app)
	}
	if fallback.Burst != 1 || fallback.LendableShare != 0 || fallback.Weight != 0 || fallback.Criticality != contract.Normal || fallback.RetryClasses != nil || fallback.Classes != nil {
		t.Errorf("the contract for everybody else: %+v", fallback)
	}
	cells, err := Parse("p.yaml", []byte("cells: {size: 6, tenants: [{tenant: gulf, pods: [1, 2], moves: [{to: [3], start: 2026-12-01T13:00:00Z, both: 30s, keys: [0, 0.5]}]}]}"))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := cells.Cells.Settings(); err != nil || c.MaxKeys != 100000 || c.Assumptions.MaxClockSkew != time.Second || c.Tenants[0].Moves[0].Prepare != 10*time.Second ||
		c.Tenants[0].Moves[0].Start != 1796130000*time.Second || c.Tenants[0].Moves[0].KeyBelow != 0.5 || c.Tenants[0].Moves[0].Back != 0 {
		t.Errorf("cells: %+v, %v", c, err)
	}
	if table, err := Compile(&File{}, nil); table != nil || err != nil {
		t.Errorf("a file without contracts: %v %v, want no table and no error", table, err)
	}
	path := filepath.Join(t.TempDir(), "p.yaml")
	if err := os.WriteFile(path, []byte(validFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err != nil {
		t.Error(err)
	}
	if _, err := Load(path + "x"); err == nil {
		t.Error("a missing file is read without an error")
	}
}

// The error about an invalid value names file, line and field. The error about a contract that allows retries of an
// unsafe class names both.
func TestErrorsNameFileLineAndField(t *testing.T) {
	contractWith := func(line string) string { return "contracts:\n- name: jobs\n  " + line + "\n" }
	for _, c := range []struct{ text, want string }{
		{"contracts: [", "p.yaml:1:"},
		{"contract: []\n", `p.yaml:1: unknown field "contract"`},
		{"contracts:\n- rate: 1\n", "contracts[0].name: missing"},
		{contractWith("rate: -1"), "p.yaml:3: contracts[0].rate: -1"},
		{contractWith("rate: .inf"), "p.yaml:3: contracts[0].rate"},
		{contractWith("burst: fast"), "p.yaml:3:"},
		{contractWith("services: [none]"), `p.yaml:3: contracts[0].services[0]: "none" is no service`},
		{contractWith("criticality: vital"), `p.yaml:3: contracts[0].criticality: "vital" is none of`},
		{contractWith("match: [{}]"), "p.yaml:3: contracts[0].match[0]: is empty"},
		{contractWith("match: [{from: here}]"), `p.yaml:3: contracts[0].match[0].from: "here"`},
		{contractWith("match: [{header: X-Team}]"), "p.yaml:3: contracts[0].match[0].header"},
		{contractWith("match: [{token_sha256: abc}]"), "p.yaml:3: contracts[0].match[0].token_sha256"},
		{contractWith("work: {guaranteed: 3, limit: 2}"), "p.yaml:3: contracts[0].work.guaranteed: 3 exceeds"},
		{contractWith("attempts: {ratio: 0.1, window: -1s}"), "p.yaml:3: contracts[0].attempts.window"},
		{"contracts:\n- {name: a}\n- {name: b}\n", "contracts[0] (a) and contracts[1] (b): both are for everybody"},
		{"services:\n- {name: s, classes: [{name: pay, effect: magic}]}\n", "p.yaml:2: services[0].classes[0].effect"},
		{"cells: {size: 0}\n", "cells.size: 0 is outside 1 to 10000"},
		{"health: {checks: {interval: 1s}}\n", "health.checks: none of agent"},
		{"health: {checks: {interval: 1ms, tcp: {}}}\n", "health.checks.interval: 1ms"},
		{"health: {checks: {rise: -1, tcp: {}}}\n", "health.checks.rise: -1"},
		{"health: {checks: {panic: 2, tcp: {}}}\n", "health.checks.panic: 2"},
		{"health: {checks: {agent: {}}}\n", "health.checks.agent.port: 0"},
		{"health: {checks: {tcp: {port: 70000}}}\n", "health.checks.tcp.port: 70000"},
		{"health: {checks: {tcp: {}, grpc: {}}}\n", "health.checks.grpc: only one of"},
		{"health: {checks: {http: {method: PUT}}}\n", "health.checks.http.method: \"PUT\""},
		{"health: {checks: {http: {status: 200-700}}}\n", "health.checks.http.status"},
		{"health: {checks: {http: {method: HEAD, body: x}}}\n", "health.checks.http.body"},
		{"health: {checks: {http: {path: x}}}\n", "health.checks.http.path"},
		{"health: {answer: {grpc: nowhere}}\n", "health.answer.grpc: \"nowhere\""},
		{"members: {name: a, listen: x}\n", "members.listen"},
		{"members: {name: a, listen: 127.0.0.1:1, seeds: [x]}\n", "members.seeds[0]"},
		{"state: {dir: here}\n", "state.dir: \"here\" is not an absolute path"},
		{"state: {dir: /x, every: 1ms}\n", "state.every: 1ms is outside"},
		{"members: {name: a, listen: 127.0.0.1:1, bytes: 5}\n", "members.bytes: 5"},
		{"members: {name: a, listen: 127.0.0.1:1}\n", "members.name: \"a\" is none"},
		{"members: {name: a, listen: 127.0.0.1:1, of: [{name: a}]}\n", "members.key: missing"},
		{"members: {name: a, listen: 127.0.0.1:1, key: k, of: [{name: a, keys: [x]}]}\n", "members.of: members: a"},
		{"cells: {size: 1, spill: 2}\n", "cells.spill: 2 is outside"},
		{"cells: {size: 1, skew: 2h}\n", "cells.skew: 2h0m0s is outside"},
		{"cells: {size: 1, memory: -1}\n", "cells.memory: -1"},
		{"cells: {size: 1, tenants: [{pods: [1]}]}\n", "cells.tenants[0].tenant: \"\""},
		{"cells: {size: 1, tenants: [{tenant: a, pods: [1, 1]}]}\n", "cells.tenants[0].pods"},
		{"cells: {size: 1, tenants: [{tenant: a, pods: [1], moves: [{to: [2]}]}]}\n", "cells.tenants[0].moves[0].start: missing"},
		{"cells: {size: 1, tenants: [{tenant: a, pods: [1], moves: [{to: [2], start: 2026-12-01T13:00:00Z, prepare: 5s}]}]}\n", "cells.tenants[0].moves[0].prepare: 5s is below 10s"},
		{"cells: {size: 1, tenants: [{tenant: a, pods: [1], moves: [{to: [2], start: 2026-12-01T13:00:00Z, keys: [1]}]}]}\n", "cells.tenants[0].moves[0].keys"},
		{"tunnels: {routes: [{host: a.b, port: 1, kind: opaque}]}\n", "tunnels.routes[0].class: missing"},
		{"tunnels: {routes: [{host: a.b, port: 1, kind: opaque, class: c, drain: 2m}]}\n", "tunnels.routes[0].drain: 2m0s is outside"},
		{"tunnels: {routes: [{host: a.b, port: 1, idle: 1s}]}\n", "tunnels.routes[0].idle: is for opaque routes only"},
		{"tunnels: {proxies: [{servers: \"s-*\"}]}\n", "tunnels.proxies[0].socks5: exactly one of socks5 and connect is required"},
		{"tunnels: {proxies: [{servers: \"[\", connect: \"a:1\"}]}\n", "tunnels.proxies[0].servers"},
		{"tunnels: {proxies: [{servers: s, connect: nowhere}]}\n", "tunnels.proxies[0].connect: \"nowhere\" is not host:port"},
		{"parts: odd\n", `parts: "odd" is neither seen nor even`},
		{"services:\n- {name: s}\n- {name: s}\n", "services[1].name"},
		{"services:\n- {name: s, classes: [{name: pay, effect: unsafe}]}\ncontracts:\n- {name: jobs, retries: [pay]}\n",
			`p.yaml:4: contracts[0].retries[0]: contract "jobs" allows retries of class "pay", which is unsafe`},
		{"services:\n- {name: s, classes: [{name: read}]}\ncontracts:\n- {name: jobs, services: [s], retries: [pay]}\n",
			`contract "jobs" allows retries of class "pay", which none of its services has`},
	} {
		if _, err := Parse("p.yaml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	f, err := Parse("p.yaml", []byte("services:\n- {name: s, classes: [{name: pay, effect: safe}]}\ncontracts:\n- {name: jobs, retries: [buy]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Compile(f, map[string]string{"buy": "unsafe"}); err == nil || !strings.Contains(err.Error(), `"buy", which is unsafe`) {
		t.Errorf("a class that only the node's settings call unsafe: %v", err)
	}
	if _, err := Compile(f, map[string]string{"pay": "unsafe"}); err == nil || !strings.Contains(err.Error(), "the node's settings say") {
		t.Errorf("an effect that contradicts the node's settings: %v", err)
	}
}

// No text makes Parse panic, and a file that Parse accepts can be compiled.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("contracts: [{name: a, match: [{from: ::/0}]}]"))
	f.Add([]byte("contracts: {}\nservices: 3"))
	f.Add([]byte("\xff&a [*a"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Parse("p.yaml", text); err == nil {
			if _, err := Compile(file, nil); err != nil {
				t.Errorf("a file that Parse accepts can't be compiled: %v", err)
			}
		}
	})
}
