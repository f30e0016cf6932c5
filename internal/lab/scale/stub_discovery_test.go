package scale

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// getEndpoints calls the stub once and returns the status and the response.
func getEndpoints(t *testing.T, addr, query string) (int, endpointsResponse) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/v1/endpoints" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var a endpointsResponse
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, &a); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, a
}

// startStubDiscovery starts a stub with the given number of servers in three zones.
func startStubDiscovery(t *testing.T, servers int) (*StubDiscovery, string) {
	t.Helper()
	r := NewStubDiscovery(servers, 3, nil)
	addr, err := r.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r, addr
}

// A call gets the full list, a watch the changes since its version, and a watch whose version is unknown or dropped the
// full list.
func TestStubDiscoveryVersions(t *testing.T) {
	r, addr := startStubDiscovery(t, 10)
	_, a := getEndpoints(t, addr, "")
	if a.Version != 1 || !a.Full || len(a.Servers) != 10 || a.Servers[4].Zone != "zone-01" {
		t.Fatalf("the full list: %+v", a)
	}
	if _, a := getEndpoints(t, addr, "?since=1&timeout_ms=1"); a.Version != 1 || a.Full || len(a.Servers) != 0 {
		t.Errorf("a watch without changes: %+v", a)
	}
	if v := r.SetState("Terminating", false, 3); v != 2 {
		t.Errorf("wrong version %d", v)
	}
	r.SetState("Gone", false, 3, 4)
	_, a = getEndpoints(t, addr, "?since=1")
	if a.Version != 4 || a.Full || len(a.Servers) != 3 ||
		a.Servers[0].State != "Terminating" || a.Servers[2].ID != "web-00004" {
		t.Errorf("the changes since 1: %+v", a)
	}
	if _, a := getEndpoints(t, addr, "?since=3"); len(a.Servers) != 1 || a.Full {
		t.Errorf("the changes since 3: %+v", a)
	}
	if _, a := getEndpoints(t, addr, ""); len(a.Servers) != 8 {
		t.Errorf("the full list without two servers has %d", len(a.Servers))
	}
	if _, a := getEndpoints(t, addr, "?since=9"); !a.Full || a.Version != 4 {
		t.Errorf("a version that never existed: %+v", a)
	}
	if v := r.SetStateAsSnapshot("Ready", 3); v != 5 {
		t.Errorf("wrong version %d", v)
	}
	if _, a := getEndpoints(t, addr, "?since=4"); !a.Full || a.Version != 5 || len(a.Servers) != 9 {
		t.Errorf("a version that was dropped: %+v", a)
	}
	if v, _ := r.HighestSince(); v != 9 {
		t.Errorf("highest version asked since: %d, want 9", v)
	}
	if calls, bytes := r.Totals(); calls != 7 || bytes < 7*100 {
		t.Errorf("%d calls, %d bytes, want 7 calls of 100 bytes or more", calls, bytes)
	}
}

// The number of kept changes is limited: a watch since an older version gets the full list.
func TestStubDiscoveryKeepsBoundedChanges(t *testing.T) {
	r, addr := startStubDiscovery(t, 2)
	for range maxKeptChanges + 5 {
		r.SetState("Ready", true, 1)
	}
	last := r.Version()
	if _, a := getEndpoints(t, addr, "?since=6"); a.Full || len(a.Servers) != maxKeptChanges {
		t.Errorf("the oldest kept version: full %v, %d servers", a.Full, len(a.Servers))
	}
	if _, a := getEndpoints(t, addr, "?since=5"); !a.Full || a.Version != last {
		t.Errorf("a version older than what is kept: full %v, version %d", a.Full, a.Version)
	}
}

// A watch waits until there is a change, and gets status 503 if discovery becomes unavailable while it waits.
func TestStubDiscoveryWatch(t *testing.T) {
	r, addr := startStubDiscovery(t, 2)
	for _, c := range []struct {
		change func()
		status int
		lines  int
	}{{func() { r.SetState("Gone", false, 0) }, http.StatusOK, 1}, {func() { r.SetDown(true) },
		http.StatusServiceUnavailable, 0}} {
		calls, _ := r.Totals()
		type got struct {
			status int
			endpointsResponse
		}
		done := make(chan got, 1)
		since := r.Version()
		go func() {
			resp, err := http.Get("http://" + addr + "/v1/endpoints?timeout_ms=60000&since=" + string('0'+rune(since)))
			if err != nil {
				done <- got{}
				return
			}
			defer resp.Body.Close()
			var a endpointsResponse
			json.NewDecoder(resp.Body).Decode(&a)
			done <- got{resp.StatusCode, a}
		}()
		for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			if n, _ := r.Totals(); n > calls {
				break // the watch has arrived
			}
			if time.Now().After(end) {
				t.Fatal("the watch has not arrived")
			}
		}
		c.change()
		if g := <-done; g.status != c.status || len(g.Servers) != c.lines {
			t.Errorf("response %+v, want status %d", g, c.status)
		}
	}
	if status, _ := getEndpoints(t, addr, ""); status != http.StatusServiceUnavailable {
		t.Errorf("unavailable: status %d", status)
	}
	r.SetDown(false)
	if status, a := getEndpoints(t, addr, ""); status != http.StatusOK || len(a.Servers) != 1 {
		t.Errorf("available again: status %d, %+v", status, a)
	}
	big := NewStubDiscovery(600, 3, nil)
	for kind, want := range map[string]int{"zone": 200, "rack": serversPerRack, "machine": 1} {
		which := big.FailureGroup(kind)
		zones := map[string]bool{}
		for _, i := range which {
			zones[big.entries[i].Zone] = true
		}
		if len(which) != want || len(zones) != 1 {
			t.Errorf("a %s has %d servers in %d zones", kind, len(which), len(zones))
		}
	}
	if r.PeakCalls(time.Now().Add(-time.Minute)) < 1 || len(r.FailureGroup("zone")) != 1 {
		t.Error("wrong number of calls per second or of servers in a zone")
	}
}
