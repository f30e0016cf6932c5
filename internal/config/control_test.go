package config

import (
	"strings"
	"testing"
)

// A file that names control must not contain what comes from control. The error names the line and the field.
func TestControlExcludesWhatItProvides(t *testing.T) {
	t.Parallel()
	const withControl = "control: {addresses: [\"127.0.0.1:7400\", \"control.west.example.org:7400\"]}\n"
	f, err := Parse("p.yaml", []byte(withControl+"parts: even\ntunnels: {connect: \"127.0.0.1:81\"}\ncells: {size: 4, seed: 1}\n"))
	if err != nil || len(f.Control.Addresses) != 2 || f.Control.Addresses[0] != "127.0.0.1:7400" {
		t.Fatalf("a file with control and sections of the node's own: %v", err)
	}
	if f, err := Parse("p.yaml", []byte("contracts: [{name: all}]\n")); err != nil || f.Control != nil {
		t.Errorf("a file without control: %v", err)
	}
	many := strings.TrimSuffix(strings.Repeat("\"127.0.0.1:1\", ", MaxControls+1), ", ")
	for _, c := range []struct{ name, text, want string }{
		{"no address", "control: {addresses: []}\n", "p.yaml:1: control.addresses: 0 given"},
		{"an empty section", "control: {}\n", "control.addresses: 0 given"},
		{"too many addresses", "control:\n  addresses: [" + many + "]\n", "p.yaml:2: control.addresses: 9 given"},
		{"an address twice", "control: {addresses: [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:1\"]}\n", "control.addresses[2]: \"127.0.0.1:1\" is named twice"},
		{"no port", "control: {addresses: [control]}\n", "control.addresses[0]: \"control\" is not host:port"},
		{"port 0", "control: {addresses: [\"control:0\"]}\n", "control.addresses[0]"},
		{"no host", "control: {addresses: [\":7400\"]}\n", "control.addresses[0]"},
		{"an unknown field", "control: {adresses: [\"127.0.0.1:1\"]}\n", "adresses"},
		{"services", withControl + "services: [{name: a, classes: [{name: view}]}]\n", "p.yaml:2: services: comes from control"},
		{"contracts", withControl + "contracts: [{name: all}]\n", "p.yaml:2: contracts: comes from control"},
		{"an empty list of contracts", withControl + "contracts: []\n", "p.yaml:2: contracts: comes from control"},
		{"routes", withControl + "tunnels:\n  connect: \"127.0.0.1:81\"\n  routes: [{host: a.example.org, port: 80, service: a}]\n", "p.yaml:4: tunnels.routes: comes from control"},
		{"tenants", withControl + "cells:\n  size: 4\n  seed: 1\n  tenants: [{tenant: a, pods: [1]}]\n", "p.yaml:5: cells.tenants: comes from control"},
	} {
		if _, err := Parse("p.yaml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// A reload that adds or removes control is rejected with an error that names the field; a changed address is accepted.
func TestReloadCannotAddOrRemoveControl(t *testing.T) {
	t.Parallel()
	parse := func(text string) *File {
		f, err := Parse("p.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	withControl := parse("parts: even\ncontrol: {addresses: [\"127.0.0.1:1\"]}\n")
	otherAddress := parse("parts: even\ncontrol: {addresses: [\"127.0.0.1:2\"]}\n")
	without, empty := parse("parts: even\n"), parse("\n")
	onlyControl := parse("control: {addresses: [\"127.0.0.1:1\"]}\n")
	for _, c := range []struct {
		name     string
		new, old *File
		want     string
	}{
		{"another address", otherAddress, withControl, ""},
		{"control removed", without, withControl, "control: can't be removed by a reload"},
		{"control added", withControl, without, "control: can't be added by a reload"},
		{"an empty file", empty, onlyControl, "nothing is in it"},
		{"no control before and after", without, without, ""},
	} {
		err := c.new.CheckReplacement(c.old)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}
