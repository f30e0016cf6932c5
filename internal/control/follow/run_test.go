package follow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"portstall/internal/resource"
)

// stubControl starts a control process that responds to its calls one after the other with what the test sends on responses. Each
// call has a connection of its own. The queries of the calls arrive on calls.
func stubControl(t *testing.T) (addr string, responses chan<- string, calls <-chan string) {
	queued, queries := make(chan string, 100), make(chan string, 100)
	done := make(chan struct{})
	addr = serveRaw(t, func(c net.Conn, r *http.Request) {
		select {
		case queries <- r.URL.RawQuery:
		case <-done:
			return
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			untilClosed(c)
		}()
		select {
		case response := <-queued:
			io.WriteString(c, response)
		case <-closed:
			return
		}
		c.(*net.TCPConn).CloseWrite()
		<-closed
	})
	t.Cleanup(func() { close(done) })
	return addr, queued, queries
}

// deltaResponse returns the response with a delta.
func deltaResponse(t *testing.T, d *resource.Delta) string {
	t.Helper()
	text, err := resource.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return okResponse(string(text), "Connection: close")
}

// contractResource returns a contract without limits.
func contractResource(name string) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: resource.Contract, Name: name}, Spec: []byte(`{"name":"` + name + `"}`)}
}

// testFollower is a running follower whose delays pass at once.
type testFollower struct {
	set     *resource.Set
	status  Status
	applied chan *resource.Delta // every applied delta
	stop    func()
}

// instantClock is a clock on which delays take no time and timeouts never come.
type instantClock struct{ *testClock }

func (c instantClock) AfterFunc(d time.Duration, f func()) {
	if d < 2*time.Second { // a delay; timeouts are longer
		c.mu.Lock()
		c.now += d
		c.mu.Unlock()
		go f()
	}
}

// startFollower runs a follower of the given sources until the end of the test. It refuses resources named odd.
func startFollower(t *testing.T, sources ...string) *testFollower {
	f := &testFollower{set: resource.NewSet(false), applied: make(chan *resource.Delta, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan error, 1)
	go func() {
		finished <- Run(ctx, Options{Name: "n0", Role: "node", Sources: sources, Set: f.set, Status: &f.status, Clock: instantClock{newTestClock()},
			Random: func() float64 { return 0.5 }, Apply: func(d *resource.Delta) error {
				for _, r := range d.Put {
					if r.Name == "odd" {
						return &resource.Refusal{Key: r.Key, Field: "rate", Reason: "too odd"}
					}
				}
				if err := f.set.Apply(d); err != nil {
					return err
				}
				f.applied <- d
				return nil
			}})
	}()
	stopped := false
	f.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := await(t, finished, "the end"); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(f.stop)
	return f
}

// await returns the next value of a channel.
func await[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("")
	}
}

// The follower receives a snapshot, a delta, the same delta again, an incomplete one, one for another version, three that are refused,
// and one past those. The content in force is that of the applied ones, and each response is counted as what it was.
func TestRunAppliesChangesAndCountsFailures(t *testing.T) {
	t.Parallel()
	addr, responses, calls := stubControl(t)
	f := startFollower(t, addr)
	control := resource.NewSet(true)
	change := func(put ...resource.Resource) *resource.Delta {
		v := control.Version()
		d := control.NewDelta(resource.Version{Epoch: 5, Number: v.Number + 1}, put, nil)
		if err := control.Apply(d); err != nil {
			t.Fatal(err)
		}
		return d
	}
	requireCall := func(want string) {
		t.Helper()
		if got := await(t, calls, "a call"); !strings.Contains(got, want) {
			t.Fatalf("called with %s, want %s", got, want)
		}
	}
	change(contractResource("a"))
	requireCall("name=n0&role=node")
	responses <- deltaResponse(t, control.Snapshot())
	await(t, f.applied, "the snapshot")
	requireCall("since=5.1")
	d2 := change(contractResource("b"))
	responses <- deltaResponse(t, d2)
	await(t, f.applied, "a delta")
	requireCall("since=5.2")
	responses <- deltaResponse(t, d2) // repeated: ignored
	requireCall("since=5.2")
	responses <- okResponse(`{"from":"5.2","to":"5.3","sum":`, "Connection: close") // incomplete
	requireCall("since=5.2")
	change(contractResource("c"))
	d4 := change(contractResource("d"))
	responses <- deltaResponse(t, d4) // made for another version: a snapshot is requested
	if got := await(t, calls, "a call"); strings.Contains(got, "since") {
		t.Fatalf("called with %s", got)
	}
	responses <- deltaResponse(t, control.Snapshot())
	await(t, f.applied, "the snapshot")
	requireCall("since=5.4")
	odd := change(contractResource("odd"))
	responses <- deltaResponse(t, odd)
	got := await(t, calls, "a call")
	if !strings.Contains(got, "refused=5.5") || !strings.Contains(got, "since=5.4") || !strings.Contains(got, "why=contract+%22odd%22%3A+rate%3A+too+odd") {
		t.Fatalf("called with %s", got)
	}
	// A resource of an unknown kind is refused as well, before Apply is called. A later version past both is applied.
	unknownKind := &resource.Delta{From: odd.From, To: resource.Version{Epoch: 5, Number: 6}, Checksum: odd.Checksum,
		Put: []resource.Resource{{Key: resource.Key{Kind: "widget", Name: "w"}, Spec: []byte(`{}`)}}}
	responses <- deltaResponse(t, unknownKind)
	requireCall("refused=5.6")
	farAhead := &resource.Delta{From: odd.From, To: resource.Version{Epoch: 1 << 62, Number: 1}, Checksum: odd.Checksum} // no later version could ever replace it
	responses <- deltaResponse(t, farAhead)
	requireCall(fmt.Sprint("refused=", farAhead.To))
	d := control.NewDelta(resource.Version{Epoch: 6, Number: 0}, nil, []resource.Key{{Kind: resource.Contract, Name: "odd"}})
	responses <- deltaResponse(t, &resource.Delta{From: odd.From, To: d.To, Checksum: d.Checksum, Removed: d.Removed})
	await(t, f.applied, "the delta past the refused ones")
	if got := await(t, calls, "a call"); !strings.Contains(got, "since=6.0") || strings.Contains(got, "refused") {
		t.Errorf("called with %s", got)
	}
	f.stop()
	s := f.status.Read()
	if s.Snapshots != 2 || s.Deltas != 2 || s.EmptyResponses != 1 || s.Failures[Malformed] != 1 || s.Failures[Unfit] != 1 || s.Failures[Refused] != 3 ||
		s.Version != d.To || s.Source != addr || !s.Refused.IsZero() || s.Calls != s.Responses+1+1 { // one was not valid JSON, and one is in progress
		t.Errorf("%+v", s)
	}
	if !f.set.Has(contractResource("d").Key) || f.set.Has(contractResource("odd").Key) {
		t.Error("the content in force is not that of the applied deltas")
	}
}

// If a source is behind, has too many watches, responds with an error or is not reachable, the next one is called.
func TestRunSwitchesSourceAfterFailure(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, response string
		kind           FailureKind
	}{
		{"behind", "HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Behind},
		{"full", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Full},
		{"another status", "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", OtherStatus},
		{"closed", "", Unreachable},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{", Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, firstResponses, _ := stubControl(t)
			second, secondResponses, secondCalls := stubControl(t)
			f := startFollower(t, first, second)
			firstResponses <- c.response
			await(t, secondCalls, "a call to the second source")
			control := resource.NewSet(true)
			if err := control.Apply(control.NewDelta(resource.Version{Epoch: 5}, []resource.Resource{contractResource("a")}, nil)); err != nil {
				t.Fatal(err)
			}
			secondResponses <- deltaResponse(t, control.Snapshot())
			await(t, f.applied, "the snapshot")
			f.stop()
			if s := f.status.Read(); s.Failures[c.kind] < 1 || s.Source != second || s.Version != control.Version() {
				t.Errorf("%+v", s)
			}
		})
	}
}

// If Apply returns no error but has not applied the change, this is reported as a refusal, and the follower does not loop without a
// delay.
func TestRunReportsChangeThatWasNotApplied(t *testing.T) {
	t.Parallel()
	addr, responses, calls := stubControl(t)
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan error, 1)
	go func() {
		finished <- Run(ctx, Options{Name: "n0", Role: "node", Sources: []string{addr}, Set: resource.NewSet(false), Clock: instantClock{newTestClock()},
			Apply: func(*resource.Delta) error { return nil }})
	}()
	control := resource.NewSet(true)
	if err := control.Apply(control.NewDelta(resource.Version{Epoch: 5}, []resource.Resource{contractResource("a")}, nil)); err != nil {
		t.Fatal(err)
	}
	await(t, calls, "a call")
	responses <- deltaResponse(t, control.Snapshot())
	if got := await(t, calls, "a call"); !strings.Contains(got, "refused=5.0") {
		t.Errorf("called with %s", got)
	}
	cancel()
	if err := await(t, finished, "the end"); err != nil {
		t.Error(err)
	}
	if err := Run(t.Context(), Options{Name: "n0"}); err == nil {
		t.Error("Run without sources does not fail")
	}
}
