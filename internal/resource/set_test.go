package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newResource(kind Kind, name, spec string) Resource {
	return Resource{Key{kind, name}, json.RawMessage(spec)}
}

func contract(name string, rate int) Resource {
	return newResource(Contract, name, fmt.Sprintf(`{"rate":%d}`, rate))
}

func contractKey(name string) Key { return Key{Contract, name} }

func version(epoch, number uint64) Version { return Version{epoch, number} }

// setWith returns a set that holds the given resources at a version.
func setWith(t testing.TB, specs bool, v Version, all ...Resource) *Set {
	t.Helper()
	s := NewSet(specs)
	if err := s.Apply(s.NewDelta(v, all, nil)); err != nil {
		t.Fatal(err)
	}
	return s
}

// requireContent fails the test unless the set holds exactly the given resources at a version.
func requireContent(t testing.TB, s *Set, v Version, all ...Resource) {
	t.Helper()
	want := setWith(t, true, v, all...)
	put, removed := s.Compare(all)
	if s.Version() != v || s.Checksum() != want.Checksum() || s.Len() != len(all) || len(put)+len(removed) != 0 {
		t.Fatalf("at %v with %d: differs by %v and %v; want %d at %v", s.Version(), s.Len(), put, removed, len(all), v)
	}
}

func TestCheckReportsErrorsAndChangesNothing(t *testing.T) {
	long := strings.Repeat("n", MaxName+1)
	base := []Resource{contract("a", 1), contract("b", 1), newResource(Route, "a", "{}")}
	from, to := version(5, 1), version(5, 2)
	for _, c := range []struct {
		name  string
		d     Delta
		is    error // else a *Refusal with these values:
		key   Key
		field string
		why   string
	}{
		{name: "to equals from", d: Delta{From: from, To: from}, field: "to", why: "5.1 is not later than from, 5.1"},
		{name: "to before from", d: Delta{From: from, To: version(4, 9)}, field: "to", why: "4.9 is not later than from, 5.1"},
		{name: "snapshot to the zero version", d: Delta{}, field: "to", why: "0.0 is not later than from, 0.0"},
		{name: "snapshot with removed resources", d: Delta{To: to, Removed: []Key{contractKey("a")}}, field: "gone", why: "a snapshot cannot name removed resources"},
		{name: "same version", d: Delta{From: version(5, 0), To: from}, is: ErrStale},
		{name: "older snapshot", d: Delta{To: version(4, 7)}, is: ErrStale},
		{name: "older epoch, greater number", d: Delta{From: version(4, 7), To: version(4, 8)}, is: ErrStale},
		{name: "from before the held version", d: Delta{From: version(5, 0), To: to}, is: ErrBase},
		{name: "from after the held version", d: Delta{From: version(5, 2), To: version(5, 3)}, is: ErrBase},
		{name: "unknown kind", d: Delta{From: from, To: to, Put: []Resource{newResource("cluster", "a", "{}")}}, key: Key{"cluster", "a"}, field: "kind",
			why: "not known: want contract, route, service or tenant"},
		{name: "unknown kind of a removed resource", d: Delta{From: from, To: to, Removed: []Key{{"", "a"}}}, key: Key{"", "a"}, field: "kind",
			why: "not known: want contract, route, service or tenant"},
		{name: "empty name", d: Delta{From: from, To: to, Put: []Resource{contract("", 1)}}, key: contractKey(""), field: "name", why: "empty"},
		{name: "long name", d: Delta{From: from, To: to, Put: []Resource{contract(long, 1)}}, key: contractKey(long[:40]), field: "name", why: "301 bytes: at most 300"},
		{name: "name not UTF-8", d: Delta{From: from, To: to, Put: []Resource{contract("a\xff", 1)}}, key: contractKey("a\xff"), field: "name", why: "not UTF-8"},
		{name: "name with a zero byte", d: Delta{From: from, To: to, Put: []Resource{contract("a\x00b", 1)}}, key: contractKey("a\x00b"), field: "name",
			why: "has a control character"},
		{name: "no spec", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", "")}}, key: contractKey("a"), field: "spec", why: "not a JSON object"},
		{name: "spec is not an object", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", "[]")}}, key: contractKey("a"), field: "spec", why: "not a JSON object"},
		{name: "invalid spec", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", `{"rate":}`)}}, key: contractKey("a"), field: "spec", why: "not valid JSON"},
		{name: "trailing data after the spec", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", `{}{}`)}}, key: contractKey("a"), field: "spec", why: "not valid JSON"},
		{name: "spec not compact", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", `{"rate": 1}`)}}, key: contractKey("a"), field: "spec", why: "not compact JSON"},
		{name: "spec not UTF-8", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", "{\"x\":\"\xff\"}")}}, key: contractKey("a"), field: "spec", why: "not UTF-8"},
		{name: "spec too long", d: Delta{From: from, To: to, Put: []Resource{newResource(Contract, "a", `{"x":"`+strings.Repeat("x", MaxSpec)+`"}`)}}, key: contractKey("a"), field: "spec",
			why: "65544 bytes: at most 65536"},
		{name: "put twice", d: Delta{From: from, To: to, Put: []Resource{contract("a", 2), contract("a", 3)}}, key: contractKey("a"), why: "put twice"},
		{name: "removed twice", d: Delta{From: from, To: to, Removed: []Key{contractKey("a"), contractKey("a")}}, key: contractKey("a"), why: "gone twice, or put and gone at once"},
		{name: "put and removed", d: Delta{From: from, To: to, Put: []Resource{contract("a", 2)}, Removed: []Key{contractKey("a")}}, key: contractKey("a"),
			why: "gone twice, or put and gone at once"},
		{name: "removed resource not held, other content", d: Delta{From: from, To: to, Removed: []Key{contractKey("c")}, Checksum: 1}, is: ErrChecksum},
		{name: "removed under another kind", d: Delta{From: from, To: to, Removed: []Key{{Route, "b"}}, Checksum: 1}, is: ErrChecksum},
		{name: "wrong checksum", d: Delta{From: from, To: to, Put: []Resource{contract("a", 2)}, Checksum: 1}, is: ErrChecksum},
		{name: "wrong checksum of a snapshot", d: Delta{To: to, Put: []Resource{contract("a", 2)}, Checksum: 1}, is: ErrChecksum},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, specs := range []bool{true, false} {
				s := setWith(t, specs, from, base...)
				for _, err := range []error{s.Check(&c.d), s.Apply(&c.d)} {
					var r *Refusal
					switch {
					case c.is != nil:
						if !errors.Is(err, c.is) || errors.As(err, &r) {
							t.Fatalf("%v; want %v", err, c.is)
						}
					case !errors.As(err, &r) || *r != (Refusal{c.key, c.field, c.why}):
						t.Fatalf("%#v; want %#v", err, Refusal{c.key, c.field, c.why})
					}
				}
				requireContent(t, s, from, base...)
			}
		})
	}
}

func TestResourceCountIsLimited(t *testing.T) {
	t.Parallel()
	many := make([]Resource, MaxResources+1)
	for i := range many {
		many[i] = newResource(Contract, fmt.Sprint(i), "{}")
	}
	s := setWith(t, false, version(1, 1), newResource(Route, "a", "{}"))
	var r *Refusal
	for n, want := range map[int]string{MaxResources + 1: "100001 resources: at most 100000", MaxResources: "100001 resources: at most 100000"} {
		if err := s.Check(&Delta{From: version(1, 1), To: version(1, 2), Put: many[:n]}); !errors.As(err, &r) || r.Reason != want {
			t.Fatal(n, err)
		}
	}
	if err := s.Apply(s.NewDelta(version(1, 2), many[:MaxResources], []Key{{Route, "a"}})); err != nil || s.Len() != MaxResources {
		t.Fatal(s.Len(), err)
	}
}

// A set that does not fit into a response is refused when it is built, so that a control process never holds one that
// it cannot send.
func TestSetWithSpecsIsLimitedToResponseSize(t *testing.T) {
	t.Parallel()
	s := NewSet(true)
	spec := `{"x":"` + strings.Repeat("x", MaxSpec-8) + `"}`
	var r *Refusal
	for i := 0; ; i++ {
		d := s.NewDelta(version(1, uint64(i)+1), []Resource{newResource(Service, fmt.Sprint(i), spec)}, nil)
		if i == 0 {
			d.From = Version{}
		}
		err := s.Apply(d)
		if err == nil {
			continue
		}
		if !errors.As(err, &r) || !strings.Contains(r.Reason, "of all resources: at most 16777216") || s.Len() != i {
			t.Fatal(i, err)
		}
		break
	}
	if data, err := Encode(s.Snapshot()); err != nil || len(data) < MaxResponse-MaxSpec-MaxName-200 {
		t.Fatal(len(data), err)
	}
	// In the full set, replacing a resource by another of its size works. A smaller resource frees bytes, and so does a
	// removal.
	if err := s.Apply(s.NewDelta(version(1, 1<<20), []Resource{newResource(Service, "n", spec)}, []Key{{Service, "2"}})); err != nil {
		t.Fatal(err)
	}
	if err := s.Apply(s.NewDelta(version(2, 0), []Resource{newResource(Service, "0", "{}"), newResource(Service, "new", "{}")}, []Key{{Service, "1"}})); err != nil {
		t.Fatal(err)
	}
	if err := s.Apply(s.NewDelta(version(3, 0), []Resource{newResource(Service, "1", spec)}, nil)); err != nil {
		t.Fatal(err)
	}
}

func TestDeltaOverResponseSizeIsRefused(t *testing.T) {
	var d Delta
	spec := `{"x":"` + strings.Repeat("x", MaxSpec-8) + `"}`
	for i := range MaxResponse/MaxSpec + 1 {
		d.Put = append(d.Put, newResource(Service, fmt.Sprint(i), spec))
	}
	d.To = version(1, 0)
	var r *Refusal
	if err := NewSet(false).Check(&d); !errors.As(err, &r) || !strings.Contains(r.Reason, "at most 16777216") {
		t.Fatal(err)
	}
}

// The computed size is never below the size of the JSON, including names with escapes.
func TestSizeIsUpperBoundOfJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Delta{From: version(rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "number")), To: version(1<<64-1, 1<<64-1), Checksum: 1<<64 - 1}
		name := rapid.StringN(1, 20, MaxName).Filter(func(s string) bool { return checkKey(contractKey(s)) == nil })
		for _, n := range rapid.SliceOfN(name, 0, 5).Draw(t, "put") {
			d.Put = append(d.Put, newResource(Contract, n, `{"a":"<&>"}`))
		}
		for _, n := range rapid.SliceOfN(name, 0, 5).Draw(t, "removed") {
			d.Removed = append(d.Removed, Key{Tenant, n})
		}
		data, err := Encode(d)
		if err != nil || len(data) > d.size() {
			t.Fatalf("%d bytes of JSON, computed size %d: %s %v", len(data), d.size(), data, err)
		}
		decoded, err := Decode(data)
		if err != nil || !reflect.DeepEqual(d, decoded) {
			t.Fatalf("%+v decoded as %+v: %v", d, decoded, err)
		}
	})
}

func TestSpecBytesAreUnchangedByEncoding(t *testing.T) {
	spec := "{\"match\":\"<a&b>\u2028\",\"n\":1e2}"
	s := setWith(t, true, version(1, 1), newResource(Route, "a:1", spec))
	data, err := Encode(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	d, err := Decode(data)
	if err != nil || string(d.Put[0].Spec) != spec {
		t.Fatalf("%s %v", data, err)
	}
	if err := NewSet(false).Apply(d); err != nil {
		t.Fatal(err)
	}
}

func TestDecodeRejectsOversizedAndTruncated(t *testing.T) {
	if _, err := Decode(make([]byte, MaxResponse+1)); err == nil || !strings.Contains(err.Error(), "at most 16777216") {
		t.Fatal(err)
	}
	if _, err := Decode([]byte(`{"from":"0.0","to":"1.1","sum":"0000000000000000"`)); err == nil {
		t.Fatal("a truncated delta was decoded")
	}
}

func TestChecksumDependsOnContentOnly(t *testing.T) {
	all := []Resource{contract("a", 1), contract("b", 2), newResource(Route, "a", "{}")}
	s := setWith(t, false, version(1, 0), contract("b", 9), contract("z", 1))
	put, removed := s.Compare(all)
	if err := s.Apply(s.NewDelta(version(1, 1), put, removed)); err != nil {
		t.Fatal(err)
	}
	slices.Reverse(all)
	if o := setWith(t, true, version(7, 7), all...); o.Checksum() != s.Checksum() {
		t.Fatal(o.Checksum(), s.Checksum())
	}
	// The boundary between name and spec counts.
	if NewSet(false).NewDelta(version(1, 1), []Resource{newResource(Contract, "ab", "{}")}, nil).Checksum == NewSet(false).NewDelta(version(1, 1), []Resource{newResource(Contract, "a", "b{}")}, nil).Checksum {
		t.Fatal("moving bytes from the name to the spec does not change the checksum")
	}
}

func TestDifferenceOfSnapshotNamesChangesOnly(t *testing.T) {
	control := setWith(t, true, version(9, 3), contract("a", 1), contract("b", 2), contract("new", 3))
	node := setWith(t, false, version(8, 1), contract("a", 1), contract("b", 1), contract("old", 1))
	snapshot := control.Snapshot()
	if err := node.Check(snapshot); err != nil {
		t.Fatal(err)
	}
	d := node.Difference(snapshot)
	want := &Delta{From: version(8, 1), To: version(9, 3), Checksum: control.Checksum(), Put: []Resource{contract("b", 2), contract("new", 3)}, Removed: []Key{contractKey("old")}}
	if !reflect.DeepEqual(d, want) {
		t.Fatalf("%+v", d)
	}
	if !reflect.DeepEqual(node.Difference(d), d) {
		t.Fatal("the difference of an exact delta is another delta")
	}
	// A delta may name more than what differs here: resources added and removed in between, or put unchanged.
	inexact := *d
	inexact.Put, inexact.Removed = append([]Resource{contract("a", 1)}, d.Put...), append([]Key{contractKey("temporary")}, d.Removed...)
	if got := node.Difference(&inexact); node.Check(&inexact) != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v", got)
	}
	if err := node.Apply(d); err != nil {
		t.Fatal(err)
	}
	requireContent(t, node, version(9, 3), contract("a", 1), contract("b", 2), contract("new", 3))
	// Applying the snapshot itself has the same result.
	other := setWith(t, true, version(8, 1), contract("a", 1), contract("old", 1))
	if err := other.Apply(snapshot); err != nil {
		t.Fatal(err)
	}
	requireContent(t, other, version(9, 3), contract("a", 1), contract("b", 2), contract("new", 3))
	if empty := NewSet(false); !reflect.DeepEqual(empty.Difference(snapshot), snapshot) {
		t.Fatal("the difference to an empty set is not the snapshot")
	}
}

func TestNewDeltaOmitsUnchangedResources(t *testing.T) {
	s := setWith(t, true, version(1, 1), contract("a", 1), contract("b", 1))
	d := s.NewDelta(version(1, 2), []Resource{contract("a", 1)}, []Key{contractKey("c"), {"cluster", "x"}})
	if len(d.Put)+len(d.Removed) != 0 || d.Checksum != s.Checksum() {
		t.Fatalf("%+v", d)
	}
	d = s.NewDelta(version(1, 2), []Resource{contract("d", 1), contract("b", 2), contract("a", 1)}, []Key{contractKey("c"), contractKey("a")})
	if !reflect.DeepEqual(d.Put, []Resource{contract("b", 2), contract("d", 1)}) || !reflect.DeepEqual(d.Removed, []Key{contractKey("a")}) {
		t.Fatalf("%+v", d)
	}
	if err := s.Apply(d); err != nil {
		t.Fatal(err)
	}
	requireContent(t, s, version(1, 2), contract("b", 2), contract("d", 1))
}

func TestVersionsAndChecksumsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := version(rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "number"))
		if parsed, err := ParseVersion(v.String()); err != nil || parsed != v {
			t.Fatal(v, parsed, err)
		}
		s, parsed := Checksum(rapid.Uint64().Draw(t, "checksum")), Checksum(0)
		text, _ := s.MarshalText()
		if err := parsed.UnmarshalText(text); err != nil || parsed != s {
			t.Fatal(s, parsed, err)
		}
	})
	for _, s := range []string{"", "1", "1.", ".1", "1.2.3", "-1.2", "1.18446744073709551616", " 1.2"} {
		if v, err := ParseVersion(s); err == nil {
			t.Errorf("%q was parsed as %v", s, v)
		}
	}
	if s := (&Refusal{contractKey("a"), "match[0].from", "no"}).Error(); s != `contract "a": match[0].from: no` {
		t.Error(s)
	}
	if version(5, 9).Compare(version(6, 0)) >= 0 || version(6, 1).Compare(version(6, 0)) <= 0 {
		t.Error("versions are not ordered by epoch, then number")
	}
	now := 100 * 24 * time.Hour
	if latest := uint64(now.Milliseconds()) + MaxEpochAhead; version(latest, 1).TooFarAhead(now) || !version(latest+1, 0).TooFarAhead(now) || !version(1<<64-1, 0).TooFarAhead(now) {
		t.Error("the limit of a day ahead of the clock is wrong")
	}
}

// randomDelta returns a random delta that leads on from the content of a set.
func randomDelta(t *rapid.T, s *Set, to Version) *Delta {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID).Draw(t, "names")
	var put []Resource
	var removed []Key
	for _, n := range names {
		if name := fmt.Sprint(n); rapid.Bool().Draw(t, "removed") {
			removed = append(removed, contractKey(name))
		} else {
			put = append(put, contract(name, rapid.IntRange(0, 2).Draw(t, "rate")))
		}
	}
	return s.NewDelta(to, put, removed)
}

// Since(v), applied to a set at v, results in the current set, with and without specs and for any limits of the
// history. It also does so if it comes from a process that received several changes as one delta, and v is a version
// that this process never had.
func TestMergedDeltasLeadFromEachVersionToLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		h := NewHistory(HistoryLimits{Deltas: rapid.IntRange(1, 12).Draw(t, "limit")})
		s := NewSet(true)
		first := s.NewDelta(version(1, 0), []Resource{contract("0", 0), contract("1", 1)}, nil)
		if err := s.Apply(first); err != nil {
			t.Fatal(err)
		}
		type content struct{ all []Resource }
		contents := map[Version]content{s.Version(): {s.Snapshot().Put}}
		for n := range rapid.IntRange(1, 14).Draw(t, "changes") {
			d := randomDelta(t, s, version(1, uint64(n)+1))
			h.Add(now, d)
			if err := s.Apply(d); err != nil {
				t.Fatal(err)
			}
			contents[s.Version()] = content{s.Snapshot().Put}
		}
		delete(contents, s.Version())
		// The history of a process that follows and has received some of the changes merged.
		follower, followerFrom := NewHistory(HistoryLimits{}), version(1, uint64(rapid.IntRange(0, len(contents)-1).Draw(t, "follower from")))
		if d, ok := h.Since(followerFrom); ok {
			follower.Add(now, d)
		}
		stored := 0
		for v, before := range contents {
			d, ok := h.Since(v)
			if fromFollower, found := follower.Since(v); found != (follower.Len() > 0 && v.Compare(followerFrom) >= 0) {
				t.Fatal(v, followerFrom, found)
			} else if found {
				d = fromFollower
			}
			if ok {
				stored++
			} else {
				continue
			}
			for _, specs := range []bool{true, false} {
				node := NewSet(specs)
				if err := node.Apply(node.NewDelta(v, before.all, nil)); err != nil {
					t.Fatal(err)
				}
				if rapid.Bool().Draw(t, "exact") {
					d = node.Difference(d)
				}
				if err := node.Apply(d); err != nil {
					t.Fatal(v, err)
				}
				if put, removed := node.Compare(s.Snapshot().Put); len(put)+len(removed) != 0 || node.Checksum() != s.Checksum() || node.Version() != s.Version() || node.Len() != s.Len() {
					t.Fatal(v, put, removed)
				}
			}
		}
		if stored != h.Len() {
			t.Fatalf("%d versions have deltas, with %d deltas stored", stored, h.Len())
		}
	})
}

// The difference of a snapshot leads from any content to that of the snapshot.
func TestDifferenceLeadsFromAnyContentToSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewSet(false), NewSet(true)
		for i, s := range []*Set{a, b} {
			for n := range 3 {
				d := randomDelta(t, s, version(uint64(i)+1, uint64(n)))
				if err := s.Apply(d); err != nil {
					t.Fatal(err)
				}
			}
		}
		snapshot := b.Snapshot()
		if err := a.Check(snapshot); err != nil {
			t.Fatal(err)
		}
		if err := a.Apply(a.Difference(snapshot)); err != nil {
			t.Fatal(err)
		}
		if a.Checksum() != b.Checksum() || a.Version() != b.Version() || a.Len() != b.Len() {
			t.Fatal(a, b)
		}
	})
}

// FuzzDelta checks that a set applies any received delta completely or not at all, and that its checksum is always that
// of its content.
func FuzzDelta(f *testing.F) {
	base := []Resource{contract("a", 1), contract("b", 1), newResource(Route, "h:1", "{}")}
	s := setWith(f, true, version(5, 1), base...)
	for _, d := range []*Delta{s.Snapshot(), s.NewDelta(version(5, 2), []Resource{contract("a", 2), contract("c", 1)}, []Key{contractKey("b")}), s.NewDelta(version(6, 0), nil, nil)} {
		data, err := Encode(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, s := range []string{"", "{}", `{"from":"5.1","to":"5.2","sum":"0000000000000000","put":[{}]}`, `{"put":[null],"gone":[null]}`,
		`{"from":"0.0","to":"9.9","sum":"0000000000000000"}`, `{"from":"5.1","to":"5.2","put":[{"kind":"contract","name":"a","spec":null}]}`,
		`{"from":"5.1","to":"5.2","put":[{"kind":"contract","name":"a","spec":{"a": 1}}]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		for _, specs := range []bool{true, false} {
			s := setWith(t, specs, version(5, 1), base...)
			checked := s.Check(d)
			if err := s.Apply(d); (err == nil) != (checked == nil) {
				t.Fatal(checked, err)
			} else if err != nil {
				requireContent(t, s, version(5, 1), base...)
				continue
			}
			want := d.Put
			if !d.IsSnapshot() {
				o := setWith(t, true, version(5, 1), base...)
				if err := o.Apply(d); err != nil {
					t.Fatal(err)
				}
				want = o.Snapshot().Put
			}
			requireContent(t, s, d.To, want...)
			if s.Checksum() != d.Checksum {
				t.Fatal(s.Checksum(), d.Checksum)
			}
			if _, err := Encode(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// tenantResources returns the resources of n tenants, with names and specs of typical length.
func tenantResources(n int) []Resource {
	all := make([]Resource, 0, n+n/4)
	for i := range n {
		name := fmt.Sprintf("tenant-%05d", i)
		all = append(all, newResource(Contract, name, fmt.Sprintf(`{"name":%q,"match":[{"path":"/t/%05d/"}],"rate":5,"burst":10,"weight":1,"class":"standard"}`, name, i)))
		if i%17 < 4 {
			all = append(all, newResource(Route, fmt.Sprintf("t%05d.example.org:443", i), fmt.Sprintf(`{"host":"t%05d.example.org","port":443,"service":"s%03d"}`, i, i%250)))
		}
	}
	return all
}

// BenchmarkDelta measures checking and applying one changed contract with sets of two sizes. Its cost does not depend
// on the size.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := setWith(b, false, version(1, 0), tenantResources(n)...)
			r := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for i := range b.N {
				name := fmt.Sprintf("tenant-%05d", r.IntN(n))
				if err := s.Apply(s.NewDelta(version(1, uint64(i)+1), []Resource{newResource(Contract, name, fmt.Sprintf(`{"rate":%d}`, i))}, nil)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkHistory measures adding one change to a full history and merging the deltas for a caller that is 100 changes
// behind.
func BenchmarkHistory(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, h := setWith(b, true, version(1, 0), tenantResources(n)...), NewHistory(HistoryLimits{Deltas: 1000})
			b.ReportAllocs()
			for i := range b.N {
				name := fmt.Sprintf("tenant-%05d", i%n)
				d := s.NewDelta(version(1, uint64(i)+1), []Resource{newResource(Contract, name, fmt.Sprintf(`{"rate":%d}`, i+10))}, nil)
				h.Add(0, d)
				if err := s.Apply(d); err != nil {
					b.Fatal(err)
				}
				if _, ok := h.Since(version(1, uint64(max(0, i-99)))); !ok {
					b.Fatal(i)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures decoding, checking, comparing and applying a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1700, 17000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := Encode(setWith(b, true, version(2, 0), tenantResources(n)...).Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			old := tenantResources(n)
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				s := setWith(b, false, version(1, 0), old[1:]...)
				b.StartTimer()
				d, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				if err := s.Check(d); err != nil {
					b.Fatal(err)
				}
				if err := s.Apply(s.Difference(d)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSetMemory reports the heap bytes of a set per resource, names included.
func BenchmarkSetMemory(b *testing.B) {
	for _, specs := range []bool{false, true} {
		b.Run(fmt.Sprintf("specs=%v", specs), func(b *testing.B) {
			data, err := Encode(setWith(b, true, version(2, 0), tenantResources(17000)...).Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := NewSet(specs)
				d, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				if err := s.Apply(d); err != nil {
					b.Fatal(err)
				}
				d = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(s.Len()), "B/resource")
				runtime.KeepAlive(s)
			}
		})
	}
}
