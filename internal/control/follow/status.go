package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/resource"
)

// Status counts what a follower did, and tells how it stands. The zero one is ready for use; it is safe for concurrent use.
type Status struct {
	calls, answers, bytesIn, bytesOut   atomic.Int64
	snapshots, deltas, empty, resources atomic.Int64
	failures                            [len(kinds)]atomic.Int64

	mu    sync.Mutex
	state Stands
}

// Stands is how a follower stands.
type Stands struct {
	Version   resource.Version `json:"version"`              // in force
	Source    string           `json:"source,omitempty"`     // that answered last
	Heard     time.Duration    `json:"heard_unix_ns"`        // when; Unix time
	Changed   time.Duration    `json:"changed_unix_ns"`      // when the version came
	Refused   resource.Version `json:"refused"`              // that is not taken, until a later one is; zero: none
	Why       string           `json:"why,omitempty"`        // it is not
	LastError string           `json:"last_error,omitempty"` // of the latest call; empty: it was answered
}

// Figures are what was counted since the start.
type Figures struct {
	Stands
	Calls     int64          `json:"calls"`
	Answers   int64          `json:"answers"` // 200, and whole
	Snapshots int64          `json:"snapshots"`
	Deltas    int64          `json:"deltas"`    // in force, but for snapshots
	Empty     int64          `json:"empty"`     // answers that brought nothing
	Resources int64          `json:"resources"` // put or gone by snapshots and deltas in force
	BytesIn   int64          `json:"bytes_in"`  // on connections: heads, bodies as they are compressed
	BytesOut  int64          `json:"bytes_out"`
	Failures  map[Kind]int64 `json:"failures"` // each kind is there
}

// Read tells all of it.
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

// change alters how it stands.
func (s *Status) update(f func(*Stands)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.state)
}

func (s *Status) recordFailure(kind Kind, why string) {
	for i, k := range kinds {
		if k == kind {
			s.failures[i].Add(1)
		}
	}
	s.update(func(st *Stands) { st.LastError = why })
}
