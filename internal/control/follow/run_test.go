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

// answerer is a control process that answers its calls one after the other with what the test puts in, each on a connection of its own.
func stubControl(t *testing.T) (addr string, next chan<- string, asked <-chan string) {
	answers, calls := make(chan string, 100), make(chan string, 100)
	done := make(chan struct{})
	addr = serveRaw(t, func(c net.Conn, r *http.Request) {
		select {
		case calls <- r.URL.RawQuery:
		case <-done:
			return
		}
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			untilClosed(c)
		}()
		select {
		case a := <-answers:
			io.WriteString(c, a)
		case <-gone:
			return
		}
		c.(*net.TCPConn).CloseWrite()
		<-gone
	})
	t.Cleanup(func() { close(done) })
	return addr, answers, calls
}

// encoded is an answer of a delta.
func deltaResponse(t *testing.T, d *resource.Delta) string {
	t.Helper()
	text, err := resource.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return okResponse(string(text), "Connection: close")
}

func contractResource(name string) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: resource.Contract, Name: name}, Spec: []byte(`{"name":"` + name + `"}`)}
}

// following is a follower whose sleeps pass as soon as they begin.
type testFollower struct {
	set     *resource.Set
	status  Status
	applied chan *resource.Delta
	stop    func()
}

// eager is a clock on which sleeps take no time, and deadlines never come.
type instantClock struct{ *testClock }

func (c instantClock) AfterFunc(d time.Duration, f func()) {
	if d < 2*time.Second { // a rest; calls have longer
		c.mu.Lock()
		c.now += d
		c.mu.Unlock()
		go f()
	}
}

func startFollower(t *testing.T, sources ...string) *testFollower {
	f := &testFollower{set: resource.NewSet(false), applied: make(chan *resource.Delta, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() {
		over <- Run(ctx, Options{Name: "n0", Role: "node", Sources: sources, Set: f.set, Status: &f.status, Clock: instantClock{newTestClock()},
			Draw: func() float64 { return 0.5 }, Take: func(d *resource.Delta) error {
				for _, r := range d.Put {
					if r.Name == "odd" {
						return &resource.Refusal{Key: r.Key, Field: "rate", Why: "too odd"}
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
		if err := await(t, over, "the end"); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(f.stop)
	return f
}

func await[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s does not come", what)
		panic("")
	}
}

// From nothing to a snapshot, a delta, one that is lost, one that is doubled, one against another version, a refused one and a version past
// it: what is in force is what was told, and each is counted as what it was.
func TestRunAppliesChangesAndCountsFailures(t *testing.T) {
	t.Parallel()
	addr, next, asked := stubControl(t)
	f := startFollower(t, addr)
	book := resource.NewSet(true)
	change := func(put ...resource.Resource) *resource.Delta {
		v := book.Version()
		d := book.Next(resource.Version{Epoch: 5, Number: v.Number + 1}, put, nil)
		if err := book.Apply(d); err != nil {
			t.Fatal(err)
		}
		return d
	}
	says := func(want string) {
		t.Helper()
		if got := await(t, asked, "a call"); !strings.Contains(got, want) {
			t.Fatalf("asked %s, want %s", got, want)
		}
	}
	change(contractResource("a"))
	says("name=n0&role=node")
	next <- deltaResponse(t, book.Snapshot())
	await(t, f.applied, "the snapshot")
	says("since=5.1")
	d2 := change(contractResource("b"))
	next <- deltaResponse(t, d2)
	await(t, f.applied, "a delta")
	says("since=5.2")
	next <- deltaResponse(t, d2) // doubled: passed over
	says("since=5.2")
	next <- okResponse(`{"from":"5.2","to":"5.3","sum":`, "Connection: close") // lost in the middle
	says("since=5.2")
	change(contractResource("c"))
	d4 := change(contractResource("d"))
	next <- deltaResponse(t, d4) // against a version that is not ours: the whole is asked for
	if got := await(t, asked, "a call"); strings.Contains(got, "since") {
		t.Fatalf("asked %s", got)
	}
	next <- deltaResponse(t, book.Snapshot())
	await(t, f.applied, "the snapshot")
	says("since=5.4")
	odd := change(contractResource("odd"))
	next <- deltaResponse(t, odd)
	got := await(t, asked, "a call")
	if !strings.Contains(got, "refused=5.5") || !strings.Contains(got, "since=5.4") || !strings.Contains(got, "why=contract+%22odd%22%3A+rate%3A+too+odd") {
		t.Fatalf("asked %s", got)
	}
	// A kind that is not known is refused as well, before it is taken; then a version past both puts it right.
	strange := &resource.Delta{From: odd.From, To: resource.Version{Epoch: 5, Number: 6}, Sum: odd.Sum,
		Put: []resource.Resource{{Key: resource.Key{Kind: "widget", Name: "w"}, Spec: []byte(`{}`)}}}
	next <- deltaResponse(t, strange)
	says("refused=5.6")
	jump := &resource.Delta{From: odd.From, To: resource.Version{Epoch: 1 << 62, Number: 1}, Sum: odd.Sum} // it could never be left again
	next <- deltaResponse(t, jump)
	says(fmt.Sprint("refused=", jump.To))
	d := book.Next(resource.Version{Epoch: 6, Number: 0}, nil, []resource.Key{{Kind: resource.Contract, Name: "odd"}})
	next <- deltaResponse(t, &resource.Delta{From: odd.From, To: d.To, Sum: d.Sum, Gone: d.Gone})
	await(t, f.applied, "the delta past what was refused")
	if got := await(t, asked, "a call"); !strings.Contains(got, "since=6.0") || strings.Contains(got, "refused") {
		t.Errorf("asked %s", got)
	}
	f.stop()
	s := f.status.Read()
	if s.Snapshots != 2 || s.Deltas != 2 || s.Empty != 1 || s.Failures[Malformed] != 1 || s.Failures[Unfit] != 1 || s.Failures[Refused] != 3 ||
		s.Version != d.To || s.Source != addr || !s.Refused.IsZero() || s.Calls != s.Answers+1+1 { // one was not JSON, and one is under way
		t.Errorf("%+v", s)
	}
	if !f.set.Has(contractResource("d").Key) || f.set.Has(contractResource("odd").Key) {
		t.Error("what is in force is not what was told")
	}
}

// Where a source has less than we have, holds too many watches, says no or is not there, the next one is asked.
func TestRunSwitchesSourceAfterFailure(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, answer string
		kind         Kind
	}{
		{"behind", "HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Behind},
		{"full", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Full},
		{"says no", "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", OtherStatus},
		{"closed", "", Unreachable},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{", Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, next, _ := stubControl(t)
			second, next2, asked2 := stubControl(t)
			f := startFollower(t, first, second)
			next <- c.answer
			await(t, asked2, "a call to the second")
			book := resource.NewSet(true)
			if err := book.Apply(book.Next(resource.Version{Epoch: 5}, []resource.Resource{contractResource("a")}, nil)); err != nil {
				t.Fatal(err)
			}
			next2 <- deltaResponse(t, book.Snapshot())
			await(t, f.applied, "the snapshot")
			f.stop()
			if s := f.status.Read(); s.Failures[c.kind] < 1 || s.Source != second || s.Version != book.Version() {
				t.Errorf("%+v", s)
			}
		})
	}
}

// A caller that says that it took a change and did not is a fault that is told, not a loop without a rest.
func TestRunReportsChangeThatWasNotApplied(t *testing.T) {
	t.Parallel()
	addr, next, asked := stubControl(t)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() {
		over <- Run(ctx, Options{Name: "n0", Role: "node", Sources: []string{addr}, Set: resource.NewSet(false), Clock: instantClock{newTestClock()},
			Take: func(*resource.Delta) error { return nil }})
	}()
	book := resource.NewSet(true)
	if err := book.Apply(book.Next(resource.Version{Epoch: 5}, []resource.Resource{contractResource("a")}, nil)); err != nil {
		t.Fatal(err)
	}
	await(t, asked, "a call")
	next <- deltaResponse(t, book.Snapshot())
	if got := await(t, asked, "a call"); !strings.Contains(got, "refused=5.0") {
		t.Errorf("asked %s", got)
	}
	cancel()
	if err := await(t, over, "the end"); err != nil {
		t.Error(err)
	}
	if err := Run(t.Context(), Options{Name: "n0"}); err == nil {
		t.Error("it follows nobody")
	}
}
