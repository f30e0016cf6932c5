package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"portstall/internal/cell"
	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/internal/front/tunnel"
	"portstall/internal/resource"
)

var effects = map[string]string{"view": "safe", "buy": "unsafe", "line": "keyed"}

// newResource returns a resource of a key, written as "kind name", and its spec as JSON.
func newResource(key, spec string) resource.Resource {
	return resource.Resource{Key: parseKey(key), Spec: json.RawMessage(spec)}
}

// parseKey returns the key that is written as "kind name".
func parseKey(text string) resource.Key {
	kind, name, _ := strings.Cut(text, " ")
	return resource.Key{Kind: resource.Kind(kind), Name: name}
}

// newDelta returns a delta that puts the given resources and removes the keys that are given as "kind name".
func newDelta(what ...any) *resource.Delta {
	d := &resource.Delta{}
	for _, w := range what {
		switch w := w.(type) {
		case resource.Resource:
			d.Put = append(d.Put, w)
		case string:
			d.Removed = append(d.Removed, parseKey(w))
		}
	}
	return d
}

// testState is a catalog with everything that a change is applied to.
type testState struct {
	*Catalog
	ledger   *contract.Ledger
	routes   *tunnel.Table
	placer   *cell.Placer
	lockTime time.Duration // how long the core's lock would have been held for all changes together
}

func newTestState(t testing.TB, o Options) *testState {
	tab, err := contract.NewTable(nil)
	if err != nil {
		t.Fatal(err)
	}
	routes, err := tunnel.NewTable(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &testState{New(o), contract.NewLedger(tab, 0, 1), routes, cell.NewPlacer(cell.Settings{Plan: cell.Plan{Size: 2}, MaxKeys: 10}), 0}
}

// apply applies a delta or returns why it is refused. A change that the catalog accepts must also be valid for the tables.
func (w *testState) apply(t fataler, d *resource.Delta) error {
	ch, err := w.Prepare(d)
	if err != nil {
		var r *resource.Refusal
		if !errors.As(err, &r) {
			t.Fatalf("%v is not a refusal", err)
		}
		return err
	}
	if err := w.ledger.Table().Check(&ch.Contracts); err != nil {
		t.Fatalf("%+v: the contracts' table refuses it: %v", d, err)
	}
	if err := w.routes.Check(&ch.Routes); err != nil {
		t.Fatalf("%+v: the routes' table refuses it: %v", d, err)
	}
	at := time.Now()
	w.ledger.ApplyChange(0, &ch.Contracts)
	w.routes.ApplyChange(&ch.Routes)
	w.placer.Apply(&ch.Tenants)
	w.lockTime += time.Since(at)
	w.Commit(ch)
	return nil
}

// fataler is the part of testing.T and rapid.T that apply needs.
type fataler interface{ Fatalf(string, ...any) }

// dump returns everything that is in force as text.
func (w *testState) dump() string {
	var b strings.Builder
	c := w.Catalog
	for _, n := range sortedKeys(c.services) {
		s := c.services[n]
		fmt.Fprintf(&b, "service %s %s %v %v %v %v\n", n, s.name, s.classes, s.withEffect, s.contracts, s.routes)
	}
	for _, n := range sortedKeys(c.contracts) {
		e := c.contracts[n]
		i, _ := w.ledger.Table().Slot(n)
		fmt.Fprintf(&b, "contract %s %s %v %v %v\n\t%+v\n", n, e.spec, e.services, e.matches, e.retries, *w.ledger.Table().Terms(i))
	}
	for _, n := range sortedKeys(c.routes) {
		host, port, _ := strings.Cut(n, ":")
		var p uint16
		fmt.Sscan(port, &p)
		r, _ := w.routes.Find(host, p)
		fmt.Fprintf(&b, "route %s %+v %+v\n", n, c.routes[n], r)
	}
	var owners []string
	for m, n := range c.matches.byMatch {
		owners = append(owners, fmt.Sprintf("%+v is for %s", m, n))
	}
	for m, n := range c.matches.byTenant {
		owners = append(owners, fmt.Sprintf("%s is for %s", m, n))
	}
	slices.Sort(owners)
	fmt.Fprintf(&b, "tenants %v %+v\nfallback %q\nunsafe %v\n%s\n%d contracts, %d routes", c.tenants, w.placer.Tenants(), c.fallback, c.unsafeCounts,
		strings.Join(owners, "\n"), w.ledger.Table().Count(), w.routes.Len())
	return b.String()
}

// newFilledState returns a testState with some resources of each kind.
func newFilledState(t testing.TB) *testState {
	w := newTestState(t, Options{Effects: effects, Cells: true})
	if err := w.apply(t, newDelta(
		newResource("contract one", `{"name":"one","match":[{"tenant":"one"}],"services":["shop"],"rate":5,"retries":["view"]}`),
		newResource("contract two", `{"name":"two","match":[{"tenant":"two"}]}`),
		newResource("contract rest", `{"name":"rest"}`),
		newResource("contract odd", `{"name":"odd","match":[{"tenant":"odd"}],"retries":["rare"]}`),
		newResource("service shop", `{"name":"shop","classes":[{"name":"view"},{"name":"buy","effect":"unsafe"}]}`),
		newResource("service lines", `{"name":"lines","classes":[{"name":"line"}]}`),
		newResource("service idle", `{"name":"idle"}`),
		newResource("route a.org:80", `{"host":"A.org.","port":80,"service":"shop"}`),
		newResource("route b.org:7", `{"host":"b.org","port":7,"service":"lines","kind":"opaque","class":"line"}`),
		newResource("tenant gulf", `{"tenant":"gulf","pods":[1,2]}`))); err != nil {
		t.Fatal(err)
	}
	return w
}

// A refused delta names the resource and field at fault and changes nothing that is in force, even if the rest of it is valid.
func TestInvalidDeltaIsRefusedAndChangesNothing(t *testing.T) {
	w := newFilledState(t)
	before := w.dump()
	long := strings.Repeat("x", resource.MaxName+1)
	for _, c := range []struct {
		delta *resource.Delta
		want  string
	}{
		{newDelta(newResource("widget a", `{}`)), `widget "a": has an unknown kind`},
		{newDelta("widget a"), `widget "a": has an unknown kind`},
		{newDelta(newResource("contract ", `{}`)), `contract "": name: missing`},
		{newDelta(newResource("contract "+long, `{}`)), "name: is longer than 300 bytes"},
		{newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"`+strings.Repeat("x", resource.MaxSpec)+`"}]}`)), `contract "a": takes 65`},
		{newDelta("contract one", newResource("contract one", `{"name":"one"}`)), `contract "one": occurs twice in the delta`},
		{newDelta(newResource("contract a", `{"name":"b"}`)), `contract "a": name: "b" is not the name of the resource`},
		{newDelta(newResource("contract a", `null`)), `contract "a": name: "" is not the name of the resource`},
		{newDelta(newResource("contract a", `{"name":"a","rats":1}`)), `contract "a": rats: is not a field of a contract`},
		{newDelta(newResource("service a", `{"name":"a","classes":[{"nam":"x"}]}`)), `service "a": nam: is not a field of a service`},
		{newDelta(newResource("contract a", `{"name":"a","rate":"fast"}`)), `contract "a": rate: is a string, want float64`},
		{newDelta(newResource("contract a", `{"name":`)), `contract "a": `},
		{newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"a"}]} {}`)), `contract "a": has trailing data after its spec`},
		{newDelta(newResource("contract a", `{"name":"a","rate":-1}`)), `contract "a": rate: -1 is outside`},
		{newDelta(newResource("contract a", `{"name":"a","match":[{"from":"here"}]}`)), `contract "a": match[0].from: "here" is neither`},
		{newDelta(newResource("contract a", `{"name":"a","services":["none"],"match":[{"tenant":"a"}]}`)), `contract "a": services[0]: "none" is no service here`},
		{newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"one"}]}`)), `contract "a": match[0]: contract "one" is for the same callers`},
		{newDelta(newResource("contract a", `{"name":"a"}`)), `contract "a": match: contract "rest" is for everybody else already`},
		{newDelta("contract rest", newResource("contract a", `{"name":"a"}`), newResource("contract b", `{"name":"b"}`)), `contract "b": match: contract "a" is for everybody else`},
		{newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"a"}],"retries":["buy"]}`)), `contract "a": retries[0]: contract "a" allows retries of class "buy", which is unsafe`},
		{newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"a"}],"services":["lines"],"retries":["view"]}`)), `contract "a": retries[0]: contract "a" allows retries of class "view", which none`},
		{newDelta(newResource("service a", `{"name":"a","classes":[{"name":"view","effect":"unsafe"}]}`)), `service "a": classes[0].effect: unsafe, but the node's settings say`},
		{newDelta(newResource("service a", `{"name":"a","classes":[{"name":"x","effect":"magic"}]}`)), `service "a": classes[0].effect: "magic" is none of`},
		{newDelta(newResource("service a", `{"name":"a","classes":[{"name":"rare","effect":"unsafe"}]}`)), `service "a": classes: class "rare" becomes unsafe, and contract "odd" allows retries of it`},
		{newDelta(newResource("service shop", `{"name":"shop","classes":[{"name":"buy"}]}`)), `service "shop": classes: contract "one": retries[0]: `},
		{newDelta("service shop"), `service "shop": is removed, but contract "one" names it`},
		{newDelta("service shop", "contract one"), `service "shop": is removed, but route "a.org:80" leads to it`},
		{newDelta("service shop", "route a.org:80", newResource("contract one", `{"name":"one","match":[{"tenant":"one"}],"services":["shop"]}`)), `contract "one": services[0]: "shop" is no service`},
		{newDelta("service lines", newResource("route b.org:7", `{"host":"b.org","port":7,"service":"lines"}`)), `route "b.org:7": service: "lines" is no service here`},
		{newDelta(newResource("route c.org:1", `{"host":"c.org","port":1,"service":"none"}`)), `route "c.org:1": service: "none" is no service here`},
		{newDelta(newResource("route c.org:1", `{"host":"c.org","port":2,"service":"shop"}`)), `route "c.org:1": host: "c.org:2" is not the name of the resource`},
		{newDelta(newResource("route 10.0.0.1:1", `{"host":"10.0.0.1","port":1,"service":"shop"}`)), `route "10.0.0.1:1": host: "10.0.0.1" is an address`},
		{newDelta(newResource("route c.org:1", `{"host":"c.org","port":1,"service":"shop","kind":"opaque","class":"none"}`)), `route "c.org:1": class: "none" is no class of the node's settings`},
		{newDelta(newResource("route c.org:1", `{"host":"c.org","port":1,"service":"shop","idle_ns":5}`)), `route "c.org:1": idle: is for opaque routes only`},
		{newDelta(newResource("route c.org:1", `{"host":"c.org","port":70000,"service":"shop"}`)), `route "c.org:1": port: is a number 70000, want uint16`},
		{newDelta(newResource("tenant a", `{"tenant":"a"}`)), `tenant "a": pods: missing`},
		{newDelta(newResource("tenant a", `{"tenant":"a","pods":[1],"moves":[{"to":[2]}]}`)), `tenant "a": moves[0].start: missing`},
		{newDelta(newResource("tenant a", `{"tenant":"b","pods":[1]}`)), `tenant "a": tenant: "b" is not the name of the resource`},
	} {
		good := newDelta(newResource("contract good", `{"name":"good","match":[{"tenant":"good"}]}`), newResource("service good", `{"name":"good"}`),
			newResource("tenant good", `{"tenant":"good","pods":[3]}`), newResource("route good.org:1", `{"host":"good.org","port":1,"service":"idle"}`), "contract two")
		good.Put, good.Removed = append(good.Put, c.delta.Put...), append(good.Removed, c.delta.Removed...)
		for _, d := range []*resource.Delta{c.delta, good} {
			if err := w.apply(t, d); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("%+v: %v, want %q", d, err, c.want)
			}
		}
		if after := w.dump(); after != before {
			t.Fatalf("%q: the refused delta changed\n%s\nto\n%s", c.want, before, after)
		}
	}
	plain := New(Options{})
	if _, err := plain.Prepare(newDelta(newResource("tenant a", `{"tenant":"a","pods":[1]}`))); err == nil || !strings.Contains(err.Error(), `tenant "a": is pinned to pods, but there are no cells`) {
		t.Errorf("without cells: %v", err)
	}
	if _, err := plain.Prepare(newDelta(newResource("service a", `{"name":"a"}`), newResource("route c.org:1", `{"host":"c.org","port":1,"service":"a","kind":"opaque","class":"any"}`))); err != nil {
		t.Errorf("without the node's settings: %v", err)
	}
	many := &resource.Delta{Put: make([]resource.Resource, resource.MaxResources+1)}
	for i := range many.Put {
		many.Put[i] = newResource(fmt.Sprint("service s", i), `{}`)
	}
	if _, err := plain.Prepare(many); err == nil || !strings.Contains(err.Error(), "makes 100001 resources, at most 100000") {
		t.Errorf("too many resources: %v", err)
	}
}

// A service can only be removed together with the resources that name it. A changed service changes its contracts and no others.
func TestServiceChangeUpdatesDependentContracts(t *testing.T) {
	w := newFilledState(t)
	terms := func(name string) *contract.Terms {
		i, _ := w.ledger.Table().Slot(name)
		return w.ledger.Table().Terms(i)
	}
	ch, err := w.Prepare(newDelta(newResource("service shop", `{"name":"shop","classes":[{"name":"view"},{"name":"buy"},{"name":"look"}]}`)))
	if err != nil || len(ch.Contracts.Put) != 1 || ch.Contracts.Put[0].Name != "one" || !ch.Contracts.Put[0].Classes["look"] || len(ch.Routes.Put) != 0 {
		t.Fatalf("%+v, %v", ch, err)
	}
	if terms("one").Classes["look"] {
		t.Error("a change that is only prepared is in force")
	}
	if ch, err := w.Prepare(newDelta(newResource("service shop", `{"name":"shop","classes":[{"name":"buy"},{"name":"view","effect":"safe"}]}`))); err != nil || len(ch.Contracts.Put) != 0 {
		t.Errorf("the same classes: %+v, %v", ch, err)
	}
	if err := w.apply(t, newDelta(newResource("service shop", `{"name":"shop","classes":[{"name":"view"},{"name":"buy"},{"name":"look"}]}`))); err != nil || !terms("one").Classes["look"] {
		t.Error(err, terms("one"))
	}
	// Contracts share equal sets, also with a contract from before their service was put again with the same classes.
	if err := w.apply(t, newDelta(newResource("service shop", `{"name":"shop","classes":[{"name":"look"},{"name":"view"},{"name":"buy"}]}`))); err != nil {
		t.Fatal(err)
	}
	if err := w.apply(t, newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"a"}],"services":["shop"],"retries":["view"]}`),
		newResource("contract b", `{"name":"b","match":[{"tenant":"b"}],"services":["shop","lines"]}`),
		newResource("contract c", `{"name":"c","match":[{"tenant":"c"}],"services":["lines","shop"]}`))); err != nil {
		t.Fatal(err)
	}
	same := func(a, b map[string]bool) bool { return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer() }
	if !same(terms("one").Classes, terms("a").Classes) || !same(terms("one").RetryClasses, terms("a").RetryClasses) || !same(terms("b").Classes, terms("c").Classes) {
		t.Error("contracts that name the same classes do not share the set")
	}
	if len(terms("a").Classes) != 3 || len(terms("b").Classes) != 4 {
		t.Errorf("%v %v", terms("a").Classes, terms("b").Classes)
	}
	// The resources that name the service are removed with it, or name another one.
	if err := w.apply(t, newDelta("service shop", "contract one", "contract a", "contract b", newResource("contract c", `{"name":"c","match":[{"tenant":"c"}],"services":["lines"]}`),
		newResource("route a.org:80", `{"host":"a.org","port":80,"service":"idle"}`))); err != nil {
		t.Fatal(err)
	}
	if r, ok := w.routes.Find("a.org", 80); !ok || r.Service != "idle" {
		t.Errorf("%+v", r)
	}
	if err := w.apply(t, newDelta("contract c", "contract two", "contract rest", "contract odd", "service lines", "service idle", "route a.org:80", "route b.org:7", "tenant gulf", "tenant none")); err != nil || w.Len() != 0 {
		t.Fatal(err, w.dump())
	}
	if len(w.matches.byTenant)+len(w.matches.byMatch)+len(w.unsafeCounts) != 0 || w.fallback != "" {
		t.Errorf("entries are left after everything was removed: %s", w.dump())
	}
}

// Committing a change twice, or one that was prepared before another commit, panics.
func TestCommitPanicsWhenRepeatedOrOutdated(t *testing.T) {
	w := newFilledState(t)
	first, err := w.Prepare(newDelta("tenant gulf"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := w.Prepare(newDelta("contract two"))
	if err != nil {
		t.Fatal(err)
	}
	w.Commit(first)
	for _, ch := range []*Change{first, second} {
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the commit did not panic")
				}
			}()
			w.Commit(ch)
		}()
	}
}

// If the settings of the node change, what is in force is checked against them, and the first resource that does not fit is named.
func TestRecheckAgainstChangedClassEffects(t *testing.T) {
	w := newFilledState(t)
	before := w.dump()
	for _, c := range []struct {
		effects map[string]string
		want    string
	}{
		{map[string]string{"view": "unsafe", "buy": "unsafe", "line": "keyed"}, `contract "one": retries: allows retries of class "view", which is unsafe`},
		{map[string]string{"view": "safe", "buy": "unsafe", "line": "keyed", "rare": "unsafe"}, `contract "odd": retries: `},
		{map[string]string{"view": "safe", "buy": "unsafe"}, `route "b.org:7": class: "line" is no class of the node's settings`},
		{map[string]string{"view": "safe", "buy": "keyed", "line": "keyed"}, `service "shop": classes[0].effect: unsafe, but the node's settings say`},
	} {
		if _, err := w.Recheck(c.effects); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.effects, err, c.want)
		}
	}
	ch, err := w.Recheck(map[string]string{"view": "keyed", "line": "safe"})
	if err != nil || ch.Empty() || w.dump() != before || w.options.Effects["buy"] == "" {
		t.Fatal(ch, err)
	}
	w.Commit(ch)
	if err := w.apply(t, newDelta(newResource("route c.org:1", `{"host":"c.org","port":1,"service":"shop","kind":"opaque","class":"buy"}`))); err == nil {
		t.Error("a route of a class that the settings no longer have is accepted")
	}
	// The service still declares buy unsafe, and the settings no longer have the class.
	if err := w.apply(t, newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"a"}],"retries":["buy"]}`))); err == nil {
		t.Error("retries of a class that a service declares unsafe are accepted")
	}
	w.SetEvenShares(true)
	if err := w.apply(t, newDelta(newResource("contract a", `{"name":"a","match":[{"tenant":"a"}]}`))); err != nil || !w.ledger.Table().EvenShares {
		t.Error("shares are not even", err)
	}
}

// randomResource returns a resource from a small set of names, valid or not.
func randomResource(t *rapid.T) resource.Resource {
	name := func(prefix string, n int) string { return fmt.Sprint(prefix, rapid.IntRange(0, n).Draw(t, prefix)) }
	of := func(kind resource.Kind, name string, spec any) resource.Resource {
		text, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		return resource.Resource{Key: resource.Key{Kind: kind, Name: name}, Spec: text}
	}
	classes := []string{"view", "buy", "line", "x", "y"}
	services := rapid.SliceOfN(rapid.SampledFrom([]string{"s0", "s1", "s2"}), 0, 2)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		s := config.Service{Name: name("s", 2)}
		for _, class := range rapid.SliceOfNDistinct(rapid.SampledFrom(classes), 0, 4, rapid.ID).Draw(t, "classes") {
			c := config.Class{Name: class, Effect: effects[class]}
			if c.Effect == "" {
				c.Effect = rapid.SampledFrom([]string{"", "", "safe", "unsafe"}).Draw(t, "effect")
			}
			s.Classes = append(s.Classes, c)
		}
		return of(resource.Service, s.Name, s)
	case 2, 3:
		c := config.Contract{Name: name("c", 5), Rate: 5, Services: services.Draw(t, "services")}
		if rapid.IntRange(0, 6).Draw(t, "default") > 0 {
			c.Match = []config.Match{{Tenant: name("t", 6), From: rapid.SampledFrom([]string{"", "", "10.0.0.0/8"}).Draw(t, "from")}}
		}
		if rapid.IntRange(0, 2).Draw(t, "retried") == 0 {
			c.Retries = rapid.SliceOfN(rapid.SampledFrom(classes), 0, 1).Draw(t, "retries")
		}
		return of(resource.Contract, c.Name, c)
	case 4:
		r := config.Route{Host: name("h", 2), Port: 1, Service: name("s", 2)}
		if rapid.Bool().Draw(t, "opaque") {
			r.Kind, r.Class = "opaque", rapid.SampledFrom([]string{"line", "none"}).Draw(t, "class")
		}
		return of(resource.Route, r.Host+":1", r)
	}
	p := config.PinnedTenant{Tenant: name("t", 2), Pods: []int64{rapid.Int64Range(1, 3).Draw(t, "pod")}}
	return of(resource.Tenant, p.Tenant, p)
}

// What is in force after a sequence of deltas is the same as in a new catalog that received all resources at once. A delta is accepted
// exactly if a new catalog would accept the content it leads to.
func TestDeltasEqualSnapshotOfSameContent(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		o := Options{Effects: effects, Cells: true}
		w, content := newTestState(t, o), map[resource.Key]resource.Resource{}
		for range rapid.IntRange(1, 25).Draw(rt, "deltas") {
			d, after, named := &resource.Delta{}, maps.Clone(content), map[resource.Key]bool{}
			for range rapid.IntRange(1, 5).Draw(rt, "size") {
				r := randomResource(rt)
				if named[r.Key] {
					continue
				}
				named[r.Key] = true
				if rapid.IntRange(0, 2).Draw(rt, "removed") == 0 {
					d.Removed = append(d.Removed, r.Key)
					delete(after, r.Key)
				} else {
					d.Put = append(d.Put, r)
					after[r.Key] = r
				}
			}
			fresh, snapshot := newTestState(t, o), &resource.Delta{}
			for _, r := range after {
				snapshot.Put = append(snapshot.Put, r)
			}
			slices.SortFunc(snapshot.Put, func(a, b resource.Resource) int { return strings.Compare(a.Key.String(), b.Key.String()) })
			freshErr, before := fresh.apply(rt, snapshot), w.dump()
			err := w.apply(rt, d)
			if (err == nil) != (freshErr == nil) {
				rt.Fatalf("%+v: %v; in a new catalog: %v", d, err, freshErr)
			}
			if err != nil {
				refused++
				if after := w.dump(); after != before {
					rt.Fatalf("a refused delta changed\n%s\nto\n%s", before, after)
				}
				continue
			}
			accepted++
			content = after
			if got, want := w.dump(), fresh.dump(); got != want {
				rt.Fatalf("in force is\n%s\nin a new catalog\n%s", got, want)
			}
			for i := range 7 {
				caller := contract.Caller{Tenant: fmt.Sprint("t", i)}
				a, b := w.ledger.Table(), fresh.ledger.Table()
				x, y := a.Find(&caller), b.Find(&caller)
				if (x < 0) != (y < 0) || x >= 0 && a.Terms(x).Name != b.Terms(y).Name {
					rt.Fatalf("%s is under contract %d, in a new catalog under %d", caller.Tenant, x, y)
				}
			}
		}
	})
	if accepted < 100 || refused < 100 {
		t.Errorf("%d deltas were accepted and %d refused: too few for a meaningful test", accepted, refused)
	}
}

const productFile = `services:
- {name: shop, classes: [{name: view, effect: safe}, {name: buy, effect: unsafe}]}
- {name: lines, classes: [{name: line}]}
contracts:
- {name: app, match: [{tenant: gulf}, {header: "x-team: app"}, {from: 10.1.2.3/8}], services: [shop], rate: 200, attempts: {ratio: 0.2, window: 5s}, retries: [view], work: {guaranteed: 8, limit: 20}, criticality: critical}
- {name: both, match: [{tenant: both}], services: [lines, shop], retries: []}
- {name: rest, rate: 1, lends: 0, weight: 0}
parts: even
tunnels:
  socks5: 127.0.0.1:1080
  routes:
  - {host: Shop.Example.org., port: 80, service: shop}
  - {host: lines.example.org, port: 7, service: lines, kind: opaque, class: line, idle: 5s}
cells:
  size: 6
  tenants:
  - {tenant: gulf, pods: [1, 2], moves: [{to: [3], start: 2026-12-01T13:00:00Z, both: 30s, keys: [0, 0.5]}]}
`

// The product's file has the same result whether it is compiled directly, converted to resources, or read as a file of resources.
func TestResourcesCompileLikeProductFile(t *testing.T) {
	f, err := config.Parse("p.yaml", []byte(productFile))
	if err != nil {
		t.Fatal(err)
	}
	all, err := Resources(f)
	if err != nil || len(all) != 8 {
		t.Fatal(len(all), err)
	}
	parsed, lines, err := ParseFile("p.yaml", []byte(productFile))
	if err != nil || !reflect.DeepEqual(all, parsed) {
		t.Fatalf("%v, %v, want %v", err, parsed, all)
	}
	for key, line := range map[string]int{"service shop": 2, "service lines": 3, "contract app": 5, "contract rest": 7, "route shop.example.org:80": 12, "tenant gulf": 17} {
		if got := lines[parseKey(key)]; got != line {
			t.Errorf("%s is at line %d, want %d", key, got, line)
		}
	}
	w := newTestState(t, Options{Effects: effects, Cells: true, EvenShares: true})
	if err := w.apply(t, &resource.Delta{Put: all}); err != nil {
		t.Fatal(err)
	}
	want, err := config.Compile(f, effects)
	if err != nil {
		t.Fatal(err)
	}
	tab := w.ledger.Table()
	for i := range want.Len() {
		k, _ := tab.Slot(want.Terms(i).Name)
		if got := tab.Terms(k); !reflect.DeepEqual(got, want.Terms(i)) {
			t.Errorf("%+v, from the file %+v", got, want.Terms(i))
		}
	}
	if tab.Count() != want.Count() || tab.EvenShares != want.EvenShares {
		t.Error(tab.Count(), tab.EvenShares)
	}
	routes, err := f.Tunnels.Table()
	if err != nil {
		t.Fatal(err)
	}
	for host, port := range map[string]uint16{"shop.example.org": 80, "lines.example.org": 7} {
		got, _ := w.routes.Find(host, port)
		if r, ok := routes.Find(host, port); !ok || r != got {
			t.Errorf("%+v, from the file %+v", got, r)
		}
	}
	cells, err := f.Cells.Settings()
	if err != nil || !reflect.DeepEqual(w.placer.Tenants(), cells.Tenants) {
		t.Errorf("%+v, from the file %+v, %v", w.placer.Tenants(), cells.Tenants, err)
	}
	if got := w.placer.Tenants(); got[0].Moves[0].Prepare != 10*time.Second {
		t.Errorf("%+v", got)
	}
}

// A file of resources is checked by itself: what it names may be in another file. An error names file and line.
func TestParseFileChecksEachResourceAlone(t *testing.T) {
	for _, c := range []struct {
		text string
		want int
	}{
		{"", 0}, {"# nothing\n", 0}, {"contracts:\n- {name: a, services: [elsewhere], retries: [view]}\n...\n", 1},
		{"tunnels: {routes: [{host: a.b, port: 1, service: elsewhere}]}\n", 1}, {"cells: {tenants: [{tenant: a, pods: [1]}]}\n", 1},
		{"health: {checks: {tcp: {}}}\nparts: even\nservices: []\n", 0}, {"tunnels: {connect: nowhere}\ncells: {size: 0}\n", 0},
	} {
		if all, _, err := ParseFile("p.yaml", []byte(c.text)); err != nil || len(all) != c.want {
			t.Errorf("%q: %d resources, %v", c.text, len(all), err)
		}
	}
	for _, c := range []struct{ text, want string }{
		{"contracts: [", "p.yaml:1:"}, {"contract: []\n", `p.yaml:1: unknown field "contract"`}, {"contracts:\n- name: a\n  rats: 1\n", `p.yaml:3: unknown field "rats"`},
		{"contracts:\n- {name: a, match: [{tenant: a}]}\n- rate: 1\n", "p.yaml:3: contracts[1].name: missing"},
		{"contracts:\n- {name: a}\n- name: a\n", `p.yaml:3: contracts[1].name: contract "a" is at line 2 already`},
		{"contracts:\n- name: a\n  rate: -1\n", "p.yaml:3: contracts[0].rate: -1"},
		{"contracts:\n- name: a\n  attempts: {window: fast}\n", "p.yaml:3:"},
		{"services:\n- {name: s, classes: [{name: pay, effect: magic}]}\n", "p.yaml:2: services[0].classes[0].effect"},
		{"tunnels:\n  routes:\n  - {host: a.b, port: 1}\n  - {host: A.b, port: 1}\n", `p.yaml:4: tunnels.routes[1].host: route "a.b:1" is at line 3 already`},
		{"tunnels:\n  routes:\n  - {host: 1.2.3.4, port: 1}\n", "p.yaml:3: tunnels.routes[0].host: \"1.2.3.4\" is an address"},
		{"tunnels:\n  routes:\n  - {host: a, port: 1, kind: odd}\n", "p.yaml:3: tunnels.routes[0].kind"},
		{"cells:\n  tenants:\n  - {pods: [1]}\n", "p.yaml:3: cells.tenants[0].tenant: missing"},
		{"cells:\n  tenants:\n  - {tenant: a, pods: [1, 1]}\n", "p.yaml:3: cells.tenants[0].pods"},
	} {
		if _, _, err := ParseFile("p.yaml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}
