package config

import (
	"fmt"
	"net"
	"slices"
	"strconv"
)

// MaxControls bounds how many control processes a file may name.
const MaxControls = 8

// Control says where a node has its services, routes, contracts and pinned tenants from, in place of this file: the control
// processes, the nearest first.
type Control struct {
	Addresses []string `yaml:"addresses"` // host:port
}

// check reports what makes no sense in it, and what of the file's own would stand beside what control says. An error is a
// *FieldError.
func (c *Control) check(f *File) error {
	if n := len(c.Addresses); n < 1 || n > MaxControls {
		return &FieldError{"control.addresses", fmt.Sprintf("%d are named; 1 to %d are wanted", n, MaxControls)}
	}
	for i, addr := range c.Addresses {
		field := fmt.Sprintf("control.addresses[%d]", i)
		host, port, err := net.SplitHostPort(addr)
		if n, e := strconv.ParseUint(port, 10, 16); err != nil || e != nil || n == 0 || host == "" {
			return &FieldError{field, fmt.Sprintf("%q is not host:port", addr)}
		}
		if slices.Contains(c.Addresses[:i], addr) {
			return &FieldError{field, fmt.Sprintf("%q is named twice", addr)}
		}
	}
	for _, own := range []struct {
		field string
		there bool
	}{
		{"services", f.Services != nil},
		{"contracts", f.Contracts != nil},
		{"tunnels.routes", f.Tunnels != nil && f.Tunnels.Routes != nil},
		{"cells.tenants", f.Cells != nil && f.Cells.Tenants != nil},
	} {
		if own.there {
			return &FieldError{own.field, "comes from control, which this file names: it must not be here as well"}
		}
	}
	return nil
}

// replaces tells whether control can take the place of what was named before; nil is none. Which of the two has the
// resources is settled at the start: a node that changed over would be without them for a while, or have them twice.
func (c *Control) checkReplacement(old *Control) error {
	switch {
	case c == nil && old != nil:
		return &FieldError{"control", "can't be taken out by a reload"}
	case c != nil && old == nil:
		return &FieldError{"control", "can't be put in by a reload"}
	}
	return nil
}
