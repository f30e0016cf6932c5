package policy

import "math/rand/v2"

// Mode is the design's mode of a server. Here is what a node remembers; all decisions are in policy.go.
type Mode uint8

const (
	normal Mode = iota
	overload
	discard
)

type class struct {
	Class
	ClassSums
	lesser bool // worth less than the average for its work
}

type tenant struct {
	Tenant
	count, rate float64 // requests since the last plan; requests a second lately
}

type attempt struct {
	server  *server
	open    bool
	met, at float64 // occupancy plus one that it met, and when it was sent
}

type request struct {
	id               string
	class            *class
	lesser, borrowed bool     // diverted first; diverted always
	among            []uint32 // its cell; nil: all
	until, aim       float64  // when the client gives up, and when its answer stops being worth anything
	open, most       int      // attempts without an outcome; attempts that were allowed when it came
	attempts         []attempt
	final            bool    // the client has its answer; nothing more may be sent
	mayRun           *server // backend of the first attempt that may have run
	mayRunAt         float64 // when that was sent
	avoid            *server // the backend just tried: not twice in a row
}

// kind is what is known of all backends of one kind together, as of the latest plan.
type kind struct {
	latency, occupancy, served, warm, work, told float64 // sums
	typical, chance, base                        float64 // what each of them has of that
}

type server struct {
	Entry
	Evidence
	disabled, near     bool    // taken out by operators; in this node's own zone
	less, most         float64 // part of its usual share that it is not to get; most requests that it is to hold, 0: no bound
	grace              float64 // not listed any more, but used until then: the list came empty
	launched           float64
	own, ownLag, ownAt float64 // this node's attempts in flight; the same, at about the time of the latest report
	typical, chance    float64 // service time of its kind; part of this node's first draws that a warm one of its kind serves
	kin                *kind
}

// Balancer is the state of one node. It is not safe for concurrent use.
type Balancer struct {
	set                   Settings
	rng                   *rand.Rand
	aim, half             float64 // shortest told aim, and half the shortest told deadline; infinite when none was told
	classes               []*class
	servers               map[uint32]*server
	order                 []*server            // sorted by id
	lately                [8]*server           // some that were drawn lately from a long list
	cell                  []*server            // of the draw under way
	zones                 map[string][]*server // the same by zone,
	cells                 map[int64][]*server  // and by cell, where the list is long
	kinds                 map[string]*kind
	fleet                 *kind // all of them together
	requests              map[string]*request
	over                  []*request // done with, to be used again
	tenants               []*tenant
	part, now             float64 // this node's part of all traffic; latest time seen
	helds                 bool    // the latest report told how many requests its server holds
	latest, jump, began   float64 // first draws since the latest plan, and their rate lately; when its long memory was empty
	planAt, tickAt, askAt float64 // when the latest plan was made, the next is due, and to ask for the list again (0: not)
	out                   []Action
	Totals
}
