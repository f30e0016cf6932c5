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

// BesideOptions are what an older build is held beside this one by: one run, in which both have the same contracts, web servers and
// moments.
type BesideOptions struct {
	Old       string        // the older build's binary; empty: this build alone
	Contracts int           // in force at each node; each request falls under one of them, for there is none for everybody else
	Round     time.Duration // quiet rounds, and rounds with changes of the configuration, take turns
	Rounds    int           // of each
	Changes   float64       // a second, in every other round: half of them of contracts that requests fall under shortly after
}

// Added is what a request through one node took in the quiet rounds, or in those with changes.
type Added struct {
	Node     string  `json:"node"`
	Changing bool    `json:"changing"`
	Asked    int     `json:"asked"`
	Lost     int     `json:"lost"` // without a good answer
	P50      float64 `json:"p50_s"`
	P99      float64 `json:"p99_s"`
	CPU      float64 `json:"cpu_s"` // processor time a request, all else that the node does included
	Made     int     `json:"changes"`
	Met      int     `json:"changes_met"`  // of those: of a contract that a request at each node fell under after the change, in the same round
	Rate     float64 `json:"changes_rate"` // that were reached, a second
	Change   float64 `json:"change_s"`     // what one took, until the writer had it in force
}

// Beside asks nodes of an older build and of this one in turn: the older one and this one with a file of all contracts, and this one
// with the same contracts from a control process, which changes one now and then in every other round. Each is asked as often as a node of
// the plan's size is, by one tenant after the other, so that none comes to a node more often than in life. Requests wait for one another, so
// that no node's share of the machine is another's loss. Plan gives sizes and bounds.
func Beside(ctx context.Context, p *Plan, o Options, b BesideOptions) (rows []Added, err error) {
	if !(p.Size.Rate > 0) {
		return nil, fieldError("size.rate", "is over 0 to ask nodes by")
	}
	r, ctx, end, err := startRun(ctx, p, o, p.Bound+2*time.Duration(b.Rounds+1)*b.Round)
	if err != nil {
		return nil, err
	}
	defer func() {
		if cause := end(); cause != nil {
			err = cause
		}
	}()
	web, err := startStubServers(8, 0, time.Minute)
	if err != nil {
		return nil, err
	}
	defer web.stop()
	s := &comparison{BesideOptions: b, run: r, requestInterval: time.Duration(float64(time.Second) * float64(p.Size.Nodes) / p.Size.Rate),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
	defer s.client.CloseIdleConnections()
	list := NewStubDiscovery(len(web.addrs), 1, web.addrs)
	if err := s.start(ctx, list); err != nil {
		return nil, err
	}
	defer list.Stop()
	if err := s.checkNamedContracts(); err != nil {
		return nil, err
	}
	if err := s.runRound(ctx, 0, b.Round/2, false); err != nil { // connections come up
		return nil, err
	}
	for range b.Rounds {
		for phase := range 2 {
			if err := errors.Join(s.runRound(ctx, phase, b.Round, true), context.Cause(ctx)); err != nil {
				return nil, err
			}
		}
	}
	for i := range s.nodes {
		rows = append(rows, s.nodes[i].row(0), s.nodes[i].row(1))
	}
	return rows, nil
}

// sides are the nodes that are held beside each other.
type comparison struct {
	BesideOptions
	run             *run
	client          *http.Client
	requestInterval time.Duration // between two requests at a node
	files           *configFiles
	writer          *controlProcess
	nodes           []*comparedNode
	requestCount    atomic.Int64 // requests so far at each node
}

// side is one of them, with what it met in quiet rounds and in those with changes.
type comparedNode struct {
	*realNode
	name         string
	rows         [2]Added
	addedSeconds [2][]float64
	changeTimes  [2]time.Duration // with changes, and by all of them
}

// start brings up what is asked and what that follows.
func (s *comparison) start(ctx context.Context, list *StubDiscovery) error {
	r := s.run
	discovery, err := list.Start()
	if err != nil {
		return err
	}
	if s.files, err = r.newConfigFiles(s.Contracts, false); err != nil {
		return err
	}
	controls, err := r.startControls(ctx, 1, s.files, nil)
	if err != nil {
		return err
	}
	s.writer = controls[0]
	add := func(name, binary, role string, product func(connect string) (string, error)) error {
		connect, err := standin.FreeAddr()
		if err != nil {
			return err
		}
		path, err := product(connect)
		if err != nil {
			return err
		}
		n, err := r.startNode(ctx, nodeSetup{binary: binary, name: role, discovery: discovery, zone: zoneName(0), serverList: list.FullList(), serverIdle: time.Minute,
			env: []string{"PORTSTALL_FILE=" + path}})
		if err == nil {
			s.nodes = append(s.nodes, &comparedNode{realNode: n, name: name})
		}
		return err
	}
	file := func(connect string) (string, error) {
		text := string(productFileText(&r.plan.Size, s.Contracts))
		return r.writeFile(".yaml", []byte(strings.Replace(text, "connect: 127.0.0.1:1\n", "connect: "+connect+"\n", 1)))
	}
	if s.Old != "" {
		if err := add("older build, a file", s.Old, "old", file); err != nil {
			return err
		}
	}
	if err := add("this build, a file", "", "file", file); err != nil {
		return err
	}
	return add("this build, control", "", "control", func(connect string) (string, error) { return r.writeControlProductFile(connect, s.writer.addr) })
}

// errNobody is that a request of nobody was let in.
var errUnnamedAdmitted = errors.New("lets in a request that no named contract is for")

// named makes sure that what a node lets in falls under a named contract: a request of nobody is refused.
func (s *comparison) checkNamedContracts() error {
	for _, n := range s.nodes {
		if _, ok := sendRequest(s.client, n.addr, "nobody", ""); ok {
			return fmt.Errorf("%s: %w", n.name, errUnnamedAdmitted)
		}
	}
	return nil
}

// tenant is whose request the k-th at each node is: all have their turn before one comes again.
func (s *comparison) tenantOf(k int64) int {
	return int(k * tenantStride(s.Contracts) % int64(s.Contracts))
}

// stride has no divisor in common with a number, and leads far from one file of contracts to the next.
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

// ahead is how long before a request its contract is changed, in the changes that are to be met: longer than a node takes to have it in force.
const changeLead = 300 * time.Millisecond

// changes makes changes at even times, whatever each takes, until ctx ends. Met are those whose contract's turn comes by then.
func (s *comparison) makeChanges(ctx context.Context, begun time.Time) (made, met int, took time.Duration, err error) {
	var turns []int64
	for ; pause(ctx, time.Until(begun.Add(time.Duration(float64(made)/s.Changes*float64(time.Second))))) == nil; made++ {
		at := time.Now()
		if made%2 == 0 {
			turn := s.requestCount.Load() + int64(changeLead/s.requestInterval)
			turns = append(turns, turn)
			err = s.files.changeContract(s.tenantOf(turn))
		} else {
			err = s.files.changeNext()
		}
		if err == nil {
			_, err = s.writer.reload()
		}
		if err != nil {
			return made, 0, took, err
		}
		took += time.Since(at)
	}
	last := s.requestCount.Load()
	for _, turn := range turns {
		if turn < last {
			met++
		}
	}
	return made, met, took, nil
}

// round asks the nodes in turn, for so long; in phase 1 with changes. What is met counts, or not.
func (s *comparison) runRound(ctx context.Context, phase int, length time.Duration, count bool) error {
	within, stop := context.WithTimeout(ctx, length)
	defer stop()
	begun := time.Now()
	var made, met int
	var took time.Duration
	changed := make(chan error, 1)
	go func() {
		var err error
		if phase == 1 {
			made, met, took, err = s.makeChanges(within, begun)
		}
		changed <- err
	}()
	var used []time.Duration
	for _, n := range s.nodes {
		used = append(used, cpuTime(n.cmd.Process.Pid))
	}
	for k := 0; pause(within, time.Until(begun.Add(time.Duration(k)*s.requestInterval))) == nil; k++ {
		turn := s.requestCount.Load()
		tenant := tenantName(s.tenantOf(turn))
		for j := range s.nodes {
			n := s.nodes[(j+k)%len(s.nodes)] // another one is the first each time
			took, ok := sendRequest(s.client, n.addr, fmt.Sprintf("beside-%s-%d", n.role, turn), tenant)
			if !count {
				continue
			}
			if n.rows[phase].Asked++; ok {
				n.addedSeconds[phase] = append(n.addedSeconds[phase], took)
			} else {
				n.rows[phase].Lost++
			}
		}
		s.requestCount.Add(1)
	}
	err := <-changed
	length = time.Since(begun)
	for i, n := range s.nodes {
		if !count {
			break
		}
		row := &n.rows[phase]
		row.CPU += (cpuTime(n.cmd.Process.Pid) - used[i]).Seconds()
		row.Made, row.Met = row.Made+made, row.Met+met
		n.changeTimes[0], n.changeTimes[1] = n.changeTimes[0]+length*time.Duration(phase), n.changeTimes[1]+took
	}
	if err != nil || phase == 0 {
		return err
	}
	status, err := s.writer.status()
	if err != nil {
		return err
	}
	return s.writer.awaitAcknowledged(ctx, status.Version, 1) // the node has all of them in force
}

// told is a phase's row.
func (n *comparedNode) row(phase int) Added {
	row := n.rows[phase]
	row.Node, row.Changing = n.name, phase == 1
	row.P50, row.P99 = quantile(n.addedSeconds[phase], 0.5), quantile(n.addedSeconds[phase], 0.99)
	row.CPU /= float64(max(row.Asked, 1))
	if row.Made > 0 {
		row.Rate, row.Change = float64(row.Made)/n.changeTimes[0].Seconds(), n.changeTimes[1].Seconds()/float64(row.Made)
	}
	return row
}

// PrintBeside writes rows as a table.
func PrintBeside(w io.Writer, rows []Added) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "node\tconfiguration\trequests\tlost\tadded, median\tp99\tprocessor time each")
	for _, r := range rows {
		what := "quiet"
		if r.Changing {
			what = fmt.Sprintf("%d changes, %.1f a second, %s each; %d met by a request", r.Made, r.Rate, FormatAmount(r.Change, "s"), r.Met)
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.Node, what, r.Asked, r.Lost, FormatAmount(r.P50, "s"), FormatAmount(r.P99, "s"), FormatAmount(r.CPU, "s"))
	}
	return out.Flush()
}
