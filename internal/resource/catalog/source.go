package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"portstall/internal/config"
	"portstall/internal/front/tunnel"
	"portstall/internal/resource"
)

// ParseFile reads a file of resources. Its keys are those of the product's file: services, contracts, tunnels.routes and
// cells.tenants become resources. The product's other keys (parts, health, members, state, the rest of tunnels and cells) belong to
// a node itself; they are allowed so that one file can serve both, and are ignored. Each value is checked by itself and not against
// others: what a contract names may be in another file. The result has the line on which each resource begins. An error names file,
// line and field.
func ParseFile(name string, text []byte) ([]resource.Resource, map[resource.Key]int, error) {
	f, line, err := config.ParsePartial(name, text)
	if err != nil {
		return nil, nil, err
	}
	var all []resource.Resource
	lines := map[resource.Key]int{}
	err = forEach(f, func(path, field string, key resource.Key, spec any, check error) error {
		at := line(path)
		_, dup := lines[key]
		switch {
		case key.Name == "":
			check = &config.FieldError{Path: path + "." + field, Reason: "missing"}
		case check == nil && dup:
			check = &config.FieldError{Path: path + "." + field, Reason: fmt.Sprintf("%s is at line %d already", key, lines[key])}
		}
		var bad *config.FieldError
		if errors.As(check, &bad) {
			if l := line(bad.Path); l > 0 {
				at = l
			}
			return fmt.Errorf("%s:%d: %w", name, at, check)
		}
		lines[key] = at
		all, err = appendResource(all, key, spec)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	return all, lines, nil
}

// Resources returns the resources of a product's file that was read and checked (config.Parse).
func Resources(f *config.File) ([]resource.Resource, error) {
	var all []resource.Resource
	err := forEach(f, func(_, _ string, key resource.Key, spec any, check error) (err error) {
		if check == nil {
			all, check = appendResource(all, key, spec)
		}
		return check
	})
	return all, err
}

// appendResource appends a resource with the spec as JSON.
func appendResource(all []resource.Resource, key resource.Key, spec any) ([]resource.Resource, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return append(all, resource.Resource{Key: key, Spec: text}), nil
}

// forEach calls do for each resource of a file, with its path, the field that holds its name, and the error in it by itself.
func forEach(f *config.File, do func(path, field string, key resource.Key, spec any, check error) error) error {
	for i := range f.Services {
		s, path := &f.Services[i], fmt.Sprintf("services[%d]", i)
		if err := do(path, "name", resource.Key{Kind: resource.Service, Name: s.Name}, s, s.Check(path+".", nil)); err != nil {
			return err
		}
	}
	for i := range f.Contracts {
		c, path := &f.Contracts[i], fmt.Sprintf("contracts[%d]", i)
		_, check := c.Terms(path+".", &standaloneScope)
		if err := do(path, "name", resource.Key{Kind: resource.Contract, Name: c.Name}, c, check); err != nil {
			return err
		}
	}
	if f.Tunnels != nil {
		for i := range f.Tunnels.Routes {
			r, path := &f.Tunnels.Routes[i], fmt.Sprintf("tunnels.routes[%d]", i)
			ready, check := readyRoute(r, path+".")
			if err := do(path, "host", resource.Key{Kind: resource.Route, Name: ready.Name()}, r, check); err != nil {
				return err
			}
		}
	}
	if f.Cells != nil {
		for i := range f.Cells.Tenants {
			t, path := &f.Cells.Tenants[i], fmt.Sprintf("cells.tenants[%d]", i)
			_, check := t.Compile(path + ".")
			if err := do(path, "tenant", resource.Key{Kind: resource.Tenant, Name: t.Tenant}, t, check); err != nil {
				return err
			}
		}
	}
	return nil
}

// standaloneScope is the scope in which a contract is checked by itself: everything that it names exists.
var standaloneScope = config.Scope{
	Classes: func(string) (map[string]bool, bool) { return nil, true },
	Unsafe:  func(string) bool { return false },
}

// readyRoute returns a route ready for use, checked by itself. An error is a *config.FieldError.
func readyRoute(r *config.Route, path string) (tunnel.Route, error) {
	ready, err := r.Compile(path)
	if err != nil {
		return ready, err
	}
	if field, reason := ready.Check(); field != "" {
		return ready, &config.FieldError{Path: path + field, Reason: reason}
	}
	return ready, nil
}
