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

// previousSettingsGrace is how long after a reload a request may still fit the effects of the previous settings: clients
// learn of new settings at different times.
const previousSettingsGrace = 2 * time.Second

// settings is the part of a configuration that can change while the node serves. It is immutable: a reload replaces all
// of it.
type settings struct {
	wire.Settings
	classRules
	previous []previousRules // of the reloads within previousSettingsGrace, the latest first
	// longestDeadline is the longest maxDeadline of these and all earlier settings of the process: requests keep the
	// deadlines under which they were accepted.
	longestDeadline time.Duration
}

// classRules are what requests of each class have to fit.
type classRules struct {
	effects map[string]policy.Effect // effects by class
	windows map[string]time.Duration // repeat windows of the classes whose keys bind a request to a pod or zone
}

// previousRules are the rules of settings that were replaced. They are accepted too until a time.
type previousRules struct {
	classRules
	until time.Time
}

func newSettings(set wire.Settings) *settings {
	s := &settings{Settings: set, classRules: classRules{effects: map[string]policy.Effect{}, windows: map[string]time.Duration{}}}
	for _, c := range set.Policy.Classes {
		s.effects[c.Name] = c.Effect
		if c.Effect == policy.Keyed && c.Group != policy.GroupAll {
			s.windows[c.Name] = c.Window
		}
	}
	s.longestDeadline = s.maxDeadline()
	return s
}

// maxDeadline returns the longest time that a client waits for its response; 3 s where no class has a deadline.
func (s *settings) maxDeadline() time.Duration {
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
	errUnknownClass   = errors.New("X-Class: no such class")
	errMethodMismatch = errors.New("method or Idempotency-Key: not those of the class")
)

// replace records the settings that s replaces at the given time, and those that they had replaced shortly before.
func (s *settings) replace(old *settings, now time.Time) {
	s.longestDeadline = max(s.longestDeadline, old.longestDeadline)
	s.previous = []previousRules{{old.classRules, now.Add(previousSettingsGrace)}}
	for _, p := range old.previous {
		if now.Before(p.until) {
			s.previous = append(s.previous, p)
		}
	}
}

// checkRequest reports whether a request's method and headers fit its class, by the settings in force or, shortly after
// a reload, by previous ones.
func (s *settings) checkRequest(r *http.Request) error {
	err := checkHeaders(s.effects, r)
	if err == nil {
		return nil
	}
	now := time.Now()
	for _, p := range s.previous {
		if now.Before(p.until) && checkHeaders(p.effects, r) == nil {
			return nil
		}
	}
	return err
}

// window returns the repeat window of a class whose keys bind a request to a pod or zone, by the settings in force or,
// for a class that has vanished shortly before, by previous ones; 0 for other classes.
func (s *settings) window(class string) time.Duration {
	if _, known := s.effects[class]; known {
		return s.windows[class]
	}
	for _, p := range s.previous {
		if _, known := p.effects[class]; known {
			return p.windows[class]
		}
	}
	return 0
}

// checkHeaders reports whether a request's method and Idempotency-Key fit the effect of its class.
func checkHeaders(effects map[string]policy.Effect, r *http.Request) error {
	effect, known := effects[r.Header.Get("X-Class")]
	if !known {
		return errUnknownClass
	}
	key := r.Header.Get("Idempotency-Key") != ""
	if (r.Method == http.MethodGet) != (effect == policy.Safe) || effect == policy.Keyed && !key || effect == policy.Unsafe && key {
		return errMethodMismatch
	}
	return nil
}

// applySettings replaces the settings. Accepted requests keep their class, and the statistics of the web servers stay.
// The core's lock is held.
func (n *node) applySettings(set wire.Settings) {
	s, old := newSettings(set), n.settings.Load()
	s.replace(old, time.Now())
	n.settings.Store(s)
	n.lifecycle.settingsReplaced(s.maxDeadline())
	n.shortenDrains(old.Policy.DrainGrace, set.Policy.DrainGrace)
	n.pool.SetTimeouts(set.ConnectTimeout, set.ServerIdleTimeout)
	n.core.Handle(&policy.Event{Kind: policy.EvSettings, Settings: &s.Policy})
}

// reload applies a configuration that was read again: its settings, and the address of discovery. The rest takes effect
// only at the start of a process. Everything is checked before anything is applied: after an error nothing has changed.
func (n *node) reload(cfg Config) error {
	err := n.applyConfig(cfg)
	if err != nil {
		n.log.Error("new configuration rejected; keeping the old one", "err", err)
	}
	return err
}

// applyConfig checks and applies a configuration, for reload.
func (n *node) applyConfig(cfg Config) error {
	ring, err := n.memberKeyring(cfg)
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	table, err := cfg.contractTable()
	if err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	cellSettings, err := n.cellSettings(cfg)
	if err != nil {
		return err
	}
	if err := cfg.Settings.Policy.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	follower := n.cfg.follower
	follower.lock() // a change from control is applied before all of this or after it
	defer follower.unlock()
	var recompiled *catalog.Change
	if follower != nil {
		if recompiled, err = follower.recheck(cfg); err != nil {
			return err
		}
	}
	n.updateKeyring(ring)
	n.core.Lock()
	defer n.core.Unlock()
	if err := n.core.Context().Err(); err != nil {
		return err
	}
	if n.cells != nil {
		if follower != nil {
			cellSettings.Tenants = n.cells.Tenants() // control owns the pinned tenants
		}
		n.cells.Reconfigure(cellSettings)
	}
	n.applySettings(cfg.Settings)
	if follower != nil {
		n.applyCatalogChange(recompiled)
		follower.commitReload(cfg, recompiled)
	} else {
		n.core.SetContracts(table)
	}
	n.log.Info("new settings applied", "classes", len(cfg.Settings.Policy.Classes),
		"max_attempts", cfg.Settings.Policy.MaxAttempts)
	if cfg.Discovery != n.discovery.client.Addr() {
		n.switchDiscovery(cfg.Discovery)
	}
	return nil
}

// fileKeys are the required keys of a configuration file. Its known servers are used only at a start.
var fileKeys = wire.Keys{"name": nil, "listen": nil, "discovery": nil, "mgmt": nil, "seed": nil,
	"limits": {"cores": nil, "memory_mb": nil, "sockets": nil}, "settings": wire.SettingsKeys}

// checkReplacement checks whether a configuration file can replace the one in force. Defaults apply only at a start,
// where there is no earlier value to keep: in a reload a missing required key, or a deadline of zero, means a broken
// file.
func checkReplacement(file, inForce map[string]any, set wire.Settings) error {
	if err := fileKeys.CheckReplacement(inForce, file); err != nil {
		return err
	}
	for _, c := range set.Policy.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: grades: %s: deadline_s is not greater than 0", c.Name)
		}
	}
	return nil
}
