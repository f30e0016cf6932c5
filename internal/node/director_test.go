package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

// director is a stand-in of a control process.
type director struct {
	*standin.Control
	t testing.TB
}

// newDirector serves a first configuration; with no resources it has none yet.
func newDirector(t testing.TB, first ...resource.Resource) *director {
	t.Helper()
	c, err := standin.NewControl(first...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return &director{c, t}
}

// change puts resources and takes others away, as the next version, and returns that.
func (d *director) change(put []resource.Resource, gone ...resource.Key) resource.Version {
	d.t.Helper()
	v, err := d.Change(put, gone...)
	if err != nil {
		d.t.Fatal(err)
	}
	return v
}

// res is a resource; its spec is JSON.
func res(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: kind, Name: name}, Spec: json.RawMessage(spec)}
}

// contractOf is a contract for a tenant of the same name, with a rate that hardly refills.
func contractOf(tenant string, burst int) resource.Resource {
	return res(resource.Contract, tenant, fmt.Sprintf(`{"name":%q,"match":[{"tenant":%q}],"rate":0.001,"burst":%d}`, tenant, tenant, burst))
}

// told is a delta as an answer.
func told(d *resource.Delta) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := json.Marshal(d)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Write(text)
	}
}

// holds is an answer that does not come before the caller has left, or until is closed.
func holds(until <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-until:
		}
	}
}

// directed is a node that has its configuration from control, once it has a first one.
func directed(t testing.TB, d *director, g *registry, product string, more func(*Config), known ...listed) *rig {
	t.Helper()
	return directedHeir(t, nil, d, g, product, more, known...)
}

func directedHeir(t testing.TB, old *estate, d *director, g *registry, product string, more func(*Config), known ...listed) *rig {
	t.Helper()
	file := under(t, product+fmt.Sprintf("control: {addresses: [%q]}\n", d.Addr))
	var f *followed
	r := newHeir(t, old, g, settingsJSON, func(c *Config) {
		file(c)
		if more != nil {
			more(c)
		}
		f = newFollowed(*c, slog.New(slog.DiscardHandler))
		c.followed = f
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if err := f.await(ctx, c, nil); err != nil {
			t.Fatal(f.missing())
		}
	}, known...)
	t.Cleanup(func() {
		closed := make(chan struct{})
		go func() {
			f.close()
			close(closed)
		}()
		receive(t, "the end of the calls to control", closed)
	})
	return r
}

// predecessor is a node that is ready and has its configuration from control. Succeeds starts a process that takes over from it, and returns
// once that is ready; the predecessor goes on with what it has taken.
func predecessor(t testing.TB, d *director, g *registry, b *box) (old *rig, succeeds func() *rig) {
	t.Helper()
	path := meetAt(t)
	meets := func(c *Config) { c.meet = path }
	old = directed(t, d, g, "", meets, b.entry("s-1"))
	wait(t, "the predecessor", func() bool { return old.Ready() == nil })
	return old, func() *rig {
		t.Helper()
		young := directedHeir(t, old.meet(t).estate, d, g, "", func(c *Config) {
			unhurried(c)
			meets(c)
		}, b.entry("s-1"))
		wait(t, "the successor", func() bool { return young.Ready() == nil })
		return young
	}
}

// inForce is what is in force at a node.
func (r *rig) inForce() resource.Version {
	f := r.cfg.followed
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Version()
}
