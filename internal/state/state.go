// Package state is what a node knows that outlives its process: for a successor that takes over, and for a start after a crash
// where the installation has a disk that lasts. It says how it is written, how it is read under bounds, and how each part of it
// ages. It has no I/O and no clock.
package state

import (
	"time"

	"portstall/internal/contract"
	"portstall/policy"
)

// Snapshot is a node's state at one moment. Times are on the node's clock: Unix time that does not step.
type Snapshot struct {
	Taken     time.Duration   `cbor:"1,keyasint"`
	Fleet     string          `cbor:"2,keyasint"` // where the list is from: versions and ids mean nothing elsewhere
	Exact     bool            `cbor:"3,keyasint"` // for a successor: what it does not tell has not happened
	Drained   bool            `cbor:"4,keyasint"` // operators sent the clients away
	Version   int64           `cbor:"5,keyasint"` // of the list
	Servers   []Server        `cbor:"6,keyasint"`
	Out       []string        `cbor:"7,keyasint"`  // by hand
	Returned  []At            `cbor:"8,keyasint"`  // put back by hand, and when
	Open      []At            `cbor:"9,keyasint"`  // requests, and until when at most
	Hearsay   []At            `cbor:"10,keyasint"` // the same of other processes of the node
	Keys      []Key           `cbor:"11,keyasint"` // where keys may have run
	Classes   []Class         `cbor:"12,keyasint"`
	Totals    policy.Totals   `cbor:"13,keyasint"`
	Contracts []contract.Left `cbor:"14,keyasint"`
}

// Server is one of the list, and what is known of it.
type Server struct {
	ID      string    `cbor:"1,keyasint"`
	Addr    string    `cbor:"2,keyasint"`
	Zone    string    `cbor:"3,keyasint,omitempty"`
	Kind    string    `cbor:"4,keyasint,omitempty"`
	Cell    int64     `cbor:"5,keyasint,omitempty"`
	State   string    `cbor:"6,keyasint"`
	Started int64     `cbor:"7,keyasint,omitempty"` // Unix milliseconds, as discovery tells it
	Known   *Evidence `cbor:"8,keyasint,omitempty"`
}

// Evidence is policy.Evidence, written shortly.
type Evidence struct {
	Mode               policy.Mode `cbor:"1,keyasint,omitempty"`
	Trial              bool        `cbor:"2,keyasint,omitempty"`
	Ejected            float64     `cbor:"3,keyasint,omitempty"`
	Others, ReportAt   float64     `cbor:",omitempty"`
	Full, FullAt       float64     `cbor:",omitempty"`
	Room, Slots        float64     `cbor:",omitempty"`
	Latency, Occupancy float64     `cbor:",omitempty"`
	LastOK             float64     `cbor:",omitempty"`
	Work, Base         float64     `cbor:",omitempty"`
	Bad                float64     `cbor:",omitempty"`
	Ejections          int         `cbor:",omitempty"`
	Served             float64     `cbor:",omitempty"`
}

// Of is what is known of a server, to be written.
func Of(e policy.Evidence) *Evidence {
	v := Evidence(e)
	return &v
}

// Learnt is what the policy is to adopt. Same names a server as the reader lists it, by the policy's number and with its start; false
// for one that it does not list, or that has started anew since.
func (s *Snapshot) Learnt(same func(*Server) (number uint32, launched time.Duration, ok bool)) *policy.Learnt {
	l := &policy.Learnt{Totals: s.Totals, Classes: map[string]policy.ClassSums{}}
	for _, c := range s.Classes {
		l.Classes[c.Name] = c.Sums
	}
	for i := range s.Servers {
		v := &s.Servers[i]
		if v.Known == nil {
			continue
		}
		if number, launched, ok := same(v); ok {
			l.Servers = append(l.Servers, policy.Known{ID: number, Launched: launched.Seconds(), Evidence: policy.Evidence(*v.Known)})
		}
	}
	return l
}

// Class is what is known of a class.
type Class struct {
	Name string           `cbor:"1,keyasint"`
	Sums policy.ClassSums `cbor:"2,keyasint"`
}

// At is an id and a time.
type At struct {
	ID string        `cbor:"1,keyasint"`
	At time.Duration `cbor:"2,keyasint"`
}

// Key is where a key may have run, and until when repeats of it are dropped there.
type Key struct {
	Key   uint64        `cbor:"1,keyasint"`
	Pod   int64         `cbor:"2,keyasint"`
	Until time.Duration `cbor:"3,keyasint"`
}
