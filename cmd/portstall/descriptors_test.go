package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// idleClients are clients that connect, send nothing or one text, hold the connection for as long as they can, and
// connect again once it is closed.
type idleClients struct {
	closedByServer atomic.Int64 // number of connections that the node closed
	stop           chan struct{}
	wg             sync.WaitGroup
}

// startIdleClients starts clients that connect to an address and send this text. They end with the test.
func startIdleClients(t *testing.T, addr string, clients int, text string) *idleClients {
	s := &idleClients{stop: make(chan struct{})}
	for range clients {
		s.wg.Go(func() { s.holdConnection(addr, text) })
	}
	t.Cleanup(func() {
		close(s.stop)
		s.wg.Wait()
	})
	return s
}

// holdConnection is the loop of one client.
func (s *idleClients) holdConnection(addr, text string) {
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		c, err := net.Dial("tcp", addr)
		if err != nil { // the node restarts
			time.Sleep(5 * time.Millisecond)
			continue
		}
		closed := make(chan struct{})
		go func() {
			select {
			case <-s.stop:
				c.Close()
			case <-closed:
			}
		}()
		io.WriteString(c, text)
		io.Copy(io.Discard, c)
		close(closed)
		c.Close()
		s.closedByServer.Add(1)
	}
}

// delayedDiscovery is a discovery that does not listen until open is called.
type delayedDiscovery struct {
	addr     string
	list     string
	listSent chan struct{} // closed once it has sent its list
}

func newDelayedDiscovery(t *testing.T, list string) *delayedDiscovery {
	return &delayedDiscovery{freeAddr(t), list, make(chan struct{})}
}

// open starts to listen. It sends the list to callers with an older version, and holds the watches of callers that have
// it.
func (d *delayedDiscovery) open(t *testing.T, version string) {
	t.Helper()
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	var once sync.Once
	s := &httptest.Server{Listener: ln, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == version {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, d.list)
		once.Do(func() { close(d.listSent) })
	})}}
	s.Start()
	t.Cleanup(s.Close)
}

// persistentClient is a client that keeps its connection, and opens a new one if the node closed it between two
// requests.
type persistentClient struct {
	addr             string
	conn             net.Conn
	in               *bufio.Reader
	lastID           int // number in the latest request's id
	refusedWhileHeld int // requests that were refused on a connection that was open before
}

// request sends a request and returns the status and body of the response of a web server. It uses the open connection,
// and tries again on a new one only in two cases: the node closed the connection without a response, or it refused the
// request with "too many connections". A new connection may be refused like any idle client's. An open one may be
// refused if the node closes it, to accept another connection, at the moment at which its request arrives (a test in
// internal/node forces this); that moment is so short that a second such refusal fails the test.
func (client *persistentClient) request(t *testing.T) (int, string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		wasOpen := client.conn != nil
		if !wasOpen {
			c, err := net.Dial("tcp", client.addr)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			t.Cleanup(func() { c.Close() })
			client.conn, client.in = c, bufio.NewReader(c)
		}
		client.lastID++
		client.conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(client.conn, "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: known-%d\r\nX-Class: a\r\nX-Deadline: 50000m\r\n\r\n", client.lastID)
		if _, err := client.in.Peek(1); err != nil {
			client.conn.Close()
			client.conn = nil
			continue
		}
		resp, err := http.ReadResponse(client.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Close {
			client.conn.Close()
			client.conn = nil
		}
		if resp.Close && resp.StatusCode == http.StatusServiceUnavailable && string(body) == "too many connections\n" {
			if wasOpen {
				client.refusedWhileHeld++
			}
			if client.refusedWhileHeld > 1 {
				t.Fatalf("refused %d times on an open connection", client.refusedWhileHeld)
			}
			time.Sleep(time.Millisecond)
			continue
		}
		return resp.StatusCode, string(body)
	}
	t.Fatal("the persistent client gets no response")
	return 0, ""
}

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Idle clients take all connections that they can get while discovery is down, also on the management address. Once
// discovery is back the node must get its list and reliably connect to the new web server in it: no system call fails
// for lack of a descriptor, neither for discovery, nor for a web server, nor for the file that is read on SIGHUP. The
// same holds for a process that starts while such clients connect, and for a change to another discovery. The test runs
// with a configured limit equal to the system's, and with one above it.
func TestIdleClientsLeaveDescriptorsForNode(t *testing.T) {
	bin := buildBinary(t)
	for _, configured := range []int{72, 1024} {
		t.Run(fmt.Sprintf("%d sockets configured", configured), func(t *testing.T) {
			t.Parallel()
			const limit = 72
			serve := func(name string) *httptest.Server {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, name) }))
				t.Cleanup(s.Close)
				return s
			}
			entry := func(s *httptest.Server, id, state string) string {
				return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"n","kind":"k","cell":0,"state":%q,"weight":1,"started_ms":0}`,
					id, s.Listener.Addr().String(), state)
			}
			a, b, c := serve("a"), serve("b"), serve("c")
			list := func(version int, servers ...string) string {
				return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(servers, ","))
			}
			file := func(discovery string) string {
				return fmt.Sprintf(`{"seed":"8c1f30d27a5be964","discovery":%q,"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
					discovery, configured, list(1, entry(a, "s-a", "Ready")), settingsJSON)
			}
			first := newDelayedDiscovery(t, list(2, entry(a, "s-a", "Terminating"), entry(b, "s-b", "Ready")))
			second := newDelayedDiscovery(t, list(3, entry(a, "s-a", "Terminating"), entry(b, "s-b", "Terminating"), entry(c, "s-c", "Ready")))
			p := &process{addr: freeAddr(t), config: writeConfig(t, file(first.addr))}
			launch := func() {
				p.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$1" node`, fmt.Sprint(limit), bin)
				p.startAndWaitReady(t, "GW_LISTEN="+p.addr, "GW_DISCOVERY="+first.addr)
			}
			waitUntilFull := func(s *idleClients) {
				t.Helper()
				for end, from := time.Now().Add(testTimeout), s.closedByServer.Load(); s.closedByServer.Load() < from+limit; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("the node never closes a connection of idle clients; %d descriptors are open", openDescriptors(t, p.cmd.Process.Pid))
					}
				}
			}
			client := &persistentClient{addr: p.addr}
			requireServedBy := func(by string) {
				t.Helper()
				for end := time.Now().Add(testTimeout); ; {
					status, body := client.request(t)
					if status != 200 {
						t.Fatalf("the persistent client gets %d %q\n%s", status, body, p.log.String())
					}
					if body == by {
						return
					}
					if time.Now().After(end) {
						t.Fatalf("still served by %s\n%s", body, p.log.String())
					}
				}
			}
			waitForList := func(d *delayedDiscovery) {
				t.Helper()
				select {
				case <-d.listSent:
				case <-time.After(testTimeout):
					t.Fatalf("discovery receives no request\n%s", p.log.String())
				}
			}

			launch()
			requireServedBy("a")
			idle := startIdleClients(t, p.addr, 4*limit, "")
			startIdleClients(t, p.mgmt, limit, "")
			waitUntilFull(idle)
			requireServedBy("a")
			p.cmd.Process.Kill()
			<-p.exited
			launch() // while the idle clients connect again
			waitUntilFull(idle)
			requireServedBy("a")
			first.open(t, "2")
			waitForList(first)
			requireServedBy("b")

			if err := os.WriteFile(p.config, []byte(file(second.addr)), 0o600); err != nil {
				t.Fatal(err)
			}
			waitUntilFull(idle)
			if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(testTimeout); !strings.Contains(p.log.String(), "following another discovery"); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("SIGHUP has no effect\n%s", p.log.String())
				}
			}
			second.open(t, "3")
			waitForList(second)
			requireServedBy("c")
			if strings.Contains(p.log.String(), syscall.EMFILE.Error()) {
				t.Errorf("a system call failed for lack of a descriptor\n%s", p.log.String())
			}
			if n := openDescriptors(t, p.cmd.Process.Pid); n > limit {
				t.Errorf("%d descriptors are open, over the limit", n)
			}
		})
	}
}
