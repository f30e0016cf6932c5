package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"portstall/internal/cell"
	"portstall/internal/endpoints"
)

// eightServers starts eight web servers, each in a zone and a pod.
func eightServers(t *testing.T, place func(i int) (zone string, pod int64)) (servers []*stubServer, list []endpoints.Endpoint) {
	for i := range 8 {
		server := newStubServer(t, respondOK)
		entry := server.entry(fmt.Sprint("s-", i))
		entry.Zone, entry.Cell = place(i)
		servers, list = append(servers, server), append(list, entry)
	}
	return
}

// A tenant's requests go to its own cell and nowhere else, which is the same at every node. When a server of the cell
// drains the others stay; when all are disabled the tenant's requests are refused at once, while others are served.
func TestRequestsStayInTenantCell(t *testing.T) {
	t.Parallel()
	servers, list := eightServers(t, func(i int) (string, int64) { return []string{"north", "south"}[i%2], int64(i) })
	product := withProductFile(t, "cells: {size: 2}\n")
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, product, list...)
	otherNode := newTestNode(t, newStubDiscovery(t), settingsJSON, product, list...)
	client := node.dial(t)
	asked := 0
	ask := func(tenant string, times, want int) {
		t.Helper()
		for range times {
			asked++
			client.send(withHeaders(view(fmt.Sprint("r", asked)), "X-Tenant: "+tenant))
			if resp, _ := client.readResponse(); resp.StatusCode != want {
				t.Fatalf("%s: %d, want %d", tenant, resp.StatusCode, want)
			}
		}
	}
	used := func() (ids []string) {
		for i, server := range servers {
			if len(server.requests()) > 0 {
				ids = append(ids, fmt.Sprint("s-", i))
			}
			server.mu.Lock()
			server.received = nil
			server.mu.Unlock()
		}
		return
	}
	ask("gulf", 60, 200)
	before, _ := node.cellOf("gulf")
	atOther, _ := otherNode.cellOf("gulf")
	// Which of the cell's two servers is faster depends on the machine.
	within := func(got, members []string) bool {
		return len(got) > 0 && !slices.ContainsFunc(got, func(id string) bool { return !slices.Contains(members, id) })
	}
	if got := used(); !within(got, before.Servers) || !slices.Equal(atOther.Servers, before.Servers) || atOther.Version != before.Version || len(before.Servers) != 2 {
		t.Fatalf("%v were used; the cell is %v, at the other node %v", got, before.Servers, atOther.Servers)
	}
	if first, second := list[slices.IndexFunc(list, func(e endpoints.Endpoint) bool { return e.ID == before.Servers[0] })], list[slices.IndexFunc(list, func(e endpoints.Endpoint) bool { return e.ID == before.Servers[1] })]; first.Zone == second.Zone {
		t.Errorf("both are in zone %s", first.Zone)
	}
	// One of the two drains: another server takes its slot, and the other one stays.
	changed := slices.Clone(list)
	for i := range changed {
		if changed[i].ID == before.Servers[0] {
			changed[i].State = "Terminating"
		}
	}
	node.publishList(2, changed...)
	after, _ := node.cellOf("gulf")
	if len(after.Servers) != 2 || slices.Contains(after.Servers, before.Servers[0]) || !slices.Contains(after.Servers, before.Servers[1]) || after.Version == before.Version {
		t.Errorf("%v became %v", before.Servers, after.Servers)
	}
	ask("gulf", 40, 200)
	if got := used(); !within(got, after.Servers) {
		t.Errorf("%v were used, the cell is %v", got, after.Servers)
	}
	// Operators disable all servers of the cell: its tenant is refused at once, and a tenant of another cell is served.
	for _, id := range after.Servers {
		must(t, node.Disable(t.Context(), id))
	}
	ask("gulf", 5, 503)
	unaffected := ""
	for i := 0; unaffected == ""; i++ {
		candidate, _ := node.cellOf(fmt.Sprint("t", i))
		if !slices.ContainsFunc(candidate.Servers, func(id string) bool { return slices.Contains(after.Servers, id) }) {
			unaffected = candidate.Tenant
		}
	}
	ask(unaffected, 20, 200)
	for _, p := range node.managementPages() {
		if p.Path != "cell" {
			continue
		}
		var out strings.Builder
		must(t, p.Write(&out, map[string][]string{"tenant": {"gulf"}}))
		if !strings.Contains(out.String(), after.Servers[0]) || !strings.Contains(out.String(), after.Version) {
			t.Errorf("the page says %s", out.String())
		}
	}
	if _, ok := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, list...).cellOf("gulf"); ok {
		t.Error("a node without cells reports one")
	}
}

// A node that starts in the middle of a move reaches the same state as one that saw it begin, from the file and the
// clock alone: requests go to the new pods, and a repeat of a key that may have run in an old pod is refused. A reload
// reverses the move while requests are served.
func TestTenantMove(t *testing.T) {
	t.Parallel()
	servers, list := eightServers(t, func(i int) (string, int64) { return "north", int64(i / 2) })
	terms := func(back string) func(*Config) { // the move was prepared 26 s ago and took effect 6 s ago
		return withProductFile(t, fmt.Sprintf("cells:\n  size: 4\n  marked: true\n  tenants:\n  - {tenant: gulf, pods: [0, 1], moves: [{to: [2, 3], start: %s, both: 10s%s}]}\n",
			time.Now().Add(-26*time.Second).Format(time.RFC3339Nano), back))
	}
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, terms(""), list...)
	client := node.dial(t)
	asked := 0
	ask := func(key string, want int, more ...string) {
		t.Helper()
		asked++
		req := save(fmt.Sprint("r", asked))
		req.key = key
		client.send(withHeaders(req, append(more, "X-Tenant: gulf")...))
		if resp, _ := client.readResponse(); resp.StatusCode != want {
			t.Fatalf("%s %v: %d, want %d", key, more, resp.StatusCode, want)
		}
	}
	pods := func() (pods []int) {
		for i, server := range servers {
			server.mu.Lock()
			if len(server.received) > 0 && !slices.Contains(pods, i/2) {
				pods = append(pods, i/2)
			}
			server.received = nil
			server.mu.Unlock()
		}
		return
	}
	for i := range 40 {
		ask(fmt.Sprint("k", i), 200)
	}
	if got := pods(); !slices.Equal(got, []int{2, 3}) {
		t.Fatalf("pods %v were used", got)
	}
	ask("k0", 200, "X-Retry: 1") // this node sent the key itself
	if got := pods(); len(got) != 1 || int64(got[0]) != cell.HomePod(cell.KeyHash("gulf", "k0"), []int64{2, 3}) {
		t.Errorf("a repeat went to pods %v", got)
	}
	ask("other", 503, "X-Retry: 1")
	if got := pods(); got != nil {
		t.Errorf("a repeat in doubt went to pods %v", got)
	}
	for range 20 {
		asked++
		client.send(withHeaders(view(fmt.Sprint("r", asked)), "X-Tenant: gulf"))
		client.readResponse()
	}
	if got := pods(); len(got) == 0 || got[0] < 2 { // which of the two is faster depends on the machine
		t.Errorf("without a key: pods %v", got)
	}
	if at, _ := node.cellOf("gulf"); at.Step != "draining" || !slices.Equal(at.Pods, []int64{2, 3}) || at.KeyCount == 0 {
		t.Errorf("%+v", at)
	}
	cfg := node.cfg
	terms(", back: " + time.Now().Format(time.RFC3339Nano))(&cfg)
	node.reload(cfg)
	if at, _ := node.cellOf("gulf"); at.Step != "returning" || !slices.Equal(at.Pods, []int64{0, 1}) {
		t.Errorf("%+v", at)
	}
	ask("k0", 200, "X-Retry: 1") // still to the pod where it may have run
	if got := pods(); len(got) != 1 || got[0] < 2 {
		t.Errorf("after the reversal a repeat went to pods %v", got)
	}
	for i := range 20 {
		ask(fmt.Sprint("new", i), 200)
	}
	if got := pods(); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("after the reversal new keys went to pods %v", got)
	}
	cfg.Product = nil
	node.reload(cfg)
	if at, ok := node.cellOf("gulf"); !ok || at.Step != "returning" {
		t.Error("a reload removed the cells")
	}
}

// Where all of a tenant's own servers are disabled, the configured share of its requests spills to the neighbor's cell.
func TestSpillToNeighborCell(t *testing.T) {
	t.Parallel()
	var list []endpoints.Endpoint
	for i := range 12 {
		list = append(list, newStubServer(t, respondOK).entry(fmt.Sprint("s-", i)))
	}
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, "cells: {size: 2, spill: 0.25}\n"), list...)
	at, _ := node.cellOf("gulf")
	for _, id := range at.Servers {
		must(t, node.Disable(t.Context(), id))
	}
	client := node.dial(t)
	ok := 0
	for i := range 80 {
		client.send(withHeaders(view(fmt.Sprint("r", i)), "X-Tenant: gulf"))
		if resp, _ := client.readResponse(); resp.StatusCode == 200 {
			ok++
		}
	}
	if ok < 15 || ok > 20 {
		t.Errorf("%d of 80 were served", ok)
	}
}
