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

// controlProcess is a real control process of the test's own, which reads one file.
type controlProcess struct {
	t      *testing.T
	path   string
	addr   string
	reload chan struct{}
}

func startControlProcess(t *testing.T, text string) *controlProcess {
	t.Helper()
	p := &controlProcess{t: t, path: filepath.Join(t.TempDir(), "all.yaml"), reload: make(chan struct{})}
	must(t, os.WriteFile(p.path, []byte(text), 0o600))
	ln, err := standin.Listen()
	must(t, err)
	p.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- control.Serve(ctx, control.ServeOptions{Listener: ln, Name: "c0", Files: p.path, Reload: p.reload, Log: slog.New(slog.DiscardHandler)})
	}()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, "control's end", done); err != nil {
			t.Errorf("control: %v", err)
		}
	})
	return p
}

// change replaces the file, has control read it, and returns the resulting version.
func (p *controlProcess) change(text string) (version string) {
	p.t.Helper()
	before := p.status().Version
	must(p.t, os.WriteFile(p.path+".new", []byte(text), 0o600))
	must(p.t, os.Rename(p.path+".new", p.path))
	select {
	case p.reload <- struct{}{}:
	case <-time.After(testTimeout):
		p.t.Fatal("control does not read its file again")
	}
	waitFor(p.t, "control's next version", func() bool {
		version = p.status().Version
		return version != before
	})
	return version
}

// status returns control's status for operators.
func (p *controlProcess) status() (s struct {
	Version  string `json:"version"`
	Callers  int    `json:"callers"`
	Watches  int    `json:"watches"`
	Refusals []struct {
		Name string `json:"name"`
		Why  string `json:"why"`
	} `json:"refusals"`
}) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.addr + "/v1/status")
	must(p.t, err)
	defer resp.Body.Close()
	must(p.t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// A real node and a real control process: a change of the file is applied. One that does not fit the node's settings is
// reported by control with the node's name and the reason. The two processes of a hand-over, which have the same name,
// both get each change.
func TestNodeAndControl(t *testing.T) {
	t.Parallel()
	const file = "services:\n- {name: s, classes: [{name: view%s}]}\ncontracts:\n- {name: app, match: [{tenant: app}], services: [s], rate: %d, burst: 100}\n...\n"
	process := startControlProcess(t, fmt.Sprintf(file, "", 1000))
	server := newStubServer(t, respondOK)
	predecessor, handOver := startPredecessor(t, &stubControl{&standin.Control{Addr: process.addr}, t}, newStubDiscovery(t), server)
	if got := predecessor.dial(t).statusOf("a", "app"); got != 200 {
		t.Errorf("by the first configuration: %d", got)
	}
	version := process.change(fmt.Sprintf(file, "", 900))
	waitFor(t, "the change", func() bool { return predecessor.versionInForce().String() == version })

	before := predecessor.versionInForce()
	process.change(fmt.Sprintf(file, ", effect: unsafe", 800))
	waitFor(t, "the refusal at control", func() bool {
		refusals := process.status().Refusals
		return len(refusals) == 1 && refusals[0].Name == "n0" && strings.Contains(refusals[0].Why, `service "s": classes[0].effect: unsafe`)
	})
	if predecessor.versionInForce() != before {
		t.Errorf("%s is in force", predecessor.versionInForce())
	}
	version = process.change(fmt.Sprintf(file, "", 700))
	waitFor(t, "the corrected change", func() bool {
		return predecessor.versionInForce().String() == version && len(process.status().Refusals) == 0
	})

	successor := handOver()
	for i := range 3 {
		version := process.change(fmt.Sprintf(file, "", 600+i))
		waitFor(t, "the change at both", func() bool {
			return successor.versionInForce().String() == version && predecessor.versionInForce().String() == version
		})
	}
	waitFor(t, "a watch of each at control", func() bool { status := process.status(); return status.Callers == 2 && status.Watches == 2 })
	predecessor.cfg.follower.close()
	waitFor(t, "control to forget the process that ended", func() bool { return process.status().Callers == 1 })
	calls := predecessor.cfg.follower.status.Read().Calls + successor.cfg.follower.status.Read().Calls
	t.Logf("%d calls of both processes", calls)
}

// A version that was refused under a node's settings is asked for again as soon as SIGHUP brings settings that it fits.
// A real control process does not send a version again to a node that refused it, so that the node has to ask again.
func TestReloadAcceptsRefusedVersion(t *testing.T) {
	t.Parallel()
	process := startControlProcess(t, "contracts:\n- {name: app, match: [{tenant: app}]}\n...\n")
	node := newControlledNode(t, &stubControl{&standin.Control{Addr: process.addr}, t}, newStubDiscovery(t), "", nil)
	before := node.versionInForce()
	version := process.change("services:\n- {name: s, classes: [{name: quote, effect: safe}]}\ncontracts:\n- {name: app, match: [{tenant: app}]}\n...\n")
	waitFor(t, "the refusal at control, and a later watch", func() bool { status := process.status(); return len(status.Refusals) == 1 && status.Watches == 1 })
	if node.versionInForce() != before {
		t.Errorf("%s is in force", node.versionInForce())
	}
	set, err := wire.DecodeSettings([]byte(quoteSafeSettingsJSON))
	must(t, err)
	must(t, node.reload(Config{Discovery: node.discovery.client.Addr(), Settings: set, Product: node.cfg.Product}))
	waitFor(t, "the version that was refused", func() bool { return node.versionInForce().String() == version })
	waitFor(t, "control to notice it", func() bool { return len(process.status().Refusals) == 0 })
}
