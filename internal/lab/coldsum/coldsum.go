// Package coldsum counts the requests that all nodes together send to each cold web server, and checks them against the
// rule for cold servers. It runs the real policy, one balancer per node, in virtual time against servers that start
// cold. In every window of the length that the settings give (fall_for), a server may get N requests of mean work,
// where N is what the settings allow it at that moment, plus Slack(N) for random variation.
//
// The package uses no clock, goroutine or socket: the same Case and seed give the same Tally. Its simulation is simpler
// than that of internal/lab/model: the network is a fixed delay, and servers warm up by time alone, exactly as slowly
// as the settings permit.
package coldsum

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"portstall/policy"
)

// Slack returns the number of requests beyond n that are attributed to random variation.
func Slack(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// Disturbance names what happens to the fleet during a run.
type Disturbance string

// The disturbances during which servers start cold.
const (
	// RollingRestart restarts 30% of the servers one after the other, within 9 s.
	RollingRestart Disturbance = "steady"
	// Burst raises the request rate by half for 4 s and restarts 30% of the servers around the beginning of the rise.
	Burst Disturbance = "burst"
	// ZoneReturn silences a third of the servers for 5 s; they return cold within 0.2 s of each other.
	ZoneReturn Disturbance = "zone returns"
	// Replacement replaces 60% of the servers by new ones within 7 s.
	Replacement Disturbance = "six in ten"
	// Retries makes 10% of the servers fail 60% of their requests, restarts 30% within 4 s and raises the request rate as
	// Burst does.
	Retries Disturbance = "repeats"
	// AllCold starts all servers and nodes at the same moment: no server is warm, and no node has learned state.
	AllCold Disturbance = "all cold"
	// ColdAsWarm is Burst with nodes whose settings allow cold servers any load: an injected breach of the rule.
	ColdAsWarm Disturbance = "taken for warm"
)

// Disturbances lists those under which the policy must keep the rule. ColdAsWarm is not among them.
var Disturbances = []Disturbance{RollingRestart, Burst, ZoneReturn, Replacement, Retries, AllCold}

// Case describes a fleet, its rule for cold servers and the disturbance. FallFactor and FallFor say when a server
// collapses: more than FallFactor times its present capacity arrives within FallFor.
type Case struct {
	Disturbance Disturbance
	Nodes       int
	Servers     int
	Capacity    float64       // requests of mean work per second that a warm server completes
	Load        float64       // arriving requests, as a fraction of the capacity of all servers when warm
	ColdShare   float64       // fraction of its capacity that a cold server starts with
	ColdFor     time.Duration // time from its start until a server is warm
	FallFactor  float64       // multiple of its present capacity at which a server collapses
	FallFor     time.Duration // length of the window in which the multiple is counted
}

// Tally holds the counts of one or more runs.
type Tally struct {
	Starts      int     // cold starts of servers
	Exceeded    int     // starts that have a window above N + Slack(N)
	Breaches    int     // of Exceeded: over 2/3 of the work in the window came from nodes notified of the start
	MaxExcess   float64 // largest excess over N in a window, in units of sqrt(N)
	MeanUse     float64 // fraction of N sent in a window, averaged over all sends to cold servers
	ServedShare float64 // fraction of the clients' requests served in time, by the first try or a retry
	Requests    int     // clients' requests, without their retries
}

// Add adds the counts of another run. Means are weighted by the starts or requests that they cover.
func (t *Tally) Add(o Tally) {
	if t.MaxExcess = max(t.MaxExcess, o.MaxExcess); t.Starts == 0 {
		t.MaxExcess = o.MaxExcess
	}
	t.MeanUse = weightedMean(t.MeanUse, t.Starts, o.MeanUse, o.Starts)
	t.ServedShare = weightedMean(t.ServedShare, t.Requests, o.ServedShare, o.Requests)
	t.Starts, t.Exceeded, t.Breaches, t.Requests = t.Starts+o.Starts, t.Exceeded+o.Exceeded, t.Breaches+o.Breaches, t.Requests+o.Requests
}

// weightedMean returns the mean of a, which covers n items, and b, which covers m.
func weightedMean(a float64, n int, b float64, m int) float64 {
	return (a*float64(n) + b*float64(m)) / float64(max(1, n+m))
}

const (
	epoch         = time.Hour        // nodes' clock at the start of a run; a launch time of 0 means long ago
	settleTime    = 7 * time.Second  // undisturbed time at the beginning of a run
	runLength     = 18 * time.Second // length of a run
	clientTimeout = time.Second      // time from a client's request until the client gives up, retries included
	messageDelay  = time.Millisecond // network delay of a message between node and server, one way
	serverSlots   = 2                // requests that a server processes concurrently
	maxQueue      = 8                // requests that wait at a server; it rejects more
	maxTries      = 4                // tries of a client for one request, the first included
)

// classWork is the work of a request of each of the two classes. Their mean, weighted by the classes' shares, is the
// unit of Case.Capacity.
var classWork = [2]float64{0.7, 1.6}

// heavyShare is the fraction of requests that belong to the second class.
const heavyShare = 1.0 / 3

// eventKind says what happens at an event.
type eventKind uint8

const (
	evClientRequest  eventKind = iota // a client sends a new request
	evTick                            // a node's policy timer fires
	evListUpdate                      // a node receives a server's changed entry
	evDelivery                        // an attempt arrives at a server, or a client's retry at a node
	evServerDone                      // a server finishes a request
	evOutcome                         // a node learns an attempt's outcome
	evServerStart                     // a server restarts cold
	evServerSilent                    // a server stops responding
	evServerDraining                  // a server is announced as draining and a new one starts in its place
	evServerRemoved                   // a server is announced as removed
)

// event is something that happens at a moment of virtual time. Which fields are set depends on its kind.
type event struct {
	at          time.Duration
	seq         int // order among events of the same time
	kind        eventKind
	node        int
	server      *server
	try         *clientTry
	entry       policy.Entry
	number      int // index of the attempt; at evServerDone, launchCount of the process that did the work
	launchCount int // of the server process that served the attempt; set with outcome policy.OK
	outcome     policy.Outcome
}

// eventQueue is a heap (container/heap) of events by time, then by seq.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// clientTry is one try of a client's request, at one node. A client's retry is a new clientTry.
type clientTry struct {
	id          string
	class       int
	node        int
	requestedAt time.Duration // when the client sent the first try of this request
	tryNumber   int           // 1 for the first try
	attempts    int           // attempts that the node has sent to servers
	sentAt      time.Duration // when the latest attempt was sent
	pending     bool          // the latest attempt has no outcome yet
	finished    bool          // the try was served, refused or failed
}

// server is a simulated web server.
type server struct {
	policy.Entry
	silent      bool // does not respond
	failing     bool // fails 60% of its requests
	running     int  // requests being processed
	queue       []queuedAttempt
	coldStart   *coldStart // its latest start; nil once the server is warm
	launchCount int        // starts so far; events of an earlier process are ignored
}

// queuedAttempt is an attempt that waits at a server.
type queuedAttempt struct {
	try   *clientTry
	index int // of the attempt within the try
}

// sentAttempt is an attempt sent to a cold server.
type sentAttempt struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool    // the sending node had been notified of the server's start
}

// coldStart holds what was sent to a server since one of its cold starts.
type coldStart struct {
	window       []sentAttempt // the attempts of the last Case.FallFor
	informedWork float64
	exceeded     bool    // a window was above N + Slack(N)
	useSum       float64 // sum over the windows of the fraction of N that was sent
	windowCount  int
}

// simulation is the state of one run. It belongs to one goroutine.
type simulation struct {
	Case
	rng               *rand.Rand
	now               time.Duration
	lastSeq           int
	events            eventQueue
	nodes             []*policy.Balancer
	knownLaunch       []map[uint32]time.Duration // per node and server: latest launch that the node knows
	cumulativeWeights []float64                  // running sum of the nodes' shares of all requests, not normalized
	servers           map[uint32]*server
	serverList        []*server
	coldStarts        []*coldStart
	rateFactor        func(at time.Duration) float64 // factor of the request rate at a time
	requests          int
	served            int
	lastTryID         int
	lastServerID      uint32
	maxExcess         float64
	actions           []policy.Action
}

// Run simulates a case once and returns its counts. It returns an error if the policy rejects the case's settings.
func Run(c Case, seed uint64) (Tally, error) {
	sim := &simulation{Case: c, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, servers: map[uint32]*server{}, maxExcess: math.Inf(-1)}
	set := policy.Settings{Nodes: c.Nodes, MaxAttempts: 4, Cancel: true, RetryAfter: time.Second, DrainGrace: time.Second,
		ColdShare: c.ColdShare, ColdFor: c.ColdFor, FallFactor: c.FallFactor, FallFor: c.FallFor, OverShare: 1,
		Classes: []policy.Class{{Name: "0", TargetLatency: clientTimeout / 2, Deadline: clientTimeout, Value: 1}, {Name: "1", TargetLatency: clientTimeout / 2, Deadline: clientTimeout, Value: 2}}}
	if c.Disturbance == ColdAsWarm {
		set.ColdShare, set.FallFactor = 1, 1e3
	}
	sum := 0.0
	for i := range c.Nodes {
		set.Zone = zoneName(i)
		b, err := policy.New(set, seed<<32+uint64(i))
		if err != nil {
			return Tally{}, fmt.Errorf("coldsum: %w", err)
		}
		sim.nodes, sim.knownLaunch = append(sim.nodes, b), append(sim.knownLaunch, map[uint32]time.Duration{})
		sum += math.Exp(0.7 * sim.rng.NormFloat64()) // log-normal: some nodes get several times the mean load
		sim.cumulativeWeights = append(sim.cumulativeWeights, sum)
	}
	sim.rateFactor = func(time.Duration) float64 { return 1 }
	for range c.Servers {
		if s := sim.addServer(); c.Disturbance == AllCold {
			sim.launch(s)
			for _, known := range sim.knownLaunch {
				known[s.ID] = sim.now // the first list contains it
			}
		}
	}
	fullList := policy.Event{Kind: policy.EvList, List: policy.ListFull}
	for _, s := range sim.serverList {
		fullList.Entries = append(fullList.Entries, s.Entry)
	}
	for i := range sim.nodes {
		sim.actions = sim.nodes[i].Handle(sim.now, &fullList, sim.actions[:0])
		sim.schedule(event{at: sim.now + sim.randomDuration(250*time.Millisecond), kind: evTick, node: i})
	}
	sim.scheduleDisturbance()
	sim.schedule(event{at: sim.now, kind: evClientRequest})
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if sim.now = e.at; sim.now > epoch+runLength {
			break
		}
		sim.process(&e)
	}
	t := Tally{Starts: len(sim.coldStarts), MaxExcess: sim.maxExcess, Requests: sim.requests, ServedShare: float64(sim.served) / float64(max(1, sim.requests))}
	for _, s := range sim.coldStarts {
		if s.exceeded {
			t.Exceeded++
		}
		if s.informedWork > 0 && s.exceeded {
			t.Breaches++
		}
		t.MeanUse += s.useSum / float64(max(1, s.windowCount)) / float64(len(sim.coldStarts))
	}
	return t, nil
}

// schedule adds an event. Events of the same time happen in the order in which they were added.
func (sim *simulation) schedule(e event) {
	sim.lastSeq++
	e.seq = sim.lastSeq
	heap.Push(&sim.events, e)
}

// randomDuration returns a uniformly distributed duration below d.
func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Float64() * float64(d))
}

// addServer adds a server that started long ago and is warm.
func (sim *simulation) addServer() *server {
	sim.lastServerID++
	s := &server{Entry: policy.Entry{ID: sim.lastServerID, Zone: zoneName(int(sim.lastServerID)), ServerType: "k"}}
	sim.servers[s.ID] = s
	sim.serverList = append(sim.serverList, s)
	return s
}

// zoneName returns the zone of the i-th node or server; there are three.
func zoneName(i int) string { return string(rune('a' + i%3)) }

// announce notifies every node of a server's entry, each after 20 to 150 ms.
func (sim *simulation) announce(s *server) {
	for i := range sim.nodes {
		sim.schedule(event{at: sim.now + 20*time.Millisecond + sim.randomDuration(130*time.Millisecond), kind: evListUpdate, node: i, entry: s.Entry})
	}
}

// scheduleDisturbance schedules the events of the case's disturbance.
func (sim *simulation) scheduleDisturbance() {
	begin := epoch + settleTime
	randomServers := func(share float64) []*server {
		order := sim.rng.Perm(len(sim.serverList))[:max(1, int(share*float64(sim.Servers)))]
		chosen := make([]*server, len(order))
		for i, k := range order {
			chosen[i] = sim.serverList[k]
		}
		return chosen
	}
	burst := func(at time.Duration) {
		sim.rateFactor = func(now time.Duration) float64 {
			if now >= at && now < at+4*time.Second {
				return 1.5
			}
			return 1
		}
	}
	switch sim.Disturbance {
	case RollingRestart:
		for i, s := range randomServers(0.3) {
			sim.schedule(event{at: begin + time.Duration(i)*9*time.Second/time.Duration(max(1, sim.Servers*3/10)), kind: evServerStart, server: s})
		}
	case Burst, ColdAsWarm:
		burst(begin + time.Second)
		for _, s := range randomServers(0.3) {
			sim.schedule(event{at: begin + sim.randomDuration(2*time.Second), kind: evServerStart, server: s})
		}
	case ZoneReturn:
		for _, s := range randomServers(1.0 / 3) {
			sim.schedule(event{at: begin, kind: evServerSilent, server: s})
			sim.schedule(event{at: begin + 5*time.Second + sim.randomDuration(200*time.Millisecond), kind: evServerStart, server: s})
		}
	case Replacement:
		for _, s := range randomServers(0.6) {
			sim.schedule(event{at: begin + sim.randomDuration(7*time.Second), kind: evServerDraining, server: s})
		}
	case Retries:
		burst(begin + 2*time.Second)
		for _, s := range randomServers(0.1) {
			s.failing = true
		}
		for _, s := range randomServers(0.3) {
			sim.schedule(event{at: begin + sim.randomDuration(4*time.Second), kind: evServerStart, server: s})
		}
	}
}
