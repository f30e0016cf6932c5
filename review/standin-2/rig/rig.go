// Package rig has what the cases of the second review share: a record, a node started with the command of the deploy
// file, and stand-ins for discovery and web servers that keep to the protocol page.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a case's folder.
func NewRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		Fatal(err)
	}
	return &Record{file: f, start: time.Now()}
}

// Logf writes one line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Verdict writes a line to the record and to standard output.
func (r *Record) Verdict(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fatal ends a case that can't run.
func Fatal(err error) {
	fmt.Fprintln(os.Stderr, "case can't run:", err)
	cleanUp()
	os.Exit(NotRun)
}

// started are the nodes whose processes and folders are still there.
var started struct {
	sync.Mutex
	nodes []*Node
}

// cleanUp kills the nodes that still run and removes their folders.
func cleanUp() {
	started.Lock()
	defer started.Unlock()
	for _, n := range started.nodes {
		if n.Cmd != nil && n.Cmd.Process != nil {
			n.Cmd.Process.Kill()
			<-n.done
		}
		os.RemoveAll(n.Dir)
	}
	started.nodes = nil
}

// init lets a case that is ended from outside leave nothing behind.
func init() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		Fatal(errors.New("ended from outside"))
	}()
}

// FreeAddr returns a free loopback address.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Class is one class of the settings.
type Class map[string]any

// NewClass returns a class with all keys of the wire page that a class always has.
func NewClass(name, effect, group string, aim, deadline, gain, window float64) Class {
	return Class{"name": name, "effect": effect, "group": group, "aim_s": aim, "deadline_s": deadline, "gain": gain,
		"late_worth": 0.0, "repeat_window_s": window, "streaming": false}
}

// Site returns the three classes of austin-main.
func Site() []Class {
	return []Class{NewClass("search", "free", "all", 1, 3, 2, 5), NewClass("waitlist-join", "guarded", "all", 0.75, 2, 3, 10),
		NewClass("place-accept", "guarded", "cell", 1.2, 6, 8, 12)}
}

// Settings returns settings like those of austin-main, with the given classes.
func Settings(classes []Class) map[string]any {
	text := `{"balancers": 2, "blend": {"whole": 0.45, "worst_class": 0.4, "worst_tenant": 0.1, "worst_window": 0.05},
 "clients": {"marks_retry": true}, "discovery": "ask", "domain_type": "proxy", "family_info": {"warm_keys": false},
 "host_types": ["std-2c", "slow-2c"],
 "invariants": {"answer_slack_s": 0.02, "cold_s": 8.3, "cold_share": 0.3, "drain_grace_s": 1.0, "fall_s": 1.5, "must_ask_in_s": 10.0, "overload_factor": 2.5},
 "ordinal": 0, "over_share_worth": 0.2,
 "policy_limits": {"cancel": true, "conn_idle_s": 10.0, "connect_timeout_s": 0.25, "cpu_us_per_request": 0.0, "cpu_us_per_s": 8000, "max_attempts": 6, "max_open": 20000, "max_retry_after_s": 2.0, "parallel_tries": false, "peers": false, "probes": true, "retry_after": false, "streams_per_conn": 1},
 "projects": [{"name": "gulf-coast", "quota_per_s": 108.0, "share": 0.72}, {"name": "central-tx", "quota_per_s": 22.0, "share": 0.15}, {"name": "panhandle", "quota_per_s": 19.0, "share": 0.13}],
 "quantum_s": 0.005, "report": {"how": "piggyback", "names": ["depth"]}, "stage": 0,
 "tariffs": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.02, "handshake": 0.02, "late_fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.04},
 "tiers": ["placement-web"], "weights": "nominal", "worth_by": "work", "zone": "austin-dc1", "zones": ["austin-dc1"]}`
	var s map[string]any
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		Fatal(err)
	}
	s["grades"] = classes
	return s
}

// Node is one node process.
type Node struct {
	Dir, Listen, Mgmt string
	Config            map[string]any
	Cmd               *exec.Cmd
	rec               *Record
	done              chan struct{}
	log               *os.File
}

// NewNode writes a node's configuration into a temporary folder.
func NewNode(rec *Record, root string, settings map[string]any, discovery string, known any) *Node {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		Fatal(err)
	}
	n := &Node{Dir: dir, Listen: FreeAddr(), Mgmt: FreeAddr(), rec: rec}
	started.Lock()
	started.nodes = append(started.nodes, n)
	started.Unlock()
	n.Config = map[string]any{"name": "n1", "listen": n.Listen, "discovery": discovery, "mgmt": n.Mgmt, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	n.WriteConfig()
	return n
}

// WriteConfig replaces the configuration file.
func (n *Node) WriteConfig() {
	text, err := json.MarshalIndent(n.Config, "", " ")
	if err == nil {
		temp := filepath.Join(n.Dir, "config.new")
		if err = os.WriteFile(temp, text, 0o644); err == nil {
			err = os.Rename(temp, filepath.Join(n.Dir, "config.json"))
		}
	}
	if err != nil {
		Fatal(err)
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// Start starts the process with the run line of the deploy file.
func (n *Node) Start(env ...string) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		Fatal(err)
	}
	line := runLine.FindSubmatch(text)
	if line == nil {
		Fatal(errors.New("deploy/balancer.toml has no run line"))
	}
	tmp := filepath.Join(n.Dir, "tmp")
	os.MkdirAll(tmp, 0o755)
	if n.log, err = os.Create(filepath.Join(n.Dir, "node.log")); err != nil {
		Fatal(err)
	}
	n.Cmd = exec.Command("/bin/sh", "-c", string(line[1]))
	n.Cmd.Env = append(os.Environ(), "GW_NAME=n1", "GW_LISTEN="+n.Listen, "GW_DISCOVERY="+n.Config["discovery"].(string),
		"GW_MGMT="+n.Mgmt, "GW_CONFIG="+filepath.Join(n.Dir, "config.json"), "TMPDIR="+tmp)
	n.Cmd.Env = append(n.Cmd.Env, env...)
	n.Cmd.Stdout, n.Cmd.Stderr = n.log, n.log
	n.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.done = make(chan struct{})
	if err := n.Cmd.Start(); err != nil {
		Fatal(err)
	}
	go func() { n.Cmd.Wait(); close(n.done) }()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + n.Listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				n.rec.Logf("node ready, pid %d", n.Cmd.Process.Pid)
				http.DefaultClient.CloseIdleConnections()
				return
			}
		}
		if n.Ended(0) {
			break
		}
	}
	n.Stop()
	Fatal(errors.New("the node did not become ready"))
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.rec.Logf("signal to the node: %v", s)
	n.Cmd.Process.Signal(s)
}

// Ended reports whether the process ends within d.
func (n *Node) Ended(d time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(d):
		return false
	}
}

// Stop kills the process, appends its log to the record and removes its folder.
func (n *Node) Stop() {
	n.Cmd.Process.Kill()
	<-n.done
	n.log.Close()
	defer cleanUp()
	if f, err := os.Open(filepath.Join(n.Dir, "node.log")); err == nil {
		n.rec.mu.Lock()
		fmt.Fprintln(n.rec.file, "--- the node's log, at most 200 kB")
		io.CopyN(n.rec.file, f, 200<<10)
		n.rec.mu.Unlock()
		f.Close()
	}
}

// Entry is a web server in discovery's list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int64   `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is a list of web servers.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery answers each call with the whole list, a watch as soon as there is a newer one.
type Discovery struct {
	Addr    string
	rec     *Record
	mu      sync.Mutex
	list    List
	changed chan struct{}
}

// NewDiscovery starts a discovery with a list.
func NewDiscovery(rec *Record, servers ...Entry) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	d := &Discovery{Addr: l.Addr().String(), rec: rec, list: List{41, true, servers}, changed: make(chan struct{})}
	go http.Serve(l, d)
	return d
}

// List returns the present list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// Set replaces the list.
func (d *Discovery) Set(servers ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = List{d.list.Version + 1, true, servers}
	ids := ""
	for _, s := range servers {
		ids += fmt.Sprintf(" %s@%s/cell %d/%s", s.ID, s.Addr, s.Cell, s.State)
	}
	d.rec.Logf("discovery: version %d, whole list:%s", d.list.Version, ids)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		list, changed := d.list, d.changed
		d.mu.Unlock()
		newer := since == 0 || list.Version > since
		if !newer {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				list = List{Version: list.Version, Servers: []Entry{}}
			}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(list)
		return
	}
}

// Request is a request that a client sends.
type Request struct {
	ID, Class, Key, Tenant string
	Deadline               time.Duration
	Body                   []byte
}

// Head returns the request's head. Without a key and a body it is a GET.
func (q *Request) Head(host string, length int) string {
	method := "POST"
	if q.Key == "" && length == 0 { // only a class that is safe to repeat
		method = "GET"
	}
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: gulf-coast\r\nX-Deadline: %dm\r\n",
		method, host, q.ID, q.Class, q.Deadline.Milliseconds())
	if q.Key != "" {
		head += "Idempotency-Key: " + q.Key + "\r\n"
	}
	if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return head + "\r\n"
}

// Do sends a request on a new connection and returns its answer; status 0 is none.
func Do(rec *Record, addr string, q *Request) (status int, body string) {
	begun := time.Now()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		rec.Logf("client: %s: %v", q.ID, err)
		return 0, ""
	}
	defer c.Close()
	rec.Logf("client: sends %s class %s key %q", q.ID, q.Class, q.Key)
	c.SetDeadline(begun.Add(q.Deadline + 2*time.Second))
	io.WriteString(c, q.Head("backend.local", len(q.Body))+string(q.Body))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			rec.Logf("client: %s answered %d after %.3f s", q.ID, resp.StatusCode, time.Since(begun).Seconds())
			return resp.StatusCode, string(text)
		}
	}
	rec.Logf("client: %s has no whole answer after %.3f s: %v", q.ID, time.Since(begun).Seconds(), err)
	return 0, ""
}
