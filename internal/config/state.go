package config

import (
	"fmt"
	"path/filepath"
	"time"
)

// State keeps what a node knows in a directory, for its next start. Only where the installation has a disk that lasts.
type State struct {
	Dir   string        `yaml:"dir"`   // an absolute path; it must be there, and is this node's alone
	Every time.Duration `yaml:"every"` // how often it is written; 1 s
	Fleet string        `yaml:"fleet"` // a name of the fleet: state of another one is not used; none: the address of discovery
}

// Ready is the section with what was not given filled in. An error is a *FieldError.
func (s *State) Ready() (State, error) {
	out := *s
	if out.Every == 0 {
		out.Every = time.Second
	}
	switch {
	case !filepath.IsAbs(s.Dir):
		return out, &FieldError{"state.dir", fmt.Sprintf("%q is no absolute path", s.Dir)}
	case out.Every < 100*time.Millisecond || out.Every > time.Hour:
		return out, &FieldError{"state.every", fmt.Sprintf("%s is outside 100ms to 1h", s.Every)}
	}
	return out, nil
}
