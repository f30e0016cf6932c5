// Package state holds the state of a node that outlives its process: for a successor in a hand-over, and for a start
// after a crash if the installation has a persistent disk. It defines the stored form, the limits under which it is
// read, and how each part of it ages. It does no I/O and reads no clock.
package state

import (
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

// Snapshot is a node's state at one moment. Times are on the node's clock: Unix time that does not step. The version and
// the ids of the server list are valid only in the Fleet that it comes from. In an Exact snapshot, what is missing has
// not happened. The numbers in the tags are the stored format and stay.
type Snapshot struct {
	Taken            time.Duration            `cbor:"1,keyasint"`
	Fleet            string                   `cbor:"2,keyasint"` // source of the server list, its version and its ids
	Exact            bool                     `cbor:"3,keyasint"` // written for a successor
	Drained          bool                     `cbor:"4,keyasint"` // an operator has drained the node of its clients
	ListVersion      int64                    `cbor:"5,keyasint"` // of the server list
	Servers          []Server                 `cbor:"6,keyasint"`
	Disabled         []string                 `cbor:"7,keyasint"`  // ids of servers that an operator has disabled
	Enabled          []TimedID                `cbor:"8,keyasint"`  // servers that an operator enabled again, and when
	OpenRequests     []TimedID                `cbor:"9,keyasint"`  // ids of open requests, and each one's latest end
	PeerOpenRequests []TimedID                `cbor:"10,keyasint"` // the same for other processes of the node
	Keys             []KeyRecord              `cbor:"11,keyasint"` // idempotency keys, and where they may have run
	Classes          []Class                  `cbor:"12,keyasint"`
	Totals           policy.TotalStats        `cbor:"13,keyasint"`
	Contracts        []contract.ContractState `cbor:"14,keyasint"`
}

// Server is an entry of the server list with the statistics of that server. The numbers in the tags are the stored
// format.
type Server struct {
	ID         string       `cbor:"1,keyasint"`
	Addr       string       `cbor:"2,keyasint"`
	Zone       string       `cbor:"3,keyasint,omitempty"`
	ServerType string       `cbor:"4,keyasint,omitempty"`
	Cell       int64        `cbor:"5,keyasint,omitempty"`
	State      string       `cbor:"6,keyasint"`
	StartedMS  int64        `cbor:"7,keyasint,omitempty"` // Unix milliseconds, as discovery reports it
	Stats      *ServerStats `cbor:"8,keyasint,omitempty"`
}

// ServerStats is policy.ServerStats with tags that keep the stored form short: zero values are left out. The two types
// must have the same fields, as they are converted into each other. The numbers and names in the tags are the stored
// format.
type ServerStats struct {
	Mode                 policy.Mode `cbor:"1,keyasint,omitempty"`
	Trial                bool        `cbor:"2,keyasint,omitempty"`
	EjectedUntil         float64     `cbor:"3,keyasint,omitempty"`
	RemoteLoad           float64     `cbor:"Others,omitempty"`
	ReportAt             float64     `cbor:"ReportAt,omitempty"`
	RejectedOccupancy    float64     `cbor:"Full,omitempty"`
	RejectedAt           float64     `cbor:"FullAt,omitempty"`
	MinRejectedOccupancy float64     `cbor:"Room,omitempty"`
	MaxInWork            float64     `cbor:"Slots,omitempty"`
	Latency              float64     `cbor:"Latency,omitempty"`
	Occupancy            float64     `cbor:"Occupancy,omitempty"`
	LastSuccessAt        float64     `cbor:"LastOK,omitempty"`
	ReportedServiceTime  float64     `cbor:"Work,omitempty"`
	MinTypeServiceTime   float64     `cbor:"Base,omitempty"`
	FailureShare         float64     `cbor:"Bad,omitempty"`
	Ejections            int         `cbor:"Ejections,omitempty"`
	SuccessCount         float64     `cbor:"Served,omitempty"`
}

// StatsOf returns a copy of a server's statistics in the stored form.
func StatsOf(stats policy.ServerStats) *ServerStats {
	stored := ServerStats(stats)
	return &stored
}

// LearnedState returns the learned state for the policy to adopt. The function same returns the number that the
// reader's policy has for a server and the server's start time, or false for a server that is not in the reader's list
// or has restarted since.
func (s *Snapshot) LearnedState(same func(*Server) (number uint32, launched time.Duration, ok bool)) *policy.LearnedState {
	learned := &policy.LearnedState{TotalStats: s.Totals, Classes: map[string]policy.ClassStats{}}
	for _, c := range s.Classes {
		learned.Classes[c.Name] = c.Stats
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		if server.Stats == nil {
			continue
		}
		if number, launched, ok := same(server); ok {
			learned.Servers = append(learned.Servers, policy.LearnedServer{ID: number, Launched: launched.Seconds(), ServerStats: policy.ServerStats(*server.Stats)})
		}
	}
	return learned
}

// Class holds the statistics of a class of requests.
type Class struct {
	Name  string            `cbor:"1,keyasint"`
	Stats policy.ClassStats `cbor:"2,keyasint"`
}

// TimedID is an id and a time.
type TimedID struct {
	ID string        `cbor:"1,keyasint"`
	At time.Duration `cbor:"2,keyasint"`
}

// KeyRecord says in which pod a request with an idempotency key may have run, and until when repeats of it are dropped
// there. It has the same fields as cell.KeyRecord, which it is converted to and from.
type KeyRecord struct {
	Key   uint64        `cbor:"1,keyasint"`
	Pod   int64         `cbor:"2,keyasint"`
	Until time.Duration `cbor:"3,keyasint"`
}
