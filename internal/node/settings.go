package node

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"portstall/internal/resource/catalog"
	"portstall/internal/wire"
	"portstall/policy"
)

// crossTime is how long after new settings a request may still be worded by the old ones: clients learn of them in
// their own time.
const crossTime = 2 * time.Second

// settings are what a configuration says that can change in service. They are immutable: a reload swaps the whole.
type settings struct {
	wire.Settings
	effects map[string]policy.Effect // of the classes
	windows map[string]time.Duration // of those whose keys bind them to a pod or zone
	before  map[string]policy.Effect // of those until the last reload,
	until   time.Time                // which count until then
}

func newSettings(set wire.Settings) *settings {
	s := &settings{Settings: set, effects: map[string]policy.Effect{}, windows: map[string]time.Duration{}}
	for _, c := range set.Policy.Classes {
		s.effects[c.Name] = c.Effect
		if c.Effect == policy.Keyed && c.Group != policy.GroupAll {
			s.windows[c.Name] = c.Window
		}
	}
	return s
}

// longest is how long a client waits at most.
func (s *settings) longest() time.Duration {
	var longest time.Duration
	for _, c := range s.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	if longest == 0 {
		return 3 * time.Second
	}
	return longest
}

var (
	errClass  = errors.New("X-Class: no such class")
	errMethod = errors.New("method or Idempotency-Key: not those of the class")
)

// fits tells whether a request is worded as its class wants it.
func (s *settings) fits(r *http.Request) error {
	err := fits(s.effects, r)
	if err != nil && time.Now().Before(s.until) && fits(s.before, r) == nil {
		return nil
	}
	return err
}

func fits(effects map[string]policy.Effect, r *http.Request) error {
	effect, known := effects[r.Header.Get("X-Class")]
	if !known {
		return errClass
	}
	key := r.Header.Get("Idempotency-Key") != ""
	if (r.Method == http.MethodGet) != (effect == policy.Safe) || effect == policy.Keyed && !key || effect == policy.Unsafe && key {
		return errMethod
	}
	return nil
}

// retune swaps the settings. Requests that were taken keep their class, and what was learnt of backends stays.
// The core's lock is held.
func (n *node) retune(set wire.Settings) {
	s, old := newSettings(set), n.set.Load()
	s.before, s.until = old.effects, time.Now().Add(crossTime)
	n.set.Store(s)
	n.pool.Tune(set.ConnectTimeout, set.ConnIdle)
	n.core.Handle(&policy.Event{Kind: policy.EvSettings, Settings: &s.Policy})
}

// reload takes in a configuration that was read again: the settings, and the address of discovery. The rest belongs
// to the process's start. All of it is checked before any is put in force: an error means that nothing has changed.
func (n *node) reload(cfg Config) error {
	err := n.change(cfg)
	if err != nil {
		n.log.Error("the new configuration is bad; keeping the old one", "err", err)
	}
	return err
}

func (n *node) change(cfg Config) error {
	ring, err := n.ring(cfg)
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	table, err := cfg.contracts()
	if err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	terms, err := n.terms(cfg)
	if err != nil {
		return err
	}
	if err := cfg.Settings.Policy.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	f := n.cfg.followed
	f.lock() // what control tells changes before all of this, or behind it
	defer f.unlock()
	var anew *catalog.Change
	if f != nil {
		if anew, err = f.recheck(cfg); err != nil {
			return err
		}
	}
	n.rekey(ring)
	n.core.Lock()
	defer n.core.Unlock()
	if err := n.core.Context().Err(); err != nil {
		return err
	}
	if n.cells != nil {
		if f != nil {
			terms.Tenants = n.cells.Tenants() // those are control's
		}
		n.cells.Change(terms)
	}
	n.retune(cfg.Settings)
	if f != nil {
		n.apply(anew)
		f.renewed(cfg, anew)
	} else {
		n.core.Bind(table)
	}
	n.log.Info("new settings are in force", "classes", len(cfg.Settings.Policy.Classes),
		"max attempts", cfg.Settings.Policy.MaxAttempts)
	if cfg.Discovery != n.disc.addr {
		n.follow(cfg.Discovery)
	}
	return nil
}

// replaces tells whether a configuration file can take the place of the one in force. Defaults are for a start, where
// there is nothing to fall back on: here a key that is missing, or a time of nothing, means a broken file.
func replaces(file, inForce any, set wire.Settings) error {
	if key := missing("", inForce, file); key != "" {
		return fmt.Errorf("%s: missing", key)
	}
	for _, c := range set.Policy.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: grades: %s: deadline_s is not over 0", c.Name)
		}
	}
	return nil
}

// missing returns the first key of a JSON value that another one lacks; each element of a list is held against the
// first of the old list. It is empty where none is missing.
func missing(path string, old, new any) string {
	switch old := old.(type) {
	case map[string]any:
		fields, ok := new.(map[string]any)
		if !ok {
			return path
		}
		for name, value := range old {
			here := name
			if path != "" {
				here = path + "." + name
			}
			v, ok := fields[name]
			if !ok {
				return here
			}
			if key := missing(here, value, v); key != "" {
				return key
			}
		}
	case []any:
		items, ok := new.([]any)
		if !ok {
			return path
		}
		for i, item := range items {
			if len(old) == 0 {
				break
			}
			if key := missing(fmt.Sprintf("%s[%d]", path, i), old[0], item); key != "" {
				return key
			}
		}
	}
	return ""
}
