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
	state State
}

// State is the current state of a follower.
type State struct {
	Version      resource.Version `json:"version"`              // in force
	Source       string           `json:"source,omitempty"`     // of the last response
	LastResponse time.Duration    `json:"heard_unix_ns"`        // Unix time of the last response
	LastChange   time.Duration    `json:"changed_unix_ns"`      // Unix time at which the version was applied
	Refused      resource.Version `json:"refused"`              // the version last refused, until a later one is applied; zero: none
	Reason       string           `json:"why,omitempty"`        // of the refusal
	LastError    string           `json:"last_error,omitempty"` // of the last call; empty: it succeeded
}

// Stats are a follower's state and its counters since the start.
type Stats struct {
	State
	Calls          int64                 `json:"calls"`     // calls made
	Responses      int64                 `json:"answers"`   // complete responses with status 200
	Snapshots      int64                 `json:"snapshots"` // snapshots applied
	Deltas         int64                 `json:"deltas"`    // deltas applied, without snapshots
	EmptyResponses int64                 `json:"empty"`     // responses without a change
	Resources      int64                 `json:"resources"` // resources put or removed by the snapshots and deltas
	BytesIn        int64                 `json:"bytes_in"`  // on connections: heads, and bodies as they are compressed
	BytesOut       int64                 `json:"bytes_out"` // on connections
	Failures       map[FailureKind]int64 `json:"failures"`  // by kind, with all kinds
}

// Read returns the state and the counters.
func (s *Status) Read() Stats {
	f := Stats{Calls: s.calls.Load(), Responses: s.answers.Load(), Snapshots: s.snapshots.Load(), Deltas: s.deltas.Load(), EmptyResponses: s.empty.Load(),
		Resources: s.resources.Load(), BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(), Failures: map[FailureKind]int64{}}
	for i, k := range kinds {
		f.Failures[k] = s.failures[i].Load()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.State = s.state
	return f
}

// update changes the state.
func (s *Status) update(f func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.state)
}

// recordFailure counts a failure and stores its text.
func (s *Status) recordFailure(kind FailureKind, text string) {
	for i, k := range kinds {
		if k == kind {
			s.failures[i].Add(1)
		}
	}
	s.update(func(st *State) { st.LastError = text })
}
