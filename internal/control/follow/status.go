package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/resource"
)

// Status counts what a follower did and stores its state. The zero value is ready for use. It is safe for concurrent use: mu protects
// state, the counters are atomic.
type Status struct {
	calls, answers, bytesIn, bytesOut   atomic.Int64
	snapshots, deltas, empty, resources atomic.Int64
	failures                            [len(kinds)]atomic.Int64

	mu    sync.Mutex
	state Stands
}

// State is the current state of a follower.
type Stands struct {
	Version   resource.Version `json:"version"`              // in force
	Source    string           `json:"source,omitempty"`     // of the last response
	Heard     time.Duration    `json:"heard_unix_ns"`        // Unix time of the last response
	Changed   time.Duration    `json:"changed_unix_ns"`      // Unix time at which the version was applied
	Refused   resource.Version `json:"refused"`              // the version last refused, until a later one is applied; zero: none
	Why       string           `json:"why,omitempty"`        // of the refusal
	LastError string           `json:"last_error,omitempty"` // of the last call; empty: it succeeded
}

// Stats are a follower's state and its counters since the start.
type Figures struct {
	Stands
	Calls     int64          `json:"calls"`     // calls made
	Answers   int64          `json:"answers"`   // complete responses with status 200
	Snapshots int64          `json:"snapshots"` // snapshots applied
	Deltas    int64          `json:"deltas"`    // deltas applied, without snapshots
	Empty     int64          `json:"empty"`     // responses without a change
	Resources int64          `json:"resources"` // resources put or removed by the snapshots and deltas
	BytesIn   int64          `json:"bytes_in"`  // on connections: heads, and bodies as they are compressed
	BytesOut  int64          `json:"bytes_out"` // on connections
	Failures  map[Kind]int64 `json:"failures"`  // by kind, with all kinds
}

// Read returns the state and the counters.
func (s *Status) Read() Figures {
	f := Figures{Calls: s.calls.Load(), Answers: s.answers.Load(), Snapshots: s.snapshots.Load(), Deltas: s.deltas.Load(), Empty: s.empty.Load(),
		Resources: s.resources.Load(), BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(), Failures: map[Kind]int64{}}
	for i, k := range kinds {
		f.Failures[k] = s.failures[i].Load()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Stands = s.state
	return f
}

// update changes the state.
func (s *Status) update(f func(*Stands)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.state)
}

// recordFailure counts a failure and stores its text.
func (s *Status) recordFailure(kind Kind, text string) {
	for i, k := range kinds {
		if k == kind {
			s.failures[i].Add(1)
		}
	}
	s.update(func(st *Stands) { st.LastError = text })
}
