package config

import (
	"strings"
	"testing"
)

// A file that names control has nothing of what control says, and each error names the line and the field.
func TestControl(t *testing.T) {
	t.Parallel()
	const named = "control: {addresses: [\"127.0.0.1:7400\", \"control.west.example.org:7400\"]}\n"
	f, err := Parse("p.yaml", []byte(named+"parts: even\ntunnels: {connect: \"127.0.0.1:81\"}\ncells: {size: 4, seed: 1}\n"))
	if err != nil || len(f.Control.Addresses) != 2 || f.Control.Addresses[0] != "127.0.0.1:7400" {
		t.Fatalf("what is a node's own may stand beside it: %v", err)
	}
	if f, err := Parse("p.yaml", []byte("contracts: [{name: all}]\n")); err != nil || f.Control != nil {
		t.Errorf("a file that does not name it: %v", err)
	}
	many := strings.TrimSuffix(strings.Repeat("\"127.0.0.1:1\", ", MaxControls+1), ", ")
	for _, c := range []struct{ name, text, want string }{
		{"none", "control: {addresses: []}\n", "p.yaml:1: control.addresses: 0 are named"},
		{"nothing said", "control: {}\n", "control.addresses: 0 are named"},
		{"too many", "control:\n  addresses: [" + many + "]\n", "p.yaml:2: control.addresses: 9 are named"},
		{"twice", "control: {addresses: [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:1\"]}\n", "control.addresses[2]: \"127.0.0.1:1\" is named twice"},
		{"no port", "control: {addresses: [control]}\n", "control.addresses[0]: \"control\" is not host:port"},
		{"a port of nothing", "control: {addresses: [\"control:0\"]}\n", "control.addresses[0]"},
		{"no host", "control: {addresses: [\":7400\"]}\n", "control.addresses[0]"},
		{"another field", "control: {adresses: [\"127.0.0.1:1\"]}\n", "adresses"},
		{"services", named + "services: [{name: a, classes: [{name: view}]}]\n", "p.yaml:2: services: comes from control"},
		{"contracts", named + "contracts: [{name: all}]\n", "p.yaml:2: contracts: comes from control"},
		{"no contracts", named + "contracts: []\n", "p.yaml:2: contracts: comes from control"},
		{"routes", named + "tunnels:\n  connect: \"127.0.0.1:81\"\n  routes: [{host: a.example.org, port: 80, service: a}]\n", "p.yaml:4: tunnels.routes: comes from control"},
		{"tenants", named + "cells:\n  size: 4\n  seed: 1\n  tenants: [{tenant: a, pods: [1]}]\n", "p.yaml:5: cells.tenants: comes from control"},
	} {
		if _, err := Parse("p.yaml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// A reload that takes control out, or puts it in, is refused by its name; another address is not.
func TestControlReplaces(t *testing.T) {
	t.Parallel()
	parse := func(text string) *File {
		f, err := Parse("p.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	with := parse("parts: even\ncontrol: {addresses: [\"127.0.0.1:1\"]}\n")
	other := parse("parts: even\ncontrol: {addresses: [\"127.0.0.1:2\"]}\n")
	without, nothing := parse("parts: even\n"), parse("\n")
	only := parse("control: {addresses: [\"127.0.0.1:1\"]}\n")
	for _, c := range []struct {
		name     string
		new, old *File
		want     string
	}{
		{"another address", other, with, ""},
		{"taken out", without, with, "control: can't be taken out by a reload"},
		{"put in", with, without, "control: can't be put in by a reload"},
		{"an empty file", nothing, only, "nothing is in it"},
		{"nothing named", without, without, ""},
	} {
		err := c.new.Replaces(c.old)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}
