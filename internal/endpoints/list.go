// Package endpoints gets the list of web servers from discovery: the messages, the calls over HTTP, and the schedule of
// the calls. What the list means for a node is decided elsewhere.
package endpoints

import "time"

// List is a response of discovery: the complete server list, or the entries that changed since the version asked for.
type List struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
	// ReceivedAt is when the first byte of the response arrived, on the caller's clock: its contents were announced
	// before that. 0 stands for the time at which the list is applied.
	ReceivedAt time.Duration `json:"-"`
}

// Endpoint is a web server as discovery lists it.
type Endpoint struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int64  `json:"cell"`
	State     string `json:"state"`
	StartedMS int64  `json:"started_ms"`
}
