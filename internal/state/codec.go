package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// FormatVersion is the version of the stored format. A snapshot of another version is rejected completely: a process
// that starts without stored state learns it again.
const FormatVersion = 1

// A snapshot is written as a header and the body in CBOR. The header has the magic, the version (2 bytes), the length
// of the body (4 bytes) and its xxhash64 (8 bytes); numbers are little-endian.
const (
	magic      = "PSTALL"
	headerLen  = len(magic) + 2 + 4 + 8
	MaxLen     = 64 << 20 // maximum length of a snapshot in bytes; a longer one is neither written nor read
	maxIDLen   = 512      // maximum length of an id in bytes
	maxListLen = 1 << 20  // maximum number of entries of a list
)

// Decode returns errors that wrap one of these.
var (
	ErrMalformed = errors.New("not a valid snapshot")
	ErrVersion   = errors.New("unsupported snapshot version")
	ErrTruncated = errors.New("snapshot truncated")
	ErrChecksum  = errors.New("snapshot checksum mismatch")
)

var (
	encMode = func() cbor.EncMode {
		m, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
		if err != nil {
			panic(err) // the options are constant
		}
		return m
	}()
	decMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: maxListLen, MaxMapPairs: 1 << 10, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

// Encode returns the stored form of a snapshot, or an error if it is longer than MaxLen.
func Encode(s *Snapshot) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, headerLen))
	if err := encMode.NewEncoder(&b).Encode(s); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	text := b.Bytes()
	if len(text) > MaxLen {
		return nil, fmt.Errorf("state: snapshot of %d bytes exceeds the limit of %d", len(text), MaxLen)
	}
	copy(text, magic)
	binary.LittleEndian.PutUint16(text[len(magic):], FormatVersion)
	writeLengthAndSum(text)
	return text, nil
}

// writeLengthAndSum writes the length and the checksum of the body into the header.
func writeLengthAndSum(text []byte) {
	binary.LittleEndian.PutUint32(text[len(magic)+2:], uint32(len(text)-headerLen))
	binary.LittleEndian.PutUint64(text[len(magic)+6:], xxhash.Sum64(text[headerLen:]))
}

// Decode returns a snapshot from its stored form. It checks all that does not depend on the time of reading and the
// reader. An error wraps ErrMalformed, naming the invalid value if there is one, ErrVersion, ErrTruncated or
// ErrChecksum; no part of the snapshot may be used then.
func Decode(text []byte) (*Snapshot, error) {
	switch {
	case len(text) < headerLen && bytes.HasPrefix(append([]byte(magic), make([]byte, headerLen)...), text[:min(len(text), len(magic))]):
		return nil, ErrTruncated
	case len(text) < headerLen || string(text[:len(magic)]) != magic:
		return nil, ErrMalformed
	}
	if v := binary.LittleEndian.Uint16(text[len(magic):]); v != FormatVersion {
		return nil, fmt.Errorf("%w: found %d, expected %d", ErrVersion, v, FormatVersion)
	}
	n, body := int(binary.LittleEndian.Uint32(text[len(magic)+2:])), text[headerLen:]
	switch {
	case n > MaxLen || len(body) > n:
		return nil, ErrMalformed
	case len(body) < n:
		return nil, fmt.Errorf("%w: got %d of %d bytes", ErrTruncated, len(body), n)
	case xxhash.Sum64(body) != binary.LittleEndian.Uint64(text[len(magic)+6:]):
		return nil, ErrChecksum
	}
	s := &Snapshot{}
	if err := decMode.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check returns an error for values that no node writes. Invalid statistics of a server are removed without an error.
func (s *Snapshot) check() error {
	malformed := func(what string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(what, args...))
	}
	if s.Taken < 0 || s.ListVersion < 0 {
		return malformed("negative time or version: taken at %d, server list version %d", s.Taken, s.ListVersion)
	}
	seen := map[string]bool{}
	for i := range s.Servers {
		server := &s.Servers[i]
		if server.ID == "" || len(server.ID) > maxIDLen || seen[server.ID] || server.Addr == "" {
			return malformed("servers[%d]: empty, duplicate or too long id %q, or empty address %q", i, server.ID, server.Addr)
		}
		seen[server.ID] = true
		if server.Stats != nil && !server.Stats.valid() {
			server.Stats = nil
		}
	}
	for _, list := range [][]TimedID{s.Enabled, s.OpenRequests, s.PeerOpenRequests} {
		for i, a := range list {
			if a.ID == "" || len(a.ID) > maxIDLen || a.At < 0 {
				return malformed("invalid id %q or time %d (entry %d)", a.ID, a.At, i)
			}
		}
	}
	if i := slices.IndexFunc(s.Disabled, func(id string) bool { return id == "" || len(id) > maxIDLen }); i >= 0 {
		return malformed("disabled servers: invalid id at [%d]: %q", i, s.Disabled[i])
	}
	totals := &s.Totals
	if !allFiniteNonNegative(totals.RequestCount, totals.LowPriorityCount, totals.InitialSelections, totals.SelectionSpan,
		totals.LoadReports, totals.MeanRemoteLoad, totals.NoNormalShare, totals.Retries) {
		return malformed("totals: negative or not finite: %+v", *totals)
	}
	for _, c := range s.Classes {
		if !allFiniteNonNegative(c.Stats.Requests, c.Stats.Latency, c.Stats.Responses, c.Stats.MinTimeLeft) {
			return malformed("class %q: negative or not finite: %+v", c.Name, c.Stats)
		}
	}
	for _, c := range s.Contracts {
		if !allFinite(c.RateTokens, c.WorkLeft, c.BytesLeft, c.GuaranteeLeft) || !allFiniteNonNegative(c.FirstAttempts, c.Retries, c.MeanCost, c.Demand) {
			return malformed("contract %q: not finite, or negative where that is not allowed: %+v", c.Name, c)
		}
	}
	return nil
}

// valid reports whether a node could have written these statistics.
func (s *ServerStats) valid() bool {
	return allFiniteNonNegative(s.EjectedUntil, s.ReportAt, s.RejectedOccupancy, s.RejectedAt, s.MaxInWork, s.Latency, s.Occupancy,
		s.LastSuccessAt, s.ReportedServiceTime, s.FailureShare, s.SuccessCount) &&
		allFinite(s.RemoteLoad) && s.MinRejectedOccupancy > 0 && s.MinTypeServiceTime > 0 &&
		s.Mode <= 2 && s.Ejections >= 0 && s.Ejections < 1<<20
}

// allFinite reports whether all values are finite numbers.
func allFinite(values ...float64) bool {
	for _, v := range values {
		if !(math.Abs(v) <= math.MaxFloat64) {
			return false
		}
	}
	return true
}

// allFiniteNonNegative reports whether all values are finite numbers and at least 0.
func allFiniteNonNegative(values ...float64) bool {
	return allFinite(values...) && slices.Min(values) >= 0
}
