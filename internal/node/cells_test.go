package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// A tenant's requests go to its own cell and nowhere else, alike at every node; when a server of it goes the rest stay, and
// when all do its requests are refused at once while others are served.
func TestCells(t *testing.T) {
	t.Parallel()
	var boxes []*box
	var list []listed
	for i := range 8 {
		b := newBox(t, served)
		boxes = append(boxes, b)
		e := b.entry(fmt.Sprint("s-", i))
		e.Zone, e.Cell = []string{"north", "south"}[i%2], int64(i)
		list = append(list, e)
	}
	product := under(t, "cells: {size: 2}\n")
	r := newRig(t, newRegistry(t), settingsJSON, product, list...)
	other := newRig(t, newRegistry(t), settingsJSON, product, list...)
	c := r.dial(t)
	asked := 0
	ask := func(tenant string, times, want int) {
		t.Helper()
		for range times {
			asked++
			c.send(with(view(fmt.Sprint("r", asked)), "X-Tenant: "+tenant))
			if resp, _ := c.answer(); resp.StatusCode != want {
				t.Fatalf("%s: %d, want %d", tenant, resp.StatusCode, want)
			}
		}
	}
	used := func() (ids []string) {
		for i, b := range boxes {
			if len(b.requests()) > 0 {
				ids = append(ids, fmt.Sprint("s-", i))
			}
			b.mu.Lock()
			b.got = nil
			b.mu.Unlock()
		}
		return
	}
	ask("gulf", 60, 200)
	before, _ := r.cellOf("gulf")
	there, _ := other.cellOf("gulf")
	if got := used(); !slices.Equal(got, before.Servers) || !slices.Equal(there.Servers, got) || there.Version != before.Version || len(got) != 2 {
		t.Fatalf("%v were used; the cell is %v, at the other node %v", got, before.Servers, there.Servers)
	}
	if a, b := list[slices.IndexFunc(list, func(e listed) bool { return e.ID == before.Servers[0] })], list[slices.IndexFunc(list, func(e listed) bool { return e.ID == before.Servers[1] })]; a.Zone == b.Zone {
		t.Errorf("both are in zone %s", a.Zone)
	}
	// One of the two is told to drain: another takes its place, and the other stays.
	changed := slices.Clone(list)
	for i := range changed {
		if changed[i].ID == before.Servers[0] {
			changed[i].State = "Terminating"
		}
	}
	r.lists(2, changed...)
	after, _ := r.cellOf("gulf")
	if len(after.Servers) != 2 || slices.Contains(after.Servers, before.Servers[0]) || !slices.Contains(after.Servers, before.Servers[1]) || after.Version == before.Version {
		t.Errorf("%v became %v", before.Servers, after.Servers)
	}
	ask("gulf", 40, 200)
	if got := used(); !slices.Equal(got, after.Servers) {
		t.Errorf("%v were used, the cell is %v", got, after.Servers)
	}
	// Operators take the whole cell out: its tenant is refused at once, one with another cell is served.
	for _, id := range after.Servers {
		must(t, r.Disable(t.Context(), id))
	}
	ask("gulf", 5, 503)
	spared := ""
	for i := 0; spared == ""; i++ {
		o, _ := r.cellOf(fmt.Sprint("t", i))
		if !slices.ContainsFunc(o.Servers, func(id string) bool { return slices.Contains(after.Servers, id) }) {
			spared = o.Tenant
		}
	}
	ask(spared, 20, 200)
	for _, p := range r.pages() {
		if p.Path != "cell" {
			continue
		}
		var out strings.Builder
		must(t, p.Write(&out, map[string][]string{"tenant": {"gulf"}}))
		if !strings.Contains(out.String(), after.Servers[0]) || !strings.Contains(out.String(), after.Version) {
			t.Errorf("the page says %s", out.String())
		}
	}
	if _, ok := newRig(t, newRegistry(t), settingsJSON, nil, list...).cellOf("gulf"); ok {
		t.Error("a node without cells has one")
	}
}
