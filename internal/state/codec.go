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

// Version is that of the format. Another one is refused whole: a process that starts without a state learns anew.
const Version = 1

// A snapshot is written as magic, version (2 bytes), length of the rest (4 bytes), its xxhash64 (8 bytes), and the rest in CBOR;
// figures are little-endian.
const (
	magic   = "PSTALL"
	header  = len(magic) + 2 + 4 + 8
	MostLen = 64 << 20 // bytes of a snapshot; more is neither written nor read
	mostIDs = 512      // bytes of an id
	mostAll = 1 << 20  // entries of a list
)

var (
	ErrForm    = errors.New("it is no snapshot")
	ErrVersion = errors.New("it is of another version")
	ErrCut     = errors.New("it is not whole")
	ErrSum     = errors.New("it is damaged")
)

var (
	encoding = func() cbor.EncMode {
		m, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
		if err != nil {
			panic(err) // options of ours
		}
		return m
	}()
	decoding = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: mostAll, MaxMapPairs: 1 << 10, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

// Encode writes a snapshot. The error is that it is larger than MostLen.
func Encode(s *Snapshot) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, header))
	if err := encoding.NewEncoder(&b).Encode(s); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	text := b.Bytes()
	if len(text) > MostLen {
		return nil, fmt.Errorf("state: %d bytes are more than %d", len(text), MostLen)
	}
	copy(text, magic)
	binary.LittleEndian.PutUint16(text[len(magic):], Version)
	seal(text)
	return text, nil
}

// seal writes the length and the sum of what is behind the header.
func seal(text []byte) {
	binary.LittleEndian.PutUint32(text[len(magic)+2:], uint32(len(text)-header))
	binary.LittleEndian.PutUint64(text[len(magic)+6:], xxhash.Sum64(text[header:]))
}

// Decode reads a snapshot, and checks all that does not depend on when and by whom it is read. An error is ErrForm, ErrVersion,
// ErrCut or ErrSum, or tells which value makes no sense; nothing of it is to be used then.
func Decode(text []byte) (*Snapshot, error) {
	switch {
	case len(text) < header && bytes.HasPrefix(append([]byte(magic), make([]byte, header)...), text[:min(len(text), len(magic))]):
		return nil, ErrCut
	case len(text) < header || string(text[:len(magic)]) != magic:
		return nil, ErrForm
	}
	if v := binary.LittleEndian.Uint16(text[len(magic):]); v != Version {
		return nil, fmt.Errorf("%w: %d, not %d", ErrVersion, v, Version)
	}
	n, rest := int(binary.LittleEndian.Uint32(text[len(magic)+2:])), text[header:]
	switch {
	case n > MostLen || len(rest) > n:
		return nil, ErrForm
	case len(rest) < n:
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrCut, len(rest), n)
	case xxhash.Sum64(rest) != binary.LittleEndian.Uint64(text[len(magic)+6:]):
		return nil, ErrSum
	}
	s := &Snapshot{}
	if err := decoding.Unmarshal(rest, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check refuses figures that no node writes. Of servers' evidence only what makes no sense is forgotten.
func (s *Snapshot) check() error {
	bad := func(what string, args ...any) error { return fmt.Errorf("%w: %s", ErrForm, fmt.Sprintf(what, args...)) }
	if s.Taken < 0 || s.Version < 0 {
		return bad("taken at %d, list %d", s.Taken, s.Version)
	}
	seen := map[string]bool{}
	for i := range s.Servers {
		v := &s.Servers[i]
		if v.ID == "" || len(v.ID) > mostIDs || seen[v.ID] || v.Addr == "" {
			return bad("servers[%d]: id %q, address %q", i, v.ID, v.Addr)
		}
		seen[v.ID] = true
		if v.Known != nil && !v.Known.sound() {
			v.Known = nil
		}
	}
	for _, list := range [][]At{s.Returned, s.Open, s.Hearsay} {
		for i, a := range list {
			if a.ID == "" || len(a.ID) > mostIDs || a.At < 0 {
				return bad("id %q at %d (entry %d)", a.ID, a.At, i)
			}
		}
	}
	if i := slices.IndexFunc(s.Out, func(id string) bool { return id == "" || len(id) > mostIDs }); i >= 0 {
		return bad("out[%d]: %q", i, s.Out[i])
	}
	t := &s.Totals
	if !finite(t.Total, t.Lessers, t.Picks, t.Span, t.Seen, t.Mean, t.Strain, t.Retries) {
		return bad("totals: %+v", *t)
	}
	for _, c := range s.Classes {
		if !finite(c.Sums.Requests, c.Sums.Latency, c.Sums.Answers, c.Sums.Least) {
			return bad("class %q: %+v", c.Name, c.Sums)
		}
	}
	for _, c := range s.Contracts {
		if !numbers(c.Tokens, c.Work, c.Bytes, c.Kept) || !finite(c.Firsts, c.Furthers, c.Cost, c.Demand) {
			return bad("contract %q: %+v", c.Name, c)
		}
	}
	return nil
}

// sound tells whether evidence can be a node's.
func (e *Evidence) sound() bool {
	return finite(e.Ejected, e.ReportAt, e.Full, e.FullAt, e.Slots, e.Latency, e.Occupancy, e.LastOK, e.Work, e.Bad, e.Served) &&
		numbers(e.Others) && e.Room > 0 && e.Base > 0 && e.Mode <= 2 && e.Ejections >= 0 && e.Ejections < 1<<20
}

// numbers tells whether all are numbers, and finite.
func numbers(all ...float64) bool {
	for _, v := range all {
		if !(math.Abs(v) <= math.MaxFloat64) {
			return false
		}
	}
	return true
}

// finite tells whether all are, and none is below 0.
func finite(all ...float64) bool { return numbers(all...) && slices.Min(all) >= 0 }
