package scale

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/lab/standin"
)

// stubServers is a group of stub web servers in one process. Each takes a fixed time for a request, reports its queue
// in a header, and responds with how long it took. The mutex guards the fields below it.
type stubServers struct {
	addrs    []string
	server   *http.Server
	wg       sync.WaitGroup
	conns    atomic.Int64
	requests atomic.Int64

	mu          sync.Mutex
	lastRequest map[string]time.Time   // time of the last request, by server
	recent      [len(reportAges)]int64 // requests that followed the previous one at their server within each of reportAges
}

// reportAges are the ages of load reports that are counted: how long the policy uses a report, and how long a
// connection stays idle.
var reportAges = [...]time.Duration{2 * time.Second, 9 * time.Second}

// recordRequest records a request at a server.
func (s *stubServers) recordRequest(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, known := s.lastRequest[server]; known {
		for i, d := range reportAges {
			if now.Sub(before) <= d {
				s.recent[i]++
			}
		}
	}
	s.lastRequest[server] = now
}

// startStubServers starts count servers. service is how long each takes for a request, idle how long it keeps an idle
// connection open.
func startStubServers(count int, service, idle time.Duration) (*stubServers, error) {
	s := &stubServers{lastRequest: map[string]time.Time{}}
	s.server = &http.Server{IdleTimeout: idle, ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			startedAt := time.Now()
			s.requests.Add(1)
			if at, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
				s.recordRequest(at.String(), startedAt)
			}
			io.Copy(io.Discard, r.Body)
			time.Sleep(service)
			w.Header().Set("X-Load", `{"queue":0}`)
			io.WriteString(w, strconv.FormatInt(time.Since(startedAt).Nanoseconds(), 10))
		}), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.conns.Add(1)
		}
	}}
	host, err := standin.ReserveHost()
	if err != nil {
		return nil, err
	}
	for range count {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			s.stop()
			return nil, fmt.Errorf("web servers: %w", err)
		}
		s.addrs = append(s.addrs, ln.Addr().String())
		s.wg.Go(func() { s.server.Serve(ln) })
	}
	return s, nil
}

// counts returns the numbers of connections, of requests, and of requests by reportAges.
func (s *stubServers) counts() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := map[string]float64{"conns": float64(s.conns.Load()), "requests": float64(s.requests.Load())}
	for i, d := range reportAges {
		f[d.String()] = float64(s.recent[i])
	}
	return f
}

// stop stops all servers.
func (s *stubServers) stop() {
	s.server.Close()
	s.wg.Wait()
}

// clientStats counts the requests of one node's clients. The mutex guards the other fields.
type clientStats struct {
	mu           sync.Mutex
	addedSeconds []float64 // latency in seconds beyond the web server's own time, of requests that were served
	requests     int
	served       int
}

// runClients sends requests to a node until ctx ends, at a constant rate whatever their outcome, and waits for the last
// response. Requests are counted once count is set.
func (s *clientStats) runClients(ctx context.Context, addr, name string, rate float64, count *atomic.Bool) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256,
		DisableCompression: true}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	startedAt := time.Now()
	for i := 0; ; i++ {
		at := startedAt.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		wait := time.NewTimer(time.Until(at))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			wg.Wait()
			return
		}
		wg.Go(func() {
			counted := count.Load()
			added, ok := sendRequest(client, addr, fmt.Sprintf("%s-%d", name, i), "")
			if !counted {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.requests++
			if ok {
				s.served++
				s.addedSeconds = append(s.addedSeconds, added)
			}
		})
	}
}

// sendRequest sends one request for a tenant, or without a tenant if that is empty. It returns the seconds that the
// response took beyond the time that the web server reports, and whether the request was served.
func sendRequest(client *http.Client, addr, id, tenant string) (added float64, ok bool) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/api", nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", "search")
	if tenant != "" {
		req.Header.Set("X-Tenant", tenant)
	}
	req.Header.Set("X-Deadline", "3000m")
	startedAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, false
	}
	serverNS, err := strconv.ParseInt(string(text), 10, 64)
	return time.Since(startedAt).Seconds() - float64(serverNS)/1e9, err == nil
}
