package tunnel

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// testTable returns a table with one route, to placement.example.org:80, and with users if wanted.
func testTable(t testing.TB, users bool) *Table {
	t.Helper()
	var known map[string][sha256.Size]byte
	if users {
		known = map[string][sha256.Size]byte{"centre": sha256.Sum256([]byte("secret")), "": sha256.Sum256([]byte("nobody"))}
	}
	table, err := NewTable([]Route{{Host: "Placement.Example.org.", Port: 80, Service: "placement"}}, known)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// socksRequest returns a SOCKS5 request by name.
func socksRequest(command byte, host string, port uint16) string {
	return string([]byte{5, command, 0, 3, byte(len(host))}) + host + string([]byte{byte(port >> 8), byte(port)})
}

// trailing is what a client sends after its request, which must stay unread.
const trailing = "GET / HTTP/1.1\r\n"

// Valid and invalid input: what is written to the client, byte by byte, which error results, and that nothing after the
// request is read.
func TestSOCKS5(t *testing.T) {
	fail := func(code byte) string { return string([]byte{5, code, 0, 1, 0, 0, 0, 0, 0, 0}) }
	password := func(user, password string) string {
		return "\x01" + string(rune(len(user))) + user + string(rune(len(password))) + password
	}
	good := socksRequest(1, "placement.example.org", 80)
	for _, c := range []struct {
		name, in string
		users    bool
		out      string
		err      error
	}{
		{"no password", "\x05\x01\x00" + good, false, "\x05\x00", nil},
		{"no password among other methods", "\x05\x03\x01\x02\x00" + good, false, "\x05\x00", nil},
		{"upper-case name with trailing dot", "\x05\x01\x00" + socksRequest(1, "PLACEMENT.example.org.", 80), false, "\x05\x00", nil},
		{"a password", "\x05\x02\x00\x02" + password("centre", "secret") + good, true, "\x05\x02\x01\x00", nil},
		{"a wrong password", "\x05\x01\x02" + password("centre", "guess"), true, "\x05\x02\x01\x01", ErrCredentials},
		{"an unknown user", "\x05\x01\x02" + password("who", "secret"), true, "\x05\x02\x01\x01", ErrCredentials},
		{"no supported method", "\x05\x01\x01", false, "\x05\xff", ErrAuthMethod},
		{"no methods at all", "\x05\x00", false, "\x05\xff", ErrAuthMethod},
		{"no password where one is required", "\x05\x01\x00", true, "\x05\xff", ErrAuthMethod},
		{"other password version", "\x05\x01\x02\x02", true, "\x05\x02", ErrMalformed},
		{"SOCKS4", "\x04\x01\x00\x50", false, "", ErrVersion},
		{"other version in request", "\x05\x01\x00\x04\x01\x00\x01", false, "\x05\x00", ErrVersion},
		{"BIND", "\x05\x01\x00" + socksRequest(2, "placement.example.org", 80), false, "\x05\x00" + fail(7), ErrCommand},
		{"UDP ASSOCIATE", "\x05\x01\x00" + socksRequest(3, "placement.example.org", 80), false, "\x05\x00" + fail(7), ErrCommand},
		{"unknown name", "\x05\x01\x00" + socksRequest(1, "example.org", 80), false, "\x05\x00" + fail(2), ErrNoRoute},
		{"unknown port", "\x05\x01\x00" + socksRequest(1, "placement.example.org", 81), false, "\x05\x00" + fail(2), ErrNoRoute},
		{"an address", "\x05\x01\x00\x05\x01\x00\x01\x7f\x00\x00\x01\x00\x50", false, "\x05\x00" + fail(2), ErrNoRoute},
		{"IPv6 address", "\x05\x01\x00\x05\x01\x00\x04" + strings.Repeat("\x00", 16) + "\x00\x50", false, "\x05\x00" + fail(2), ErrNoRoute},
		{"an address as a name", "\x05\x01\x00" + socksRequest(1, "127.0.0.1", 80), false, "\x05\x00" + fail(2), ErrNoRoute},
		{"unknown address type", "\x05\x01\x00\x05\x01\x00\x09", false, "\x05\x00" + fail(8), ErrMalformed},
		{"an empty name", "\x05\x01\x00" + socksRequest(1, "", 80), false, "\x05\x00" + fail(2), ErrNoRoute},
	} {
		var out bytes.Buffer
		in := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(c.in+trailing)), maxConnectHead)
		request, err := SOCKS5(in, &out, testTable(t, c.users))
		if !errors.Is(err, c.err) || (err == nil) != (c.err == nil) || out.String() != c.out {
			t.Errorf("%s: error %v, wrote %q; want error %v, %q", c.name, err, out.String(), c.err, c.out)
		}
		if err != nil {
			continue
		}
		out.Reset()
		request.Accept()
		if unread, _ := io.ReadAll(in); string(unread) != trailing || out.String() != fail(0) || request.Route.Service != "placement" {
			t.Errorf("%s: Accept wrote %q, unread %q, route %+v", c.name, out.String(), unread, request.Route)
		}
		out.Reset()
		if request.Refuse(503, time.Second, ""); out.String() != fail(1) {
			t.Errorf("%s: Refuse wrote %q", c.name, out.String())
		}
	}
	// A request truncated anywhere is an error.
	complete := "\x05\x01\x02" + password("centre", "secret") + good
	for i := range len(complete) {
		if _, err := SOCKS5(bufio.NewReader(strings.NewReader(complete[:i])), io.Discard, testTable(t, true)); err == nil {
			t.Errorf("no error for a request truncated after %d bytes", i)
		}
	}
}

// Valid and invalid CONNECT requests: the status that is written, which error results, and that nothing after the head
// is read.
func TestConnect(t *testing.T) {
	auth := func(text string) string {
		return "Proxy-Authorization: Basic " + base64.StdEncoding.EncodeToString([]byte(text)) + "\r\n"
	}
	head := func(target, headers string) string {
		return "CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n" + headers + "\r\n"
	}
	for _, c := range []struct {
		name, in string
		users    bool
		status   string // of the response; empty: none yet
		err      error
	}{
		{"a route", head("placement.example.org:80", ""), false, "", nil},
		{"a password", head("placement.example.org:80", auth("centre:secret")), true, "", nil},
		{"a wrong password", head("placement.example.org:80", auth("centre:guess")), true, "407", ErrCredentials},
		{"no password", head("placement.example.org:80", ""), true, "407", ErrCredentials},
		{"malformed credential", head("placement.example.org:80", "Proxy-Authorization: Basic %%%\r\n"), true, "407", ErrCredentials},
		{"another scheme", head("placement.example.org:80", "Proxy-Authorization: Bearer x\r\n"), true, "407", ErrCredentials},
		{"unknown name", head("example.org:80", ""), false, "403", ErrNoRoute},
		{"an address", head("127.0.0.1:80", ""), false, "403", ErrNoRoute},
		{"IPv6 address", head("[::1]:80", ""), false, "403", ErrNoRoute},
		{"no port", head("placement.example.org", ""), false, "400", ErrMalformed},
		{"invalid port", head("placement.example.org:99999", ""), false, "400", ErrMalformed},
		{"another method", "GET http://placement.example.org/ HTTP/1.1\r\nHost: placement.example.org\r\n\r\n", false, "405", ErrCommand},
		{"CONNECT with content", head("placement.example.org:80", "Content-Length: 3\r\n"), false, "400", ErrMalformed},
		{"SOCKS5 instead of HTTP", "\x05\x01\x00\r\n\r\n", false, "400", ErrMalformed},
		{"head without end", "CONNECT placement.example.org:80 HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxConnectHead), false, "400", ErrMalformed},
	} {
		var out bytes.Buffer
		in := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(c.in+trailing)), 2*maxConnectHead)
		request, err := Connect(in, &out, testTable(t, c.users))
		if !errors.Is(err, c.err) || (err == nil) != (c.err == nil) || !strings.HasPrefix(strings.TrimPrefix(out.String(), "HTTP/1.1 "), c.status) ||
			(c.status == "") != (out.Len() == 0) {
			t.Errorf("%s: error %v, wrote %q; want error %v, %q", c.name, err, out.String(), c.err, c.status)
		}
		if err != nil {
			continue
		}
		request.Accept()
		if unread, _ := io.ReadAll(in); string(unread) != trailing || !strings.HasPrefix(out.String(), "HTTP/1.1 200 ") || strings.Contains(out.String(), "Content-Length") {
			t.Errorf("%s: Accept wrote %q, unread %q", c.name, out.String(), unread)
		}
		out.Reset()
		if request.Refuse(503, time.Second, ""); !strings.HasPrefix(out.String(), "HTTP/1.1 503 ") {
			t.Errorf("%s: Refuse wrote %q", c.name, out.String())
		}
	}
}

// The error for an invalid table names the route and the field at fault.
func TestInvalidTablesAreRejected(t *testing.T) {
	for _, c := range []struct {
		routes []Route
		want   string
	}{
		{[]Route{{Host: "127.0.0.1", Port: 80}}, "routes[0].host: \"127.0.0.1\" is an address"},
		{[]Route{{Host: "[::1]", Port: 80}}, "is an address"},
		{[]Route{{Host: "a b", Port: 80}}, "is not a host name"},
		{[]Route{{Host: "", Port: 80}}, "is not a host name"},
		{[]Route{{Host: "a"}}, "routes[0].port: missing"},
		{[]Route{{Host: "a", Port: 80}, {Host: "A.", Port: 80}}, "routes[1].host: duplicate route to a:80"},
	} {
		if _, err := NewTable(c.routes, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.routes, err, c.want)
		}
	}
}

// Any input is handled without a panic, and a tunnel is requested only to a route that exists.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("\x05\x01\x00" + socksRequest(1, "placement.example.org", 80)))
	f.Add([]byte("CONNECT placement.example.org:80 HTTP/1.1\r\nHost: x\r\n\r\n"))
	table := testTable(f, false)
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, read := range []func(*bufio.Reader, io.Writer, *Table) (*Request, error){SOCKS5, Connect} {
			if request, err := read(bufio.NewReaderSize(bytes.NewReader(text), maxConnectHead), io.Discard, table); err == nil && request.Route.Service != "placement" {
				t.Errorf("%q was accepted with route %+v", text, request.Route)
			}
		}
	})
}
