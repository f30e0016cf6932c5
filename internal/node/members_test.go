package node

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"portstall/internal/config"
	"portstall/internal/endpoints"
	"portstall/internal/member"
)

// testMembers holds the addresses and keys of instances that communicate with each other.
type testMembers struct {
	dir               string
	addrs, publicKeys []string
}

// newTestMembers makes the keys and selects the addresses of n instances.
func newTestMembers(t testing.TB, n int) *testMembers {
	t.Helper()
	members := &testMembers{dir: t.TempDir()}
	for i := range n {
		public, err := member.MakeKey(members.keyPath(i))
		if err != nil {
			t.Fatal(err)
		}
		members.addrs, members.publicKeys = append(members.addrs, freeAddr(t)), append(members.publicKeys, public)
	}
	return members
}

// keyPath returns the path of an instance's key file.
func (m *testMembers) keyPath(i int) string { return filepath.Join(m.dir, fmt.Sprint("k", i)) }

// productFile returns an instance's file with the first instances as members; the second one may have further keys.
func (m *testMembers) productFile(i, of int, also ...string) string {
	text := fmt.Sprintf("members:\n  name: n%d\n  listen: %s\n  key: %s\n  seeds: [%q]\n  of:\n", i, m.addrs[i], m.keyPath(i), m.addrs[0])
	for k, p := range m.publicKeys[:of] {
		keys := []string{p}
		if k == 1 {
			keys = append(keys, also...)
		}
		text += fmt.Sprintf("  - {name: n%d, keys: [%s]}\n", k, strings.Join(keys, ", "))
	}
	return text
}

// Instances find each other by their file. A server that two of them see fail is probed sooner by another one and gets
// less traffic there, but is never ejected for that. Keys are replaced without a restart, and without members in the
// file no socket is opened.
func TestMembersShareEvidence(t *testing.T) {
	t.Parallel()
	const count = 4
	instances := newTestMembers(t, count)
	file := func(i int, also ...string) func(*Config) {
		return withProductFile(t, "health: {checks: {interval: 1h, tcp: {}}}\n"+instances.productFile(i, count, also...))
	}
	failing := newStubServer(t, respondOK)
	list := []endpoints.Endpoint{failing.entry("s-0"), newStubServer(t, respondOK).entry("s-1")}
	var nodes []*testNode
	for i := range count {
		node := newTestNode(t, newStubDiscovery(t), settingsJSON, file(i), list...)
		must(t, node.joinMembers(t.Context()))
		t.Cleanup(node.memberTransport.Close)
		nodes = append(nodes, node)
	}
	allAlive := func(node *testNode) bool {
		all := node.members()
		return all.Alive == count && !slices.ContainsFunc(all.Members, func(m Member) bool { return m.State != "alive" })
	}
	waitFor(t, "joining", func() bool {
		return allAlive(nodes[0]) && allAlive(nodes[1]) && allAlive(nodes[2]) && allAlive(nodes[3])
	})
	// Two instances see the server fail; the failures are recorded as those of attempts would be.
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			for _, node := range nodes[1:3] {
				c := node.checker
				c.mu.Lock()
				c.servers[c.ids["s-0"]].failures++
				c.mu.Unlock()
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	checked := &checkedNode{testNode: nodes[0]}
	h := checked.waitForHealth(t, 0, "others' evidence", func(h ServerHealth) bool { return h.Weight == 0.5 })
	if h.OutOfService || h.Why != "other instances see it fail" {
		t.Errorf("%+v", h)
	}
	if h := func() ServerHealth { c, _ := nodes[0].healthOf("s-1"); return c.Servers[0] }(); h.Weight != 1 {
		t.Errorf("the other server: %+v", h)
	}
	waitFor(t, "a probe of its own", func() bool { c, _ := nodes[0].healthOf(""); return c.Probes > 0 })
	close(stop)
	receive(t, "the end of the failures", done)
	// n1 replaces its key: the next key is distributed, then it is used, then the old one is removed.
	path := instances.keyPath(1)
	next, err := member.NextKey(path)
	must(t, err)
	reload := func(also ...string) {
		t.Helper()
		for i, node := range nodes {
			cfg := node.cfg
			file(i, also...)(&cfg)
			ring, err := node.memberKeyring(cfg)
			must(t, err)
			node.updateKeyring(ring)
		}
	}
	reload(next)
	_, err = member.ActivateNextKey(path)
	must(t, err)
	reload(next)
	instances.publicKeys[1] = next
	reload()
	waitFor(t, "all instances with the new key", func() bool { return allAlive(nodes[0]) && allAlive(nodes[1]) && allAlive(nodes[3]) })
	cfg := nodes[1].cfg
	instances.publicKeys[1] = instances.publicKeys[2] // an invalid file changes nothing
	if f, err := config.Parse("p.yaml", []byte("members: {name: n1, listen: 127.0.0.1:0, key: nowhere, of: [{name: n1, keys: ["+next+"]}]}")); err != nil {
		t.Fatal(err)
	} else if cfg.Product = f; nodes[1].reload(cfg) == nil {
		t.Error("a missing key file is accepted")
	}
	for _, p := range nodes[0].managementPages() {
		if p.Path == "members" {
			var text strings.Builder
			must(t, p.Write(&text, nil))
			if !strings.Contains(text.String(), `"name": "n1"`) || !strings.Contains(text.String(), `"alive": 4`) {
				t.Errorf("the page says %s", text.String())
			}
		}
	}
	bare := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, list...)
	if must(t, bare.joinMembers(t.Context())); bare.memberTransport != nil {
		t.Error("a node without members in its file communicates")
	}
}
