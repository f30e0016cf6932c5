// Package resource is configuration as resources with versions: sets of them, the deltas that lead from one version to a later
// one, the history that a control process keeps, and the follower that decides whom to ask for what and which answers to take. It
// is pure: no I/O, no clock, no dice. What a resource means is the business of resource/catalog.
package resource

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Kind is what a resource is.
type Kind string

// The kinds that are known. A resource of another one is refused with the delta that has it.
const (
	Service  Kind = "service"  // spec: config.Service
	Route    Kind = "route"    // spec: config.Route; named host:port
	Contract Kind = "contract" // spec: config.Contract
	Tenant   Kind = "tenant"   // spec: config.Pinned
)

// Bounds. What passes one is refused whole, by an error that names it.
const (
	MaxResources  = 100_000  // of a set
	MaxSpec       = 64 << 10 // bytes of one spec
	MaxName       = 300      // bytes of a name
	MaxAnswer     = 16 << 20 // bytes of an answer's JSON, before it is compressed
	MaxWhy        = 1 << 10  // bytes of what is told of a refusal
	MaxEpochAhead = 24 * 3600 * 1000
)

// Key names a resource.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (k Key) String() string { return string(k.Kind) + " " + strconv.Quote(k.Name) }

// Resource is one resource. Its spec is compact JSON whose fields are in the order of its Go type, so that two that say the same are
// the same bytes.
type Resource struct {
	Key
	Spec json.RawMessage `json:"spec"`
}

// Version is one version of the whole configuration. The zero one is before all others.
type Version struct{ Epoch, Number uint64 }

// Compare orders versions: by the epoch, then by the number.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Number, o.Number))
}

// IsZero tells whether it is the version before all others.
func (v Version) IsZero() bool { return v == Version{} }

func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

// MarshalText and UnmarshalText write and read it as epoch.number.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

func (v *Version) UnmarshalText(text []byte) (err error) {
	*v, err = ParseVersion(string(text))
	return err
}

// ParseVersion reads epoch.number.
func ParseVersion(s string) (v Version, err error) {
	epoch, number, ok := strings.Cut(s, ".")
	if ok {
		if v.Epoch, err = strconv.ParseUint(epoch, 10, 64); err == nil {
			v.Number, err = strconv.ParseUint(number, 10, 64)
		}
	}
	if !ok || err != nil {
		return Version{}, fmt.Errorf("%q is no version: want epoch.number", s)
	}
	return v, nil
}

// Sum is the order-free sum of a set's resources. It is written as 16 hex digits.
type Sum uint64

func (s Sum) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(s)), nil }

func (s *Sum) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("%q is no sum: want 16 hex digits", text)
	}
	*s = Sum(n)
	return nil
}

// Delta leads from one version to a later one. From the zero version it is a snapshot: what it does not name is gone.
type Delta struct {
	From Version    `json:"from"`
	To   Version    `json:"to"`
	Sum  Sum        `json:"sum"` // of the whole set at To
	Put  []Resource `json:"put,omitempty"`
	Gone []Key      `json:"gone,omitempty"`
}

// Whole tells whether it is a snapshot.
func (d *Delta) Whole() bool { return d.From.IsZero() }

// Refusal is why a delta is not taken: the resource and field at fault. A node tells it to control (NACK).
type Refusal struct {
	Key   Key    // zero: the delta as a whole
	Field string // as in match[0].from; empty: the resource as a whole
	Why   string
}

func (r *Refusal) Error() string {
	s := ""
	if r.Key != (Key{}) {
		s = r.Key.String() + ": "
	}
	if r.Field != "" {
		s += r.Field + ": "
	}
	return s + r.Why
}
