package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A new process takes over from the old one while clients ask without a break: no request is turned away, a web server
// out by hand stays out, and the old process ends by itself. A process that died is no hindrance to the next.
func TestUpgrade(t *testing.T) {
	var out atomic.Int64 // requests at the web server that is out
	backend := func(hits *atomic.Int64) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hits.Add(1)
			io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	known := fmt.Sprintf(`{"version":2,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"n","kind":"k","state":"Ready"},`+
		`{"id":"s-2","addr":%q,"zone":"n","kind":"k","state":"Ready"}]}`, backend(new(atomic.Int64)), backend(&out))
	more := processes(t, known)
	next := func() *program {
		p, env := more()
		p.run(t, env...)
		return p
	}
	old := next()
	old.call(t, "/-/web-servers/s-2/disable")
	before := out.Load()

	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					old.ask(t, fmt.Sprintf("r-%d-%d", i, n))
				}
			}
		}()
	}
	young := next()
	select {
	case err := <-old.exited:
		if err != nil {
			t.Errorf("the old process: %v\n%s", err, old.log.String())
		}
	case <-time.After(patience):
		t.Error("the old process does not end")
	}
	close(stop)
	clients.Wait()
	if n := out.Load() - before; n > 0 {
		t.Errorf("%d requests went to the web server that is out by hand", n)
	}
	young.call(t, "/-/web-servers/s-2/enable")
	young.cmd.Process.Kill()
	<-young.exited
	last := next()
	last.ask(t, "last")
	last.leave(t)
}
