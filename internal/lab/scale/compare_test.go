package scale

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	deployscale "portstall/deploy/lab/scale"
)

// Compares two builds: each node serves requests in each round, all under named contracts; changes are made in every
// other round, some of them to contracts that requests then fall under; and no process is left behind, also after an
// error.
func TestCompareBuilds(t *testing.T) {
	text, _ := deployscale.Read("small")
	p, err := Parse("small", text)
	if err != nil {
		t.Fatal(err)
	}
	p.Bound = 4 * time.Minute // the result must not depend on how busy the machine is
	rows, err := CompareBuilds(t.Context(), p, Options{Binary: testBinary}, CompareOptions{OldBinary: testBinary, Contracts: 200,
		RoundLength: 3 * time.Second, Rounds: 1, ChangesPerSecond: 10})
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != 6 {
		t.Fatalf("%d rows, want two for each of three nodes", len(rows))
	}
	for i, r := range rows {
		if r.Asked == 0 || r.Lost > 0 || !(r.P50 > 0 && r.P99 >= r.P50) || r.Changing != (i%2 == 1) ||
			r.Changing != (r.Made > 0) || r.Changing != (r.Met > 0) ||
			r.Changing != (r.Rate > 0) || r.Changing != (r.Change > 0) || r.Met > r.Made {
			t.Errorf("row %d: %+v", i, r)
		}
	}
	var out strings.Builder
	if err := PrintComparison(&out, rows); err != nil || strings.Count(out.String(), "\n") != 7 {
		t.Errorf("%v\n%s", err, out.String())
	}
	if left := runningChildren(t); len(left) > 0 {
		t.Errorf("processes left behind: %v", left)
	}
	if _, err := CompareBuilds(t.Context(), p, Options{Binary: testBinary}, CompareOptions{OldBinary: "/nowhere", Contracts: 200,
		RoundLength: time.Second, Rounds: 1}); err == nil {
		t.Error("no error although the older build does not exist")
	}
	if left := runningChildren(t); len(left) > 0 {
		t.Errorf("processes left behind after an error: %v", left)
	}
}

// A node that admits requests without a tenant would give figures that no contract applies to: the comparison refuses
// to start.
func TestCompareBuildsNeedsNamedContracts(t *testing.T) {
	for _, open := range []bool{false, true} {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Tenant") == "" && !open {
				w.WriteHeader(http.StatusForbidden)
			}
			fmt.Fprint(w, 1)
		}))
		addr := strings.TrimPrefix(node.URL, "http://")
		s := &comparison{client: node.Client(), nodes: []*comparedNode{{realNode: &realNode{addr: addr}}}}
		if err := s.checkNamedContracts(); errors.Is(err, errUnnamedAdmitted) != open {
			t.Errorf("node without a named contract for all requests %v: error %v", open, err)
		}
		if _, ok := sendRequest(s.client, addr, "id", tenantName(3)); !ok {
			t.Errorf("open %v: a tenant's request is not admitted", open)
		}
		node.Close()
	}
}

// Each tenant has one request before any tenant has a second, however many tenants there are.
func TestEachTenantBeforeAnyRepeats(t *testing.T) {
	for _, n := range []int{1, 2, 200, 7919, 2 * 7919, 17_000} {
		s := &comparison{CompareOptions: CompareOptions{Contracts: n}}
		seen := map[int]bool{}
		for k := range int64(n) {
			seen[s.tenantOf(k)] = true
		}
		if len(seen) != n || s.tenantOf(int64(n)) != s.tenantOf(0) {
			t.Errorf("%d tenants: %d of them had a request", n, len(seen))
		}
	}
}

// Changes are made at scheduled times, not a fixed time after the one before: a slow change must not lower their rate.
func TestChangesKeepTheirRate(t *testing.T) {
	const due = 25
	r := &run{dir: t.TempDir(), plan: &Plan{Size: Size{Tenants: 100, Services: 1}}}
	files, err := r.newConfigFiles(100, false)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	reloads := 0
	writer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reloads++; reloads == due {
			stop()
		}
		fmt.Fprint(w, `{"version":"1.2","changed":true}`)
	}))
	defer writer.Close()
	s := &comparison{CompareOptions: CompareOptions{Contracts: 100, ChangesPerSecond: 0.1}, run: r, requestInterval: time.Second,
		files:  files,
		writer: &controlProcess{child: &child{}, addr: strings.TrimPrefix(writer.URL, "http://")}}
	// All changes are overdue, 10 s apart: waiting after each would take minutes.
	made, met, _, err := s.makeChanges(ctx, time.Now().Add(-(due-1)*10*time.Second-5*time.Second))
	if err != nil || made != due || reloads != due || met != 0 {
		t.Errorf("%d changes made, %d reloads, %d changes followed by a request, want %d and none followed by a request: %v",
			made, reloads, met, due, err)
	}
}
