// Package resource implements configuration as versioned resources: sets of them, the deltas that lead from one version
// to a later one, the history that a control process stores, and the follower that decides which source to call, when,
// and which responses to apply. It is pure: no I/O, no clock, no random numbers of its own. The meaning of resources is
// defined in resource/catalog.
package resource

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Kind is the type of a resource.
type Kind string

// The known kinds. A resource of another kind causes the refusal of the whole delta.
const (
	Service  Kind = "service"  // spec: config.Service
	Route    Kind = "route"    // spec: config.Route; named host:port
	Contract Kind = "contract" // spec: config.Contract
	Tenant   Kind = "tenant"   // spec: config.PinnedTenant
)

// Limits. Whatever exceeds one is refused as a whole, with an error that names the limit.
const (
	MaxResources  = 100_000          // resources of a set
	MaxSpec       = 64 << 10         // bytes of one spec
	MaxName       = 300              // bytes of a name
	MaxResponse   = 16 << 20         // bytes of a response's JSON, before compression
	MaxReason     = 1 << 10          // bytes of the reason of a refusal as it is reported
	MaxEpochAhead = 24 * 3600 * 1000 // milliseconds that an epoch may be ahead of the clock
)

// Key identifies a resource.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the kind and the quoted name.
func (k Key) String() string { return string(k.Kind) + " " + strconv.Quote(k.Name) }

// Resource is one resource. Its spec is compact JSON with the fields in the order of its Go type, so that equal
// resources have equal bytes.
type Resource struct {
	Key
	Spec json.RawMessage `json:"spec"`
}

// Version is a version of the whole configuration. The epoch is in milliseconds of Unix time. The zero version is
// before all others.
type Version struct{ Epoch, Number uint64 }

// Compare orders versions by epoch, then by number.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Number, o.Number))
}

// IsZero reports whether v is the version before all others.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the version as epoch.number.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

// MarshalText writes the version as epoch.number.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads a version that MarshalText wrote.
func (v *Version) UnmarshalText(text []byte) (err error) {
	*v, err = ParseVersion(string(text))
	return err
}

// ParseVersion reads a version written as epoch.number.
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

// Checksum is the sum of the hashes of a set's resources, independent of their order. It is written as 16 hex digits.
type Checksum uint64

// MarshalText writes the checksum as 16 hex digits.
func (s Checksum) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(s)), nil }

// UnmarshalText reads a checksum that MarshalText wrote.
func (s *Checksum) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("%q is no sum: want 16 hex digits", text)
	}
	*s = Checksum(n)
	return nil
}

// Delta leads from one version to a later one. A delta from the zero version is a snapshot: resources that it does not
// name are removed.
type Delta struct {
	From     Version    `json:"from"`
	To       Version    `json:"to"`
	Checksum Checksum   `json:"sum"` // of the whole set at To
	Put      []Resource `json:"put,omitempty"`
	Removed  []Key      `json:"gone,omitempty"`
}

// IsSnapshot reports whether the delta is a snapshot.
func (d *Delta) IsSnapshot() bool { return d.From.IsZero() }

// Refusal is the error for a delta that is refused, with the resource and field at fault. A node reports it to the
// control process (NACK).
type Refusal struct {
	Key    Key    // zero: the delta as a whole
	Field  string // as in match[0].from; empty: the resource as a whole
	Reason string
}

// Error returns the resource, the field and the reason.
func (r *Refusal) Error() string {
	s := ""
	if r.Key != (Key{}) {
		s = r.Key.String() + ": "
	}
	if r.Field != "" {
		s += r.Field + ": "
	}
	return s + r.Reason
}
