package config

import (
	"fmt"
	"path/filepath"
	"time"
)

// State makes a node store what it has learned in a directory, and restore it at its next start. It is for
// installations with a persistent disk only.
type State struct {
	Dir   string        `yaml:"dir"`   // absolute path of an existing directory that only this node uses
	Every time.Duration `yaml:"every"` // interval between writes; default 1 s
	Fleet string        `yaml:"fleet"` // name of the fleet; state stored under another name is not used; default: the address of discovery
}

// WithDefaults returns the checked section with defaults filled in. An error is a *FieldError.
func (s *State) WithDefaults() (State, error) {
	out := *s
	if out.Every == 0 {
		out.Every = time.Second
	}
	switch {
	case !filepath.IsAbs(s.Dir):
		return out, &FieldError{"state.dir", fmt.Sprintf("%q is not an absolute path", s.Dir)}
	case out.Every < 100*time.Millisecond || out.Every > time.Hour:
		return out, &FieldError{"state.every", fmt.Sprintf("%s is outside 100ms to 1h", s.Every)}
	}
	return out, nil
}
