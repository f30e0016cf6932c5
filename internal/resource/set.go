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

// What a delta may be besides refused. They come wrapped: use errors.Is.
var (
	ErrStale = errors.New("not later than the version that is held")
	ErrBase  = errors.New("made for another version")
	ErrSum   = errors.New("the sum does not fit: made for another content")
)

// kinds are those that are known; a set keeps a map for each.
var kinds = [...]Kind{Contract, Route, Service, Tenant}

func kindIndex(k Kind) int { return slices.Index(kinds[:], k) }

// envelope bounds what an answer's JSON has around its resources, in bytes.
const envelopeSize = 192

// Set is all resources at a version: with their specs for a control process, by 64-bit hashes alone for a node, which has them
// decoded in its catalog. It is not safe for concurrent use.
type Set struct {
	version  Version
	checksum Sum
	count    int
	size     int // bytes of the snapshot's JSON at most; with specs only
	hashes   [len(kinds)]map[string]uint64
	specs    *[len(kinds)]map[string]json.RawMessage // nil: hashes only
}

// NewSet makes the empty set at the zero version. With specs it can make a Snapshot.
func NewSet(specs bool) *Set {
	s := &Set{}
	if specs {
		s.specs = new([len(kinds)]map[string]json.RawMessage)
	}
	s.clear()
	return s
}

func (s *Set) clear() {
	s.checksum, s.count, s.size = 0, 0, envelopeSize
	for i := range kinds {
		s.hashes[i] = map[string]uint64{}
		if s.specs != nil {
			s.specs[i] = map[string]json.RawMessage{}
		}
	}
}

// Version is the one that is held; zero before the first.
func (s *Set) Version() Version { return s.version }

// Sum is that of all resources that are held.
func (s *Set) Sum() Sum { return s.checksum }

// Len is the number of resources.
func (s *Set) Len() int { return s.count }

// Has tells whether a resource of this key is held.
func (s *Set) Has(k Key) bool { _, ok := s.hash(k); return ok }

func (s *Set) hash(k Key) (uint64, bool) {
	i := kindIndex(k.Kind)
	if i < 0 {
		return 0, false
	}
	h, ok := s.hashes[i][k.Name]
	return h, ok
}

// hashOf is a resource's part of the sum: xxhash64 of kind, name and spec, with a zero byte between them.
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

// size bounds the JSON of a key or resource in an answer; escapes at most double a valid name.
func (k Key) size() int       { return len(`{"kind":"","name":""},`) + len(k.Kind) + 2*len(k.Name) }
func (r *Resource) size() int { return r.Key.size() + len(`,"spec":`) + len(r.Spec) }

// size bounds the delta's JSON, in bytes.
func (d *Delta) size() int {
	n := envelopeSize
	for i := range d.Put {
		n += d.Put[i].size()
	}
	for _, k := range d.Gone {
		n += k.size()
	}
	return n
}

// checkKey says what is wrong with a key by itself.
func checkKey(k Key) *Refusal {
	why := ""
	switch {
	case kindIndex(k.Kind) < 0:
		k.Kind, k.Name = Kind(truncate(string(k.Kind), 40)), truncate(k.Name, 40)
		return &Refusal{Key: k, Field: "kind", Why: "not known: want contract, route, service or tenant"}
	case k.Name == "":
		why = "empty"
	case len(k.Name) > MaxName:
		why = fmt.Sprintf("%d bytes: at most %d", len(k.Name), MaxName)
		k.Name = truncate(k.Name, 40)
	case !utf8.ValidString(k.Name):
		why = "not UTF-8"
	case strings.ContainsFunc(k.Name, unicode.IsControl):
		why = "has a control character"
	default:
		return nil
	}
	return &Refusal{Key: k, Field: "name", Why: why}
}

// checkSpec says what is wrong with a spec as JSON: what it means is the catalog's business. The buffer is scratch.
func checkSpec(r *Resource, buf *bytes.Buffer) *Refusal {
	why := ""
	buf.Reset()
	switch {
	case len(r.Spec) > MaxSpec:
		why = fmt.Sprintf("%d bytes: at most %d", len(r.Spec), MaxSpec)
	case len(r.Spec) == 0 || r.Spec[0] != '{':
		why = "not a JSON object"
	case json.Compact(buf, r.Spec) != nil:
		why = "not valid JSON"
	case !bytes.Equal(buf.Bytes(), r.Spec):
		why = "not compact JSON"
	case !utf8.Valid(r.Spec):
		why = "not UTF-8"
	default:
		return nil
	}
	return &Refusal{Key: r.Key, Field: "spec", Why: why}
}

// cut shortens s to n bytes at most, between characters.
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

// Check verifies a whole delta against what is held and changes nothing; its cost goes with the delta, not with the set. What is wrong
// is a *Refusal; ErrStale where it is not later than what is held; ErrBase where it leads from another version; ErrSum where the sum
// behind it would be another than it says. What is to go need not be there: that all is as it should be is the sum's to tell.
func (s *Set) Check(d *Delta) error {
	_, err := s.check(d)
	return err
}

// check returns the hashes of what is put.
func (s *Set) check(d *Delta) ([]uint64, error) {
	whole := d.Whole()
	switch {
	case d.To.Compare(d.From) <= 0:
		return nil, &Refusal{Field: "to", Why: fmt.Sprintf("%v is not later than from, %v", d.To, d.From)}
	case whole && len(d.Gone) > 0:
		return nil, &Refusal{Field: "gone", Why: "a snapshot names nothing as gone"}
	case d.To.Compare(s.version) <= 0:
		return nil, fmt.Errorf("%v: %w, %v", d.To, ErrStale, s.version)
	case !whole && d.From != s.version:
		return nil, fmt.Errorf("delta from %v to %v: %w than %v", d.From, d.To, ErrBase, s.version)
	}
	if n := len(d.Put); n > MaxResources {
		return nil, &Refusal{Why: fmt.Sprintf("%d resources: at most %d", n, MaxResources)}
	}
	if n := d.size(); n > MaxAnswer {
		return nil, &Refusal{Why: fmt.Sprintf("%d bytes: at most %d", n, MaxAnswer)}
	}
	count, sum, after := s.count, uint64(s.checksum), s.size
	if whole {
		count, sum, after = 0, 0, envelopeSize
	}
	hashes := make([]uint64, len(d.Put))
	seen := make(map[Key]struct{}, len(d.Put)+len(d.Gone))
	var buf bytes.Buffer
	for i := range d.Put {
		r := &d.Put[i]
		if why := cmp.Or(checkKey(r.Key), checkSpec(r, &buf)); why != nil {
			return nil, why
		}
		seen[r.Key] = struct{}{}
		if len(seen) != i+1 {
			return nil, &Refusal{Key: r.Key, Why: "put twice"}
		}
		hashes[i] = hashOf(r)
		sum += hashes[i]
		if old, ok := s.hash(r.Key); ok && !whole {
			sum -= old
			after -= s.storedSize(r.Key)
		} else {
			count++
		}
		after += r.size()
	}
	for i, k := range d.Gone {
		if why := checkKey(k); why != nil {
			return nil, why
		}
		seen[k] = struct{}{}
		if len(seen) != len(d.Put)+i+1 {
			return nil, &Refusal{Key: k, Why: "gone twice, or put and gone at once"}
		}
		if old, ok := s.hash(k); ok { // what came and went on the delta's way need not be there
			sum -= old
			count--
			after -= s.storedSize(k)
		}
	}
	switch {
	case count > MaxResources:
		return nil, &Refusal{Why: fmt.Sprintf("%d resources: at most %d", count, MaxResources)}
	case s.specs != nil && after > MaxAnswer:
		return nil, &Refusal{Why: fmt.Sprintf("%d bytes of all resources: at most %d", after, MaxAnswer)}
	case Sum(sum) != d.Sum:
		return nil, fmt.Errorf("%v: sum %016x, told %016x: %w", d.To, sum, uint64(d.Sum), ErrSum)
	}
	return hashes, nil
}

// sizeAt is the size of a resource that is held; 0 without specs.
func (s *Set) storedSize(k Key) int {
	if s.specs == nil {
		return 0
	}
	r := Resource{Key: k, Spec: s.specs[kindIndex(k.Kind)][k.Name]}
	return r.size()
}

// Apply checks a delta and puts all of it in, or nothing where Check has an error. The delta's names and specs are kept, not copied.
func (s *Set) Apply(d *Delta) error {
	hashes, err := s.check(d)
	if err != nil {
		return err
	}
	if d.Whole() {
		s.clear()
	}
	for _, k := range d.Gone {
		s.remove(k)
	}
	for i := range d.Put {
		r := &d.Put[i]
		s.remove(r.Key)
		kind := kindIndex(r.Kind)
		s.hashes[kind][r.Name] = hashes[i]
		s.checksum += Sum(hashes[i])
		s.count++
		if s.specs != nil {
			s.specs[kind][r.Name] = r.Spec
			s.size += r.size()
		}
	}
	s.version = d.To
	return nil
}

// remove takes out a resource, if it is held.
func (s *Set) remove(k Key) {
	h, ok := s.hash(k)
	if !ok {
		return
	}
	kind := kindIndex(k.Kind)
	s.checksum -= Sum(h)
	s.count--
	delete(s.hashes[kind], k.Name)
	if s.specs != nil {
		s.size -= s.storedSize(k)
		delete(s.specs[kind], k.Name)
	}
}

// Compare tells what leads from what is held to just these resources: those that are new or differ in order of kind and name, and the
// keys that are to go, sorted too. Of a key named twice the last counts.
func (s *Set) Compare(all []Resource) (put []Resource, gone []Key) {
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
				gone = append(gone, Key{kind, name})
			}
		}
	}
	sortDelta(put, gone)
	return put, gone
}

// Difference makes of what Check let pass the delta from what is held that names only what differs: what is put is new or has another
// spec, what is gone is there. It goes with the delta's cost, or with a snapshot's.
func (s *Set) Difference(d *Delta) *Delta {
	if !d.Whole() {
		exact := s.Next(d.To, d.Put, d.Gone)
		exact.Sum = d.Sum
		return exact
	}
	put, gone := s.Compare(d.Put)
	return &Delta{From: s.version, To: d.To, Sum: d.Sum, Put: put, Gone: gone}
}

// Snapshot is all that is held, sorted by kind and name. It needs a set with specs.
func (s *Set) Snapshot() *Delta {
	if s.specs == nil {
		panic("resource: a snapshot of a set without specs")
	}
	d := &Delta{To: s.version, Sum: s.checksum, Put: make([]Resource, 0, s.count)}
	for i, kind := range kinds {
		for name, spec := range s.specs[i] {
			d.Put = append(d.Put, Resource{Key{kind, name}, spec})
		}
	}
	sortDelta(d.Put, nil)
	return d
}

// Next makes the delta from what is held to a version, with its sum. What is put as it stands already and what is to go and is not there
// are left out, so a delta without put and gone changes nothing. It checks nothing else: Apply does.
func (s *Set) Next(to Version, put []Resource, gone []Key) *Delta {
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
	for _, k := range gone {
		if old, ok := s.hash(k); ok {
			sum -= old
			d.Gone = append(d.Gone, k)
		}
	}
	d.Sum = Sum(sum)
	sortDelta(d.Put, d.Gone)
	return d
}

// compare orders keys by kind and name.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

func sortDelta(put []Resource, gone []Key) {
	slices.SortStableFunc(put, func(a, b Resource) int { return a.Key.compare(b.Key) })
	slices.SortFunc(gone, Key.compare)
}

// TooFarAhead tells whether a version's epoch is more than MaxEpochAhead past now (Unix time): it could never be left again.
func (v Version) TooFarAhead(now time.Duration) bool {
	return v.Epoch > uint64(max(now.Milliseconds(), 0))+MaxEpochAhead
}
