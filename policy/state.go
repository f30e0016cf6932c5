package policy

import "math/rand/v2"

// classState is a class with its statistics.
type classState struct {
	Class
	ClassStats
	lowPriority bool // worth less than the average for its cost
}

// tenantState is a tenant with its request rate.
type tenantState struct {
	Tenant
	arrivals, arrivalRate float64 // requests since the latest refresh; recent rate per second
}

// location is the zone and the cell of a server.
type location struct {
	zone string
	cell int64
}

// sharesKeys reports whether a server drops repeats of requests of a class that ran in the location.
func (l location) sharesKeys(c *classState, s *server) bool {
	return (c.Group != GroupZone || s.Zone == l.zone) && (c.Group != GroupCell || s.Cell == l.cell)
}

// attempt is one attempt of a request.
type attempt struct {
	server            *server
	location          location // of the server at the send: later lists may not have it, or have it elsewhere
	pending           bool     // has no outcome yet
	occupancy, sentAt float64  // occupancy plus one of the server at the send; time of the send
}

// request is a request without a final response, or with a pending attempt.
type request struct {
	id                     string
	class                  *classState
	lowPriority, overQuota bool     // diverted before others; diverted always
	candidates             []uint32 // ids of the servers that it may go to; nil: all
	expiresAt, usefulUntil float64  // when the client stops waiting; when its response loses all value
	pending, maxAttempts   int      // attempts without an outcome; limit on attempts when the request arrived
	attempts               []attempt
	finished               bool // the client has its final response or has disconnected; nothing more may be sent
	mayHaveRun             bool // an attempt may have run; the first of them was sent to this location at this time
	mayHaveRunIn           location
	mayHaveRunAt           float64
	lastTried              *server // server of the latest attempt: not used twice in a row
}

// serverType holds the statistics of all servers of one type together, as of the latest refresh.
type serverType struct {
	// Sums over the servers: latencies, occupancies and reported service times, and the number of servers that report
	// them; over the warm servers in use alone: responses, and their number.
	latency, occupancy, served, warmServers, reportedServiceTimes, reportingServers float64
	// Values for each server: service time in seconds, the share of initial selections that a warm one serves, and the
	// mean of the reported service times, which is infinite if none is reported.
	serviceTime, warmShare, meanReportedServiceTime float64
}

// server is a server of the list. An attempt keeps its reference to a server that is removed or restarted meanwhile.
// Times are seconds on the node's clock.
type server struct {
	Entry
	ServerStats
	// Disabled by an operator; in this node's own zone.
	disabled, inLocalZone bool
	// Share of its usual weight that it does not get; limit on the requests that it holds, 0: no limit.
	weightReduction, maxConcurrent float64
	// No longer listed, but used until this time: an empty list was received.
	graceUntil float64
	launchedAt float64
	// This node's attempts in flight; their smoothed count at about the time of the latest report; when that count was
	// updated.
	localInFlight, laggedInFlight, laggedAt float64
	// Service time of its type; share of this node's initial selections that a warm server of its type serves.
	typeServiceTime, warmShare float64
	typeStats                  *serverType
}

// Balancer makes the decisions of one node. It is not safe for concurrent use. Times are seconds on the node's clock.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	// Shortest specified target latency, and half the shortest specified deadline; infinite when none is specified.
	minTargetLatency, halfMinDeadline float64
	classes                           []*classState
	servers                           map[uint32]*server
	// All servers, ordered by id.
	sorted []*server
	// Some of the servers that were selected recently from a long list.
	recentlySelected [8]*server
	// Candidates of the selection in progress, reused.
	candidateBuffer []*server
	// Servers by zone and by cell, filled only where the list is long.
	byZone      map[string][]*server
	byCell      map[int64][]*server
	serverTypes map[string]*serverType
	// Statistics of all servers together.
	allTypes *serverType
	requests map[string]*request
	// Free list of finished requests.
	freeRequests []*request
	tenants      []*tenantState
	// This node's share of all traffic; latest time seen.
	trafficShare, now float64
	// Whether the latest report had the number of requests that its server holds.
	heldReported bool
	// Initial selections since the latest refresh; their recent rate per second; time at which the long-term counts
	// started from zero.
	selectionsSinceRefresh, selectionRate, statsStart float64
	// Time of the latest refresh; time when the next is due; time to subscribe to the list again, 0: not due.
	lastRefreshAt, nextRefreshAt, resubscribeAt float64
	actions                                     []Action
	TotalStats
}
