// Command case3 plays web servers that give whole and valid answers of up to 64 KiB in pieces: some slowly, some in small
// chunks. It checks that each client gets the answer that a web server gave to its request.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	deadline = 6 * time.Second // of the class place-accept, and of each request
	// slack is the page's half second after a request's time, within which its answer only earns nothing, and the 50 ms
	// of sockets.
	slack   = 550 * time.Millisecond
	perForm = 3 // requests
	servers = 3

	// A slow answer has this many bytes, and comes at 64 kB a second in pieces of pieceSize.
	slowSize, pieceSize = 60_000, 20_000
	pieceTime           = pieceSize * time.Second / 64_000
	// An answer in small chunks has this many bytes, one in each chunk. It is written at once.
	smallSize = 30_000
)

// form is a form in which the web servers answer. It is told by the request's key.
type form struct {
	name string
	size int
	// write writes an answer. With trouble false the body comes in one piece.
	write func(c io.Writer, body []byte, trouble bool) error
}

var forms = []form{
	{"slow", slowSize, func(c io.Writer, body []byte, trouble bool) error {
		text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n", len(body))
		if !trouble {
			_, err := c.Write(append(text, body...))
			return err
		}
		for begun := 0; begun < len(body); begun += pieceSize {
			if begun > 0 {
				time.Sleep(pieceTime)
			}
			if _, err := c.Write(append(text, body[begun:begun+pieceSize]...)); err != nil {
				return err
			}
			text = nil
		}
		return nil
	}},
	{"small", smallSize, func(c io.Writer, body []byte, trouble bool) error {
		text := bytes.NewBufferString("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk := len(body)
		if trouble {
			chunk = 1
		}
		for begun := 0; begun < len(body); begun += chunk {
			fmt.Fprintf(text, "%x\r\n%s\r\n", chunk, body[begun:begun+chunk])
		}
		text.WriteString("0\r\n\r\n")
		_, err := c.Write(text.Bytes())
		return err
	}},
}

var record *rig.Record

func main() {
	record = rig.NewRecord(filepath.Join(rig.Dir(), "record.txt"))
	record.Say("case 3, trouble %v", rig.Trouble())
	var list []rig.Server
	for i := range servers {
		id := fmt.Sprintf("s-%d", i+1)
		list = append(list, rig.Server{ID: id, Addr: webServer(id), Zone: "austin-dc1", Kind: "std-2c", Cell: 1, State: "Ready", Weight: 1})
	}
	discovery := rig.Discovery(list)
	var lost []string
	for _, f := range forms {
		n := rig.StartNode(record, "n-"+f.name, discovery, list, rig.Austin(rig.AustinClasses())) // one that has seen no trouble yet
		for i := range perForm {
			if text := client(n, f, i); text != "" {
				lost = append(lost, text)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	rig.StopNodes()
	if len(lost) > 0 {
		for _, text := range lost {
			record.Say("lost: %s", text)
		}
		record.Say("BROKEN: the answers that web servers gave were cut off")
		os.Exit(1)
	}
	record.Say("held")
}

// answerTo returns the body of a web server's answer to a request.
func answerTo(id string, size int) []byte {
	return bytes.Repeat([]byte("accepted "+id+"\n"), size)[:size]
}

// client sends one place-accept and returns what is wrong with its answer, empty for nothing.
func client(n *rig.Node, f form, i int) string {
	conn, err := net.Dial("tcp", n.Addr)
	if err != nil {
		rig.Skip("connect: %v", err)
	}
	defer conn.Close()
	now := time.Now().UnixNano()
	r := &rig.Request{ID: fmt.Sprintf("r-%s-%d-%d", f.name, i, now), Class: "place-accept", Key: fmt.Sprintf("%s-key-%d", f.name, now),
		Deadline: deadline, Body: []byte(`{"place":"toddler"}`)}
	if _, err := io.WriteString(conn, r.Head()+string(r.Body)); err != nil {
		rig.Skip("send: %v", err)
	}
	sent := time.Now()
	record.Add("client sends %s, a place-accept with a deadline of %v", r.ID, deadline)
	conn.SetReadDeadline(sent.Add(deadline + slack))
	answer := rig.Receive(bufio.NewReader(conn))
	after := answer.At.Sub(sent).Seconds()
	given := given(r.ID)
	record.Say("client: %s after %.2f s: %v; web servers gave an answer to it %d times", r.ID, after, answer, given)
	if answer.Err == nil && answer.Status == 200 && bytes.Equal(answer.Body, answerTo(r.ID, f.size)) {
		return ""
	}
	return fmt.Sprintf("%s: %v after %.2f s, though web servers gave it a 200 %d times", r.ID, answer, after, given)
}

var (
	mu    sync.Mutex
	begun = map[string]int{} // answers that were begun, by request
)

func given(id string) int {
	mu.Lock()
	defer mu.Unlock()
	return begun[id]
}

// webServer starts a web server, and returns its address.
func webServer(id string) string {
	ln := rig.Listen()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(id, c)
		}
	}()
	return ln.Addr().String()
}

// serve answers the requests on one connection.
func serve(id string, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requestID := req.Header.Get("X-Request-Id")
		for _, f := range forms {
			if !strings.HasPrefix(req.Header.Get("Idempotency-Key"), f.name) {
				continue
			}
			mu.Lock()
			begun[requestID]++
			mu.Unlock()
			record.Add("%s begins its answer of %d bytes to %s", id, f.size, requestID)
			if err := f.write(c, answerTo(requestID, f.size), rig.Trouble()); err != nil {
				record.Add("%s: the connection broke amid the answer to %s: %v", id, requestID, err)
				return
			}
			record.Add("%s has written its answer to %s whole", id, requestID)
		}
	}
}
