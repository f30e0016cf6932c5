package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy stands for the network before a web server: it passes bytes on after a delay, in both directions, and ends and
// resets too.
type Proxy struct {
	Addr   string
	target string
	delay  time.Duration
	ln     net.Listener
}

// NewProxy starts a proxy before a target with a delay each way.
func NewProxy(target string, delay time.Duration) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	p := &Proxy{Addr: ln.Addr().String(), target: target, delay: delay, ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *Proxy) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		Reset(c)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(s, c) })
	wg.Go(func() { p.copy(c, s) })
	wg.Wait()
	c.Close()
	s.Close()
}

type parcel struct {
	at   time.Time
	data []byte
	err  error
}

// copy passes on what comes from src, each piece after the delay.
func (p *Proxy) copy(dst, src net.Conn) {
	queue := make(chan parcel, 1024)
	go func() {
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			queue <- parcel{time.Now().Add(p.delay), buf[:n], err}
			if err != nil {
				close(queue)
				return
			}
		}
	}()
	for q := range queue {
		time.Sleep(time.Until(q.at))
		if len(q.data) > 0 {
			dst.Write(q.data)
		}
		switch {
		case q.err == io.EOF:
			dst.(*net.TCPConn).CloseWrite()
		case q.err != nil:
			Reset(dst)
		}
	}
}
