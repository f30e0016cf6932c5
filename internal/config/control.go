package config

import (
	"fmt"
	"net"
	"slices"
	"strconv"
)

// MaxControls bounds the number of control processes in a file.
const MaxControls = 8

// Control names the control processes from which a node receives its services, routes, contracts and pinned tenants, in
// place of this file. The nearest comes first.
type Control struct {
	Addresses []string `yaml:"addresses"` // host:port
}

// check checks the section, and that the file itself has none of the sections that come from control. An error is a
// *FieldError.
func (c *Control) check(f *File) error {
	if n := len(c.Addresses); n < 1 || n > MaxControls {
		return &FieldError{"control.addresses", fmt.Sprintf("%d given, want 1 to %d", n, MaxControls)}
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
	for _, section := range []struct {
		field   string
		present bool
	}{
		{"services", f.Services != nil},
		{"contracts", f.Contracts != nil},
		{"tunnels.routes", f.Tunnels != nil && f.Tunnels.Routes != nil},
		{"cells.tenants", f.Cells != nil && f.Cells.Tenants != nil},
	} {
		if section.present {
			return &FieldError{section.field, "comes from control, which this file names; it must not be in the file as well"}
		}
	}
	return nil
}

// checkReplacement returns an error where a reload would add or remove the section; nil stands for a file without it.
// Whether resources come from the file or from control is fixed at the start: a node that switched would lack them for
// a while, or have them twice.
func (c *Control) checkReplacement(old *Control) error {
	switch {
	case c == nil && old != nil:
		return &FieldError{"control", "can't be removed by a reload"}
	case c != nil && old == nil:
		return &FieldError{"control", "can't be added by a reload"}
	}
	return nil
}
