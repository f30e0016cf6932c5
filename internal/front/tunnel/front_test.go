package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"portstall/internal/contract"
	"portstall/internal/core"
	"portstall/policy"
)

// stubServices is a clock, a sender and a discovery service that know no web server.
type stubServices struct{}

func (stubServices) Attempt(context.Context, *core.Attempt) core.Result { return core.Result{} }
func (stubServices) Server(uint32) (any, bool)                          { return nil, false }
func (stubServices) Watch()                                             {}
func (stubServices) Fetch()                                             {}
func (stubServices) Now() time.Duration                                 { return time.Duration(time.Now().UnixNano()) }
func (stubServices) AfterFunc(d time.Duration, f func())                { time.AfterFunc(d, f) }

// A route that changes between the client's request and the moment in which the core accepts it must be looked up
// again: the request gets the class and limits of the new route, or the client is refused.
func TestRouteChangedBeforeRequestBeginsIsLookedUpAgain(t *testing.T) {
	before := Route{Host: "a.example.org", Port: 7, Service: "s", Opaque: true, Class: "view"}
	other := before
	other.Class, other.Limits.Idle = "buy", time.Minute
	plain := Route{Host: before.Host, Port: before.Port, Service: "s"}
	for _, test := range []struct {
		name     string
		change   Change
		class    string // of the request that the core accepts; empty: none is accepted
		response string // to the client; empty: none
		opaque   bool
	}{
		{"route unchanged", Change{}, "view", "", true},
		{"another route added", Change{Put: []Route{{Host: "b.example.org", Port: 7, Service: "s"}}}, "view", "", true},
		{"class changed", Change{Put: []Route{other}}, "buy", "", true},
		{"route removed", Change{Removed: []string{"a.example.org:7"}}, "", "HTTP/1.1 403 ", true},
		{"no longer opaque", Change{Put: []Route{plain}}, "", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, err := core.New(policy.Settings{Nodes: 1, MaxAttempts: 1, Classes: []policy.Class{
				{Name: "view", TargetLatency: time.Second, Deadline: time.Second, Value: 1}, {Name: "buy", TargetLatency: time.Second, Deadline: time.Second, Value: 1}}},
				1, core.Options{Clock: stubServices{}, Sender: stubServices{}, Discovery: stubServices{}, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			table, err := NewTable([]Route{before}, nil)
			if err != nil {
				t.Fatal(err)
			}
			f := NewFront(Options{Core: c, Table: table, Caller: func(net.Conn, string) contract.Caller { return contract.Caller{Tenant: "t"} }})
			var written bytes.Buffer
			in := bufio.NewReaderSize(strings.NewReader("CONNECT a.example.org:7 HTTP/1.1\r\nHost: a.example.org:7\r\n\r\n"), maxConnectHead)
			request, err := Connect(in, &written, table)
			if err != nil {
				t.Fatal(err)
			}
			c.Lock()
			table.ApplyChange(&test.change)
			c.Unlock()
			r := f.beginRequest(nil, request)
			if (r != nil) != (test.class != "") || r != nil && r.Class != test.class || request.Route.Opaque != test.opaque {
				t.Errorf("accepted %+v by route %+v, want class %q", r, request.Route, test.class)
			}
			if !strings.HasPrefix(written.String(), test.response) || test.response == "" && written.Len() > 0 {
				t.Errorf("response %q, want %q", written.String(), test.response)
			}
			if r != nil && request.Route.Class != r.Class {
				t.Errorf("the request is of class %q, the route of %q", r.Class, request.Route.Class)
			}
		})
	}
}
