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

// nothing is a back and a roster that know no server.
type stubServices struct{}

func (stubServices) Attempt(context.Context, *core.Attempt) core.Result { return core.Result{} }
func (stubServices) Server(uint32) (any, bool)                          { return nil, false }
func (stubServices) Watch()                                             {}
func (stubServices) Fetch()                                             {}
func (stubServices) Now() time.Duration                                 { return time.Duration(time.Now().UnixNano()) }
func (stubServices) AfterFunc(d time.Duration, f func())                { time.AfterFunc(d, f) }

// A route that changes between the client's opening and the moment in which the core takes the request is looked up anew: the request
// has the class and the limits of the new one, or the client is told that there is none.
func TestRouteChangedBeforeRequestBeginsIsLookedUpAgain(t *testing.T) {
	before := Route{Host: "a.example.org", Port: 7, Service: "s", Opaque: true, Class: "view"}
	other := before
	other.Class, other.Limits.Idle = "buy", time.Minute
	plain := Route{Host: before.Host, Port: before.Port, Service: "s"}
	for _, k := range []struct {
		name   string
		change Change
		class  string // of the request that is taken; empty: none is
		told   string
		opaque bool
	}{
		{"it stays", Change{}, "view", "", true},
		{"another one changes", Change{Put: []Route{{Host: "b.example.org", Port: 7, Service: "s"}}}, "view", "", true},
		{"another class", Change{Put: []Route{other}}, "buy", "", true},
		{"it goes", Change{Gone: []string{"a.example.org:7"}}, "", "HTTP/1.1 403 ", true},
		{"for requests now", Change{Put: []Route{plain}}, "", "", false},
	} {
		t.Run(k.name, func(t *testing.T) {
			c, err := core.New(policy.Settings{Nodes: 1, MaxAttempts: 1, Classes: []policy.Class{
				{Name: "view", Aim: time.Second, Deadline: time.Second, Worth: 1}, {Name: "buy", Aim: time.Second, Deadline: time.Second, Worth: 1}}},
				1, core.Options{Clock: stubServices{}, Back: stubServices{}, Roster: stubServices{}, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			table, err := NewTable([]Route{before}, nil)
			if err != nil {
				t.Fatal(err)
			}
			f := NewFront(Options{Core: c, Table: table, Caller: func(net.Conn, string) contract.Caller { return contract.Caller{Tenant: "t"} }})
			var said bytes.Buffer
			in := bufio.NewReaderSize(strings.NewReader("CONNECT a.example.org:7 HTTP/1.1\r\nHost: a.example.org:7\r\n\r\n"), maxConnectHead)
			o, err := Connect(in, &said, table)
			if err != nil {
				t.Fatal(err)
			}
			c.Lock()
			table.Change(&k.change)
			c.Unlock()
			r := f.beginRequest(nil, o)
			if (r != nil) != (k.class != "") || r != nil && r.Class != k.class || o.Route.Opaque != k.opaque {
				t.Errorf("taken: %+v by %+v, want class %q", r, o.Route, k.class)
			}
			if !strings.HasPrefix(said.String(), k.told) || k.told == "" && said.Len() > 0 {
				t.Errorf("told %q, want %q", said.String(), k.told)
			}
			if r != nil && o.Route.Class != r.Class {
				t.Errorf("the request is of class %q, the route of %q", r.Class, o.Route.Class)
			}
		})
	}
}
