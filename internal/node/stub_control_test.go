package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"portstall/internal/endpoints"
	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

// stubControl is a stub of a control process.
type stubControl struct {
	*standin.Control
	t testing.TB
}

// newStubControl starts a stub control with a first configuration; without resources it has none yet.
func newStubControl(t testing.TB, first ...resource.Resource) *stubControl {
	t.Helper()
	c, err := standin.NewControl(first...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return &stubControl{c, t}
}

// change puts and removes resources as the next version, and returns that version.
func (s *stubControl) change(put []resource.Resource, gone ...resource.Key) resource.Version {
	s.t.Helper()
	v, err := s.ApplyChange(put, gone...)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// newResource returns a resource; its spec is JSON.
func newResource(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: kind, Name: name}, Spec: json.RawMessage(spec)}
}

// tenantContract returns a contract for a tenant of the same name, with a rate that hardly refills.
func tenantContract(tenant string, burst int) resource.Resource {
	return newResource(resource.Contract, tenant, fmt.Sprintf(`{"name":%q,"match":[{"tenant":%q}],"rate":0.001,"burst":%d}`, tenant, tenant, burst))
}

// respondWithDelta responds with a delta.
func respondWithDelta(d *resource.Delta) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := json.Marshal(d)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Write(text)
	}
}

// holdResponse sends no response until the caller disconnects or until is closed.
func holdResponse(until <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-until:
		}
	}
}

// newControlledNode starts a node that follows control, and returns once that has its first configuration.
func newControlledNode(t testing.TB, control *stubControl, discovery *stubDiscovery, product string, more func(*Config), known ...endpoints.Endpoint) *testNode {
	t.Helper()
	return newControlledSuccessor(t, nil, control, discovery, product, more, known...)
}

// newControlledSuccessor starts a node like newControlledNode does, with a predecessor's state; old may be nil.
func newControlledSuccessor(t testing.TB, old *handedState, control *stubControl, discovery *stubDiscovery, product string, more func(*Config), known ...endpoints.Endpoint) *testNode {
	t.Helper()
	file := withProductFile(t, product+fmt.Sprintf("control: {addresses: [%q]}\n", control.Addr))
	var follower *configFollower
	node := newSuccessorNode(t, old, discovery, settingsJSON, func(c *Config) {
		file(c)
		if more != nil {
			more(c)
		}
		follower = newConfigFollower(*c, slog.New(slog.DiscardHandler))
		c.follower = follower
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := follower.await(ctx, c, nil); err != nil {
			t.Fatal(follower.missingConfiguration())
		}
	}, known...)
	t.Cleanup(func() {
		closed := make(chan struct{})
		go func() {
			follower.close()
			close(closed)
		}()
		receive(t, "the end of the calls to control", closed)
	})
	return node
}

// startPredecessor starts a node that follows control, and returns once it is ready. handOver starts a successor of it,
// and returns once that is ready; the predecessor finishes what it has accepted.
func startPredecessor(t testing.TB, control *stubControl, discovery *stubDiscovery, server *stubServer) (node *testNode, handOver func() *testNode) {
	t.Helper()
	path := newSocketPath(t)
	withSocket := func(c *Config) { c.upgradeSocket = path }
	node = newControlledNode(t, control, discovery, "", withSocket, server.entry("s-1"))
	waitFor(t, "the predecessor", func() bool { return node.Ready() == nil })
	return node, func() *testNode {
		t.Helper()
		successor := newControlledSuccessor(t, node.requestHandover(t).handedState, control, discovery, "", func(c *Config) {
			withTestTimeouts(c)
			withSocket(c)
		}, server.entry("s-1"))
		waitFor(t, "the successor", func() bool { return successor.Ready() == nil })
		return successor
	}
}

// versionInForce returns the version of control's configuration in force at the node.
func (n *testNode) versionInForce() resource.Version {
	follower := n.cfg.follower
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.set.Version()
}
