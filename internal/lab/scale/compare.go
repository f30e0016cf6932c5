package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"portstall/internal/lab/standin"
)

// CompareOptions configures the comparison of an older build with this one: a single run, in which both have the same
// contracts and web servers and are measured at the same time.
type CompareOptions struct {
	OldBinary string // path of the older build's binary; empty: only this build is measured
	// Contracts is how many are in force at each node. There is no default contract: each request falls under one of them.
	Contracts   int
	RoundLength time.Duration // length of a round; rounds without and with configuration changes alternate
	Rounds      int           // number of rounds of each kind
	// ChangesPerSecond applies to every other round. Half of the changes are to a contract that a request needs shortly
	// after.
	ChangesPerSecond float64
}

// LatencyRow reports the latency that one node added to requests, and its CPU time, in the rounds without or with
// changes.
type LatencyRow struct {
	Node     string  `json:"node"`
	Changing bool    `json:"changing"` // in the rounds with changes
	Asked    int     `json:"asked"`    // requests sent
	Lost     int     `json:"lost"`     // requests without a successful response
	P50      float64 `json:"p50_s"`    // median of the added latency
	P99      float64 `json:"p99_s"`
	CPU      float64 `json:"cpu_s"`   // CPU time of the node per request, including everything else that it does
	Made     int     `json:"changes"` // changes made
	// Met counts the changes after which, in the same round, a request at each node fell under the changed contract.
	Met    int     `json:"changes_met"`
	Rate   float64 `json:"changes_rate"` // changes actually made per second
	Change float64 `json:"change_s"`     // mean time of a change until the writer had it in force
}

// CompareBuilds sends requests in turn to a node of an older build, to one of this build, both of which read all
// contracts from a file, and to one of this build that has the same contracts from a control process. In every other
// round contracts at that control process change. Each node gets as many requests as a node of the plan's size, from
// one tenant after the other, so that no tenant calls a node more often than in production. Only one request is in
// flight at a time, so that the nodes don't take CPU time from each other. The plan gives sizes and limits.
func CompareBuilds(ctx context.Context, p *Plan, runOpts Options, opts CompareOptions) (rows []LatencyRow, err error) {
	if !(p.Size.Rate > 0) {
		return nil, fieldError("size.rate", "must be greater than 0 to send requests to nodes")
	}
	r, ctx, end, err := startRun(ctx, p, runOpts, p.Bound+2*time.Duration(opts.Rounds+1)*opts.RoundLength)
	if err != nil {
		return nil, err
	}
	defer func() {
		if cause := end(); cause != nil {
			err = cause
		}
	}()
	servers, err := startStubServers(8, 0, time.Minute)
	if err != nil {
		return nil, err
	}
	defer servers.stop()
	c := &comparison{CompareOptions: opts, run: r,
		requestInterval: time.Duration(float64(time.Second) * float64(p.Size.Nodes) / p.Size.Rate),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4,
			DisableCompression: true}}}
	defer c.client.CloseIdleConnections()
	discovery := NewStubDiscovery(len(servers.addrs), 1, servers.addrs)
	if err := c.start(ctx, discovery); err != nil {
		return nil, err
	}
	defer discovery.Stop()
	if err := c.checkNamedContracts(); err != nil {
		return nil, err
	}
	if err := c.runRound(ctx, 0, opts.RoundLength/2, false); err != nil { // connections are established
		return nil, err
	}
	for range opts.Rounds {
		for phase := range 2 {
			if err := errors.Join(c.runRound(ctx, phase, opts.RoundLength, true), context.Cause(ctx)); err != nil {
				return nil, err
			}
		}
	}
	for i := range c.nodes {
		rows = append(rows, c.nodes[i].row(0), c.nodes[i].row(1))
	}
	return rows, nil
}

// comparison holds the nodes that are compared and what they depend on.
type comparison struct {
	CompareOptions
	run             *run
	client          *http.Client
	requestInterval time.Duration // time between two requests at a node
	files           *configFiles
	writer          *controlProcess
	nodes           []*comparedNode
	requestCount    atomic.Int64 // requests sent to each node so far
}

// comparedNode is one of the nodes, with its results in the rounds without changes (0) and with them (1).
type comparedNode struct {
	*realNode
	name         string
	rows         [2]LatencyRow
	addedSeconds [2][]float64
	changeTimes  [2]time.Duration // duration of the rounds with changes, and of all changes together
}

// start starts control and the nodes that are compared.
func (c *comparison) start(ctx context.Context, discovery *StubDiscovery) error {
	r := c.run
	discoveryAddr, err := discovery.Start()
	if err != nil {
		return err
	}
	if c.files, err = r.newConfigFiles(c.Contracts, false); err != nil {
		return err
	}
	controls, err := r.startControls(ctx, 1, c.files, nil)
	if err != nil {
		return err
	}
	c.writer = controls[0]
	add := func(name, binary, role string, product func(connect string) (string, error)) error {
		connect, err := standin.FreeAddr()
		if err != nil {
			return err
		}
		path, err := product(connect)
		if err != nil {
			return err
		}
		n, err := r.startNode(ctx, nodeSetup{binary: binary, name: role, discovery: discoveryAddr, zone: zoneName(0),
			serverList: discovery.FullList(), serverIdle: time.Minute,
			env: []string{"PORTSTALL_FILE=" + path}})
		if err == nil {
			c.nodes = append(c.nodes, &comparedNode{realNode: n, name: name})
		}
		return err
	}
	file := func(connect string) (string, error) {
		text := string(productFileText(&r.plan.Size, c.Contracts))
		return r.writeFile(".yaml", []byte(strings.Replace(text, "connect: 127.0.0.1:1\n", "connect: "+connect+"\n", 1)))
	}
	if c.OldBinary != "" {
		if err := add("older build, a file", c.OldBinary, "old", file); err != nil {
			return err
		}
	}
	if err := add("this build, a file", "", "file", file); err != nil {
		return err
	}
	return add("this build, control", "", "control",
		func(connect string) (string, error) { return r.writeControlProductFile(connect, c.writer.addr) })
}

// errUnnamedAdmitted reports that a node admitted a request without a tenant.
var errUnnamedAdmitted = errors.New("admits a request that no named contract covers")

// checkNamedContracts makes sure that nodes admit requests under named contracts only: one without a tenant must be
// refused.
func (c *comparison) checkNamedContracts() error {
	for _, n := range c.nodes {
		if _, ok := sendRequest(c.client, n.addr, "nobody", ""); ok {
			return fmt.Errorf("%s: %w", n.name, errUnnamedAdmitted)
		}
	}
	return nil
}

// tenantOf returns the tenant of the k-th request at each node. Each tenant has one request before any has a second.
func (c *comparison) tenantOf(k int64) int {
	return int(k * tenantStride(c.Contracts) % int64(c.Contracts))
}

// tenantStride returns a step that is coprime with n, and so large that successive tenants are in different files of
// contracts.
func tenantStride(n int) int64 {
	for step := int64(7919); ; step++ {
		a, b := step, int64(n)
		for b > 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return step
		}
	}
}

// changeLead is how long before a request its contract is changed. It is longer than a node takes to have the change in
// force.
const changeLead = 300 * time.Millisecond

// makeChanges makes changes at a constant rate, however long each takes, until ctx ends. It returns how many it made,
// after how many of them a request fell under the changed contract by then, and how long all changes took together.
func (c *comparison) makeChanges(ctx context.Context, startedAt time.Time) (made, met int, elapsed time.Duration,
	err error) {
	var affected []int64
	for ; pause(ctx, time.Until(startedAt.Add(time.Duration(float64(made)/c.ChangesPerSecond*float64(time.Second))))) == nil; made++ {
		at := time.Now()
		if made%2 == 0 {
			turn := c.requestCount.Load() + int64(changeLead/c.requestInterval)
			affected = append(affected, turn)
			err = c.files.changeContract(c.tenantOf(turn))
		} else {
			err = c.files.changeNext()
		}
		if err == nil {
			_, err = c.writer.reload()
		}
		if err != nil {
			return made, 0, elapsed, err
		}
		elapsed += time.Since(at)
	}
	last := c.requestCount.Load()
	for _, turn := range affected {
		if turn < last {
			met++
		}
	}
	return made, met, elapsed, nil
}

// runRound sends requests to the nodes in turn for the given time. In phase 1 the configuration changes meanwhile. The
// results are recorded if count is set.
func (c *comparison) runRound(ctx context.Context, phase int, length time.Duration, count bool) error {
	within, stop := context.WithTimeout(ctx, length)
	defer stop()
	startedAt := time.Now()
	var made, met int
	var elapsed time.Duration
	changed := make(chan error, 1)
	go func() {
		var err error
		if phase == 1 {
			made, met, elapsed, err = c.makeChanges(within, startedAt)
		}
		changed <- err
	}()
	var cpuBefore []time.Duration
	for _, n := range c.nodes {
		cpuBefore = append(cpuBefore, cpuTime(n.cmd.Process.Pid))
	}
	for k := 0; pause(within, time.Until(startedAt.Add(time.Duration(k)*c.requestInterval))) == nil; k++ {
		turn := c.requestCount.Load()
		tenant := tenantName(c.tenantOf(turn))
		for offset := range c.nodes {
			n := c.nodes[(offset+k)%len(c.nodes)] // each time another node is the first
			elapsed, ok := sendRequest(c.client, n.addr, fmt.Sprintf("beside-%s-%d", n.role, turn), tenant)
			if !count {
				continue
			}
			if n.rows[phase].Asked++; ok {
				n.addedSeconds[phase] = append(n.addedSeconds[phase], elapsed)
			} else {
				n.rows[phase].Lost++
			}
		}
		c.requestCount.Add(1)
	}
	err := <-changed
	length = time.Since(startedAt)
	for i, n := range c.nodes {
		if !count {
			break
		}
		row := &n.rows[phase]
		row.CPU += (cpuTime(n.cmd.Process.Pid) - cpuBefore[i]).Seconds()
		row.Made, row.Met = row.Made+made, row.Met+met
		n.changeTimes[0], n.changeTimes[1] = n.changeTimes[0]+length*time.Duration(phase), n.changeTimes[1]+elapsed
	}
	if err != nil || phase == 0 {
		return err
	}
	status, err := c.writer.status()
	if err != nil {
		return err
	}
	return c.writer.awaitAcknowledged(ctx, status.Version, 1) // wait until the node has all changes in force
}

// row returns the node's results in a phase.
func (n *comparedNode) row(phase int) LatencyRow {
	row := n.rows[phase]
	row.Node, row.Changing = n.name, phase == 1
	row.P50, row.P99 = quantile(n.addedSeconds[phase], 0.5), quantile(n.addedSeconds[phase], 0.99)
	row.CPU /= float64(max(row.Asked, 1))
	if row.Made > 0 {
		row.Rate, row.Change = float64(row.Made)/n.changeTimes[0].Seconds(), n.changeTimes[1].Seconds()/float64(row.Made)
	}
	return row
}

// PrintComparison writes the rows as a table.
func PrintComparison(w io.Writer, rows []LatencyRow) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "node\tconfiguration\trequests\tlost\tadded latency, median\tp99\tCPU time per request")
	for _, r := range rows {
		what := "unchanged"
		if r.Changing {
			what = fmt.Sprintf("%d changes, %.1f per second, %s each; %d followed by a request of the tenant", r.Made,
				r.Rate, FormatAmount(r.Change, "s"), r.Met)
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.Node, what, r.Asked, r.Lost, FormatAmount(r.P50, "s"),
			FormatAmount(r.P99, "s"), FormatAmount(r.CPU, "s"))
	}
	return out.Flush()
}
