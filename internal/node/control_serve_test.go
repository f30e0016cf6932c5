package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"portstall/internal/control"
	"portstall/internal/lab/standin"
	"portstall/internal/wire"
)

// writer is a real control process of the test's own, which reads one file.
type writer struct {
	t      *testing.T
	path   string
	addr   string
	reload chan struct{}
}

func newWriter(t *testing.T, text string) *writer {
	t.Helper()
	w := &writer{t: t, path: filepath.Join(t.TempDir(), "all.yaml"), reload: make(chan struct{})}
	must(t, os.WriteFile(w.path, []byte(text), 0o600))
	ln, err := standin.Listen()
	must(t, err)
	w.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- control.Serve(ctx, control.ServeOptions{Listener: ln, Name: "c0", Files: w.path, Reload: w.reload, Log: slog.New(slog.DiscardHandler)})
	}()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, "control's end", done); err != nil {
			t.Errorf("control: %v", err)
		}
	})
	return w
}

// change writes another file, has it read, and returns the version that it makes.
func (w *writer) change(text string) (version string) {
	w.t.Helper()
	before := w.status().Version
	must(w.t, os.WriteFile(w.path+".new", []byte(text), 0o600))
	must(w.t, os.Rename(w.path+".new", w.path))
	select {
	case w.reload <- struct{}{}:
	case <-time.After(patience):
		w.t.Fatal("control does not read its file again")
	}
	wait(w.t, "control's next version", func() bool {
		version = w.status().Version
		return version != before
	})
	return version
}

// status is what control tells its operators.
func (w *writer) status() (s struct {
	Version  string `json:"version"`
	Callers  int    `json:"callers"`
	Watches  int    `json:"watches"`
	Refusals []struct {
		Name string `json:"name"`
		Why  string `json:"why"`
	} `json:"refusals"`
}) {
	w.t.Helper()
	resp, err := http.Get("http://" + w.addr + "/v1/status")
	must(w.t, err)
	defer resp.Body.Close()
	must(w.t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// A node and a control process as they are: a change in a file is in force, one that does not fit the node's settings is shown by
// control with the node's name and the reason, and the two processes of a hand-over, which bear one name, both have each change.
func TestNodeAndControl(t *testing.T) {
	t.Parallel()
	const file = "services:\n- {name: s, classes: [{name: view%s}]}\ncontracts:\n- {name: app, match: [{tenant: app}], services: [s], rate: %d, burst: 100}\n...\n"
	w := newWriter(t, fmt.Sprintf(file, "", 1000))
	b := newBox(t, served)
	old, succeeds := predecessor(t, &director{&standin.Control{Addr: w.addr}, t}, newRegistry(t), b)
	if got := old.dial(t).statusOf("a", "app"); got != 200 {
		t.Errorf("by the first configuration: %d", got)
	}
	v := w.change(fmt.Sprintf(file, "", 900))
	wait(t, "the change", func() bool { return old.inForce().String() == v })

	before := old.inForce()
	w.change(fmt.Sprintf(file, ", effect: unsafe", 800))
	wait(t, "the refusal at control", func() bool {
		r := w.status().Refusals
		return len(r) == 1 && r[0].Name == "n0" && strings.Contains(r[0].Why, `service "s": classes[0].effect: unsafe`)
	})
	if old.inForce() != before {
		t.Errorf("%s is in force", old.inForce())
	}
	v = w.change(fmt.Sprintf(file, "", 700))
	wait(t, "the mended one", func() bool { return old.inForce().String() == v && len(w.status().Refusals) == 0 })

	young := succeeds()
	for i := range 3 {
		v := w.change(fmt.Sprintf(file, "", 600+i))
		wait(t, "the change at both", func() bool { return young.inForce().String() == v && old.inForce().String() == v })
	}
	wait(t, "a watch of each at control", func() bool { s := w.status(); return s.Callers == 2 && s.Watches == 2 })
	old.cfg.followed.close()
	wait(t, "control to forget the one that has ended", func() bool { return w.status().Callers == 1 })
	calls := old.cfg.followed.status.Read().Calls + young.cfg.followed.status.Read().Calls
	t.Logf("%d calls of both", calls)
}

// A version that a node's settings refused is asked for again as soon as SIGHUP brings settings that it fits, of a control process as it is,
// which does not tell a version again to who refused it.
func TestReloadLetsInWhatWasRefused(t *testing.T) {
	t.Parallel()
	w := newWriter(t, "contracts:\n- {name: app, match: [{tenant: app}]}\n...\n")
	r := directed(t, &director{&standin.Control{Addr: w.addr}, t}, newRegistry(t), "", nil)
	before := r.inForce()
	v := w.change("services:\n- {name: s, classes: [{name: quote, effect: safe}]}\ncontracts:\n- {name: app, match: [{tenant: app}]}\n...\n")
	wait(t, "the refusal at control, and a watch behind it", func() bool { s := w.status(); return len(s.Refusals) == 1 && s.Watches == 1 })
	if r.inForce() != before {
		t.Errorf("%s is in force", r.inForce())
	}
	set, err := wire.DecodeSettings([]byte(quoteSafe))
	must(t, err)
	must(t, r.reload(Config{Discovery: r.disc.addr, Settings: set, Product: r.cfg.Product}))
	wait(t, "what was refused", func() bool { return r.inForce().String() == v })
	wait(t, "control to see it", func() bool { return len(w.status().Refusals) == 0 })
}
