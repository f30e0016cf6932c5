package resource

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Errors of a delta that is not refused but cannot be applied. They are returned wrapped: use errors.Is.
var (
	// ErrStale is the error for a delta that is not later than the held version.
	ErrStale = errors.New("not later than the held version")
	// ErrBase is the error for a delta that leads on from another version.
	ErrBase = errors.New("made for another version")
	// ErrChecksum is the error for a delta whose checksum is not that of the resulting content.
	ErrChecksum = errors.New("the sum does not fit: computed over different content")
)

// kinds are the known kinds. A set has one map for each.
var kinds = [...]Kind{Contract, Route, Service, Tenant}

// kindIndex returns the index of a kind in kinds, or -1.
func kindIndex(k Kind) int { return slices.Index(kinds[:], k) }

// envelopeSize bounds the JSON of a delta without its resources, in bytes.
const envelopeSize = 192

// Set is a set of resources at a version. A control process stores them with their specs, a node only with their 64-bit
// hashes, as its catalog has the decoded specs. It is not safe for concurrent use.
type Set struct {
	version  Version
	checksum Checksum
	count    int
	size     int // upper bound of the snapshot's JSON in bytes; only with specs
	hashes   [len(kinds)]map[string]uint64
	specs    *[len(kinds)]map[string]json.RawMessage // nil: hashes only
}

// NewSet returns an empty set at the zero version. Only a set with specs can make a Snapshot.
func NewSet(specs bool) *Set {
	s := &Set{}
	if specs {
		s.specs = new([len(kinds)]map[string]json.RawMessage)
	}
	s.clear()
	return s
}

// clear removes all resources and leaves the version.
func (s *Set) clear() {
	s.checksum, s.count, s.size = 0, 0, envelopeSize
	for i := range kinds {
		s.hashes[i] = map[string]uint64{}
		if s.specs != nil {
			s.specs[i] = map[string]json.RawMessage{}
		}
	}
}

// Version returns the version that is held; zero before the first one.
func (s *Set) Version() Version { return s.version }

// Checksum returns the checksum of all held resources.
func (s *Set) Checksum() Checksum { return s.checksum }

// Len returns the number of resources.
func (s *Set) Len() int { return s.count }

// Has reports whether the set holds a resource of this key.
func (s *Set) Has(k Key) bool { _, ok := s.hash(k); return ok }

// hash returns the hash of a held resource.
func (s *Set) hash(k Key) (uint64, bool) {
	i := kindIndex(k.Kind)
	if i < 0 {
		return 0, false
	}
	h, ok := s.hashes[i][k.Name]
	return h, ok
}

// hashOf returns the hash of a resource that is added into the checksum: xxhash64 of kind, name and spec, separated by
// zero bytes.
func hashOf(r *Resource) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.Kind))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Spec)
	return d.Sum64()
}

// size bounds the JSON of a key or resource in a response. Escapes at most double the length of a valid name.
func (k Key) size() int       { return len(`{"kind":"","name":""},`) + len(k.Kind) + 2*len(k.Name) }
func (r *Resource) size() int { return r.Key.size() + len(`,"spec":`) + len(r.Spec) }

// size bounds the delta's JSON, in bytes.
func (d *Delta) size() int {
	n := envelopeSize
	for i := range d.Put {
		n += d.Put[i].size()
	}
	for _, k := range d.Removed {
		n += k.size()
	}
	return n
}

// checkKey checks a key by itself.
func checkKey(k Key) *Refusal {
	reason := ""
	switch {
	case kindIndex(k.Kind) < 0:
		k.Kind, k.Name = Kind(truncate(string(k.Kind), 40)), truncate(k.Name, 40)
		return &Refusal{Key: k, Field: "kind", Reason: "not known: want contract, route, service or tenant"}
	case k.Name == "":
		reason = "empty"
	case len(k.Name) > MaxName:
		reason = fmt.Sprintf("%d bytes: at most %d", len(k.Name), MaxName)
		k.Name = truncate(k.Name, 40)
	case !utf8.ValidString(k.Name):
		reason = "not UTF-8"
	case strings.ContainsFunc(k.Name, unicode.IsControl):
		reason = "has a control character"
	default:
		return nil
	}
	return &Refusal{Key: k, Field: "name", Reason: reason}
}

// checkSpec checks that a spec is valid, compact JSON. Its meaning is checked by the catalog. The buffer is scratch
// space.
func checkSpec(r *Resource, buf *bytes.Buffer) *Refusal {
	reason := ""
	buf.Reset()
	switch {
	case len(r.Spec) > MaxSpec:
		reason = fmt.Sprintf("%d bytes: at most %d", len(r.Spec), MaxSpec)
	case len(r.Spec) == 0 || r.Spec[0] != '{':
		reason = "not a JSON object"
	case json.Compact(buf, r.Spec) != nil:
		reason = "not valid JSON"
	case !bytes.Equal(buf.Bytes(), r.Spec):
		reason = "not compact JSON"
	case !utf8.Valid(r.Spec):
		reason = "not UTF-8"
	default:
		return nil
	}
	return &Refusal{Key: r.Key, Field: "spec", Reason: reason}
}

// truncate shortens s to at most n bytes, between characters.
func truncate(s string, n int) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= n {
		return s
	}
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}

// Check verifies a complete delta against the held content and changes nothing. Its cost depends on the size of the
// delta, not on that of the set. It returns a *Refusal for an invalid delta, ErrStale for one that is not later than
// the held version, ErrBase for one that leads on from another version, and ErrChecksum if the resulting content has
// another checksum than the delta. A resource to be removed need not be held: the checksum shows whether the result is
// right.
func (s *Set) Check(d *Delta) error {
	_, err := s.check(d)
	return err
}

// check does the work of Check and returns the hashes of the resources that are put.
func (s *Set) check(d *Delta) ([]uint64, error) {
	snapshot := d.IsSnapshot()
	switch {
	case d.To.Compare(d.From) <= 0:
		return nil, &Refusal{Field: "to", Reason: fmt.Sprintf("%v is not later than from, %v", d.To, d.From)}
	case snapshot && len(d.Removed) > 0:
		return nil, &Refusal{Field: "gone", Reason: "a snapshot cannot name removed resources"}
	case d.To.Compare(s.version) <= 0:
		return nil, fmt.Errorf("%v: %w, %v", d.To, ErrStale, s.version)
	case !snapshot && d.From != s.version:
		return nil, fmt.Errorf("delta from %v to %v: %w than %v", d.From, d.To, ErrBase, s.version)
	}
	if n := len(d.Put); n > MaxResources {
		return nil, &Refusal{Reason: fmt.Sprintf("%d resources: at most %d", n, MaxResources)}
	}
	if n := d.size(); n > MaxResponse {
		return nil, &Refusal{Reason: fmt.Sprintf("%d bytes: at most %d", n, MaxResponse)}
	}
	count, sum, newSize := s.count, uint64(s.checksum), s.size
	if snapshot {
		count, sum, newSize = 0, 0, envelopeSize
	}
	hashes := make([]uint64, len(d.Put))
	seen := make(map[Key]struct{}, len(d.Put)+len(d.Removed))
	var buf bytes.Buffer
	for i := range d.Put {
		r := &d.Put[i]
		if refusal := cmp.Or(checkKey(r.Key), checkSpec(r, &buf)); refusal != nil {
			return nil, refusal
		}
		seen[r.Key] = struct{}{}
		if len(seen) != i+1 {
			return nil, &Refusal{Key: r.Key, Reason: "put twice"}
		}
		hashes[i] = hashOf(r)
		sum += hashes[i]
		if old, ok := s.hash(r.Key); ok && !snapshot {
			sum -= old
			newSize -= s.storedSize(r.Key)
		} else {
			count++
		}
		newSize += r.size()
	}
	for i, k := range d.Removed {
		if refusal := checkKey(k); refusal != nil {
			return nil, refusal
		}
		seen[k] = struct{}{}
		if len(seen) != len(d.Put)+i+1 {
			return nil, &Refusal{Key: k, Reason: "gone twice, or put and gone at once"}
		}
		if old, ok := s.hash(k); ok { // a resource that was added and removed between From and To need not be there
			sum -= old
			count--
			newSize -= s.storedSize(k)
		}
	}
	switch {
	case count > MaxResources:
		return nil, &Refusal{Reason: fmt.Sprintf("%d resources: at most %d", count, MaxResources)}
	case s.specs != nil && newSize > MaxResponse:
		return nil, &Refusal{Reason: fmt.Sprintf("%d bytes of all resources: at most %d", newSize, MaxResponse)}
	case Checksum(sum) != d.Checksum:
		return nil, fmt.Errorf("%v: checksum %016x, announced %016x: %w", d.To, sum, uint64(d.Checksum), ErrChecksum)
	}
	return hashes, nil
}

// storedSize returns the size of a held resource; 0 without specs.
func (s *Set) storedSize(k Key) int {
	if s.specs == nil {
		return 0
	}
	r := Resource{Key: k, Spec: s.specs[kindIndex(k.Kind)][k.Name]}
	return r.size()
}

// Apply checks a delta and applies all of it, or nothing if Check returns an error. It stores the delta's names and
// specs without copying them.
func (s *Set) Apply(d *Delta) error {
	hashes, err := s.check(d)
	if err != nil {
		return err
	}
	if d.IsSnapshot() {
		s.clear()
	}
	for _, k := range d.Removed {
		s.remove(k)
	}
	for i := range d.Put {
		r := &d.Put[i]
		s.remove(r.Key)
		kind := kindIndex(r.Kind)
		s.hashes[kind][r.Name] = hashes[i]
		s.checksum += Checksum(hashes[i])
		s.count++
		if s.specs != nil {
			s.specs[kind][r.Name] = r.Spec
			s.size += r.size()
		}
	}
	s.version = d.To
	return nil
}

// remove removes a resource if it is held.
func (s *Set) remove(k Key) {
	h, ok := s.hash(k)
	if !ok {
		return
	}
	kind := kindIndex(k.Kind)
	s.checksum -= Checksum(h)
	s.count--
	delete(s.hashes[kind], k.Name)
	if s.specs != nil {
		s.size -= s.storedSize(k)
		delete(s.specs[kind], k.Name)
	}
}

// Compare returns the changes that lead from the held content to exactly the given resources: those that are new or
// differ, and the keys to be removed, each sorted by kind and name. Of a key that is given twice the last one counts.
func (s *Set) Compare(all []Resource) (put []Resource, removed []Key) {
	seen := make(map[Key]int, len(all))
	for i := range all {
		seen[all[i].Key] = i
	}
	for i := range all {
		if r := &all[i]; seen[r.Key] == i {
			if h, ok := s.hash(r.Key); !ok || h != hashOf(r) {
				put = append(put, *r)
			}
		}
	}
	for i, kind := range kinds {
		for name := range s.hashes[i] {
			if _, ok := seen[Key{kind, name}]; !ok {
				removed = append(removed, Key{kind, name})
			}
		}
	}
	sortDelta(put, removed)
	return put, removed
}

// Difference reduces a delta that Check accepted to what differs from the held content: a resource that is put is new
// or has another spec, a resource that is removed is held. Its cost depends on the size of the delta or snapshot.
func (s *Set) Difference(d *Delta) *Delta {
	if !d.IsSnapshot() {
		exact := s.NewDelta(d.To, d.Put, d.Removed)
		exact.Checksum = d.Checksum
		return exact
	}
	put, removed := s.Compare(d.Put)
	return &Delta{From: s.version, To: d.To, Checksum: d.Checksum, Put: put, Removed: removed}
}

// Snapshot returns all held resources, sorted by kind and name. It panics for a set without specs.
func (s *Set) Snapshot() *Delta {
	if s.specs == nil {
		panic("resource: snapshot of a set without specs")
	}
	d := &Delta{To: s.version, Checksum: s.checksum, Put: make([]Resource, 0, s.count)}
	for i, kind := range kinds {
		for name, spec := range s.specs[i] {
			d.Put = append(d.Put, Resource{Key{kind, name}, spec})
		}
	}
	sortDelta(d.Put, nil)
	return d
}

// NewDelta returns the delta from the held version to another one, with its checksum. It leaves out resources to put
// that are held unchanged and keys to remove that are not held, so a delta without either changes nothing. It checks
// nothing else, as Apply does.
func (s *Set) NewDelta(to Version, put []Resource, removed []Key) *Delta {
	d := &Delta{From: s.version, To: to}
	sum := uint64(s.checksum)
	for i := range put {
		h, old := hashOf(&put[i]), uint64(0)
		if was, ok := s.hash(put[i].Key); ok {
			if was == h {
				continue
			}
			old = was
		}
		sum += h - old
		d.Put = append(d.Put, put[i])
	}
	for _, k := range removed {
		if old, ok := s.hash(k); ok {
			sum -= old
			d.Removed = append(d.Removed, k)
		}
	}
	d.Checksum = Checksum(sum)
	sortDelta(d.Put, d.Removed)
	return d
}

// compare orders keys by kind, then by name.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// sortDelta sorts resources and keys by kind and name.
func sortDelta(put []Resource, removed []Key) {
	slices.SortStableFunc(put, func(a, b Resource) int { return a.Key.compare(b.Key) })
	slices.SortFunc(removed, Key.compare)
}

// TooFarAhead reports whether the version's epoch is more than MaxEpochAhead after now (Unix time). No later version
// could ever replace such a version.
func (v Version) TooFarAhead(now time.Duration) bool {
	return v.Epoch > uint64(max(now.Milliseconds(), 0))+MaxEpochAhead
}
