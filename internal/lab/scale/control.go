package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"portstall/internal/control"
	"portstall/internal/control/follow"
	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

// contractsPerFile is the number of contracts in one of the writer's files, all of which are read again for a change of
// one.
const contractsPerFile = 100

// configFiles is the folder of the writer's files: one with services and routes, others with contracts. Its mutex
// guards what changes. It is safe for concurrent use.
type configFiles struct {
	path string
	size *Size

	mu             sync.Mutex
	contractCount  int
	rateIncrements map[int]int // by contract: how often it was changed, which raises its rate by as much
	changeCount    int
}

// tenantName returns the name of the i-th tenant, which is also the name of its contract.
func tenantName(i int) string { return fmt.Sprintf("tenant-%05d", i) }

// newConfigFiles writes files with the given number of contracts, and services and routes in proportion to the full
// size. If others is set, one more contract covers the requests of tenants without one.
func (r *run) newConfigFiles(contracts int, others bool) (*configFiles, error) {
	path, err := os.MkdirTemp(r.dir, "files")
	if err != nil {
		return nil, err
	}
	f := &configFiles{path: path, size: &r.plan.Size, contractCount: contracts, rateIncrements: map[int]int{}}
	services := f.serviceCount()
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - name: service-%03d\n    classes:\n      - {name: search-%03d, effect: safe}\n      - {name: search, effect: safe}\n", i, i)
	}
	if others {
		b.WriteString("contracts:\n  - name: others\n")
	}
	if routes := contracts * f.size.Routes / f.size.Tenants; routes > 0 {
		b.WriteString("tunnels:\n  routes:\n")
		for i := range routes {
			fmt.Fprintf(&b, "    - {host: r%04d.example.org, port: 443, service: service-%03d, kind: http}\n", i,
				i%services)
		}
	}
	b.WriteString("...\n")
	if err := f.replaceFile("base.yaml", b.String()); err != nil {
		return nil, err
	}
	for from := 0; from < contracts; from += contractsPerFile {
		if err := f.writeContracts(from / contractsPerFile); err != nil {
			return nil, err
		}
	}
	// Files that are older than a minute: the writer reads files again that changed just before it read them, because a
	// second change within the resolution of the modification time could go unnoticed.
	old := time.Now().Add(-time.Minute)
	files, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	for _, name := range files {
		err = errors.Join(err, os.Chtimes(name, old, old))
	}
	return f, err
}

// serviceCount returns the number of services, in proportion to the full size.
func (f *configFiles) serviceCount() int {
	return max(1, int(float64(f.contractCount)/float64(f.size.Tenants)*float64(f.size.Services)+0.5))
}

// replaceFile replaces a file atomically.
func (f *configFiles) replaceFile(name, text string) error {
	next := filepath.Join(f.path, ".next")
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, filepath.Join(f.path, name))
}

// writeContracts writes the k-th file of contracts. The caller holds f.mu, or is the only user of f.
func (f *configFiles) writeContracts(k int) error {
	var b strings.Builder
	b.WriteString("contracts:\n")
	services := f.serviceCount()
	for i := k * contractsPerFile; i < min(f.contractCount, (k+1)*contractsPerFile); i++ {
		fmt.Fprintf(&b, "  - name: %[1]s\n    match: [{tenant: %[1]s}]\n    services: [service-%03[2]d]\n    rate: %[3]d\n    burst: 10\n    in_flight: 20\n"+
			"    attempts: {ratio: 0.2, window: 10s, floor: 1}\n", tenantName(i), i%services, 5+f.rateIncrements[i])
	}
	b.WriteString("...\n")
	return f.replaceFile(fmt.Sprintf("contracts-%04d.yaml", k), b.String())
}

// changeNext changes one contract, a different one each time.
func (f *configFiles) changeNext() error {
	f.mu.Lock()
	i := f.changeCount * 37 % f.contractCount
	f.changeCount++
	f.mu.Unlock()
	return f.changeContract(i)
}

// changeContract changes the rate of the i-th contract.
func (f *configFiles) changeContract(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rateIncrements[i]++
	return f.writeContracts(i / contractsPerFile)
}

// controlProcess is a control process of the run, with the arguments to start it again.
type controlProcess struct {
	*child
	addr string
	args []string
}

// startControls starts control processes. The first is the writer of the files, the others follow it and watch each
// other as docs/configuration.md describes. The function reach returns the address by which one process reaches
// another; if it is nil, they use each other's own addresses. The flags are passed to each process.
func (r *run) startControls(ctx context.Context, count int, files *configFiles,
	reach func(from int, to *controlProcess) (string, error), flags ...string) ([]*controlProcess, error) {
	var all []*controlProcess
	for range count {
		addr, err := standin.FreeAddr()
		if err != nil {
			return nil, err
		}
		all = append(all, &controlProcess{addr: addr})
	}
	for i, c := range all {
		c.args = append([]string{"control", "--listen", c.addr, "--name", fmt.Sprintf("control-%d", i)}, flags...)
		otherFlag := "--from"
		if i == 0 {
			c.args, otherFlag = append(c.args, "--files", files.path), "--peers"
		}
		for _, other := range all {
			if other == c {
				continue
			}
			addr := other.addr
			if reach != nil {
				var err error
				if addr, err = reach(i, other); err != nil {
					return all, err
				}
			}
			c.args = append(c.args, otherFlag, addr)
		}
		if err := r.startControl(ctx, c); err != nil {
			return all, err
		}
	}
	return all, nil
}

// startControl starts a control process, also one that was stopped before, and waits until it has a configuration.
func (r *run) startControl(ctx context.Context, c *controlProcess) (err error) {
	if c.child, err = r.processes.start(c.args[4], nil, c.args...); err != nil {
		return err
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if resp, err := operatorClient.Get("http://" + c.addr + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-c.done:
			return fmt.Errorf("%s: %w: %s", c.role, errNotReady, c.logs.String())
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(2 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s: %w within %v: %s", c.role, errNotReady, startTimeout, c.logs.String())
}

// operatorClient calls control processes and nodes as an operator does.
var operatorClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// reload makes a writer read its files, and returns the version that this created. It is an error if nothing has
// changed.
func (c *controlProcess) reload() (resource.Version, error) {
	resp, err := operatorClient.Post("http://"+c.addr+"/v1/reload", "", nil)
	if err != nil {
		return resource.Version{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resource.Version{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return resource.Version{}, fmt.Errorf("%s: reload: %d: %s", c.role, resp.StatusCode, bytes.TrimSpace(text))
	}
	var r control.ReloadResult
	if err := json.Unmarshal(text, &r); err != nil {
		return resource.Version{}, fmt.Errorf("%s: reload: %w", c.role, err)
	}
	if !r.Changed {
		return resource.Version{}, fmt.Errorf("%s: reload: no new version although the files changed", c.role)
	}
	return r.Version, nil
}

// controlStatus is the part of a control process's status that the run reads.
type controlStatus struct {
	Version  resource.Version `json:"version"`
	Versions []struct {
		Version resource.Version `json:"version"`
		Callers int              `json:"callers"`
	} `json:"callers_by_version"`
	Refused   int           `json:"refusing"`
	Snapshots int           `json:"snapshots_told"`
	Follows   *follow.Stats `json:"follows"` // set by a follower only
}

// status asks a control process for its status.
func (c *controlProcess) status() (s controlStatus, err error) {
	resp, err := operatorClient.Get("http://" + c.addr + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// awaitAcknowledged waits until the given number of callers have a version or a later one in force. It is an error if a
// caller refuses a version.
func (c *controlProcess) awaitAcknowledged(ctx context.Context, v resource.Version, callers int) error {
	var last controlStatus
	err := waitUntil(ctx, updateTimeout, fmt.Sprintf("version %s at %d callers", v, callers), func() bool {
		s, err := c.status()
		last = s
		n := 0
		for _, at := range s.Versions {
			if at.Version.Compare(v) >= 0 {
				n += at.Callers
			}
		}
		if err == nil && n < callers {
			time.Sleep(20 * time.Millisecond) // asking more often would load the process that is being measured
		}
		return err == nil && n >= callers
	})
	if err != nil {
		return fmt.Errorf("%w: %+v", err, last)
	}
	if last.Refused > 0 {
		return fmt.Errorf("version %s: %d callers refuse a version", v, last.Refused)
	}
	return nil
}

// writeControlProductFile writes a node's product file that names control processes. connect is the address at which
// the node accepts tunnels, which the routes belong to; empty: it accepts none.
func (r *run) writeControlProductFile(connect string, addrs ...string) (string, error) {
	text := "control:\n  addresses:\n"
	for _, a := range addrs {
		text += fmt.Sprintf("    - %q\n", a)
	}
	if connect != "" {
		text += fmt.Sprintf("tunnels:\n  connect: %q\n", connect)
	}
	return r.writeFile(".yaml", []byte(text+"...\n"))
}

// changeDelay separates two configuration changes. It is longer than a node takes to apply one, so that no two changes
// arrive in one response.
const changeDelay = 150 * time.Millisecond

// makeChanges makes configuration changes one after the other, and returns how long that took and the last version.
func makeChanges(ctx context.Context, count int, f *configFiles, writer *controlProcess) (elapsed time.Duration,
	last resource.Version, err error) {
	startedAt := time.Now()
	for range count {
		if err = f.changeNext(); err != nil {
			return 0, last, err
		}
		if last, err = writer.reload(); err != nil {
			return 0, last, err
		}
		if err = pause(ctx, changeDelay); err != nil {
			return 0, last, err
		}
	}
	return time.Since(startedAt), last, nil
}
