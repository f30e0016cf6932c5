package config

import (
	"fmt"
	"net"

	"portstall/internal/member"
)

// Members is how this instance finds others and talks with them.
type Members struct {
	Name              string          `yaml:"name"`   // this instance's, one of those below
	Listen            string          `yaml:"listen"` // host:port, for UDP and TCP
	KeyFile           string          `yaml:"key"`    // its key file; `portstall keys make` makes one
	Seeds             []string        `yaml:"seeds"`  // host:port of some, through which it joins
	MaxBytesPerSecond int             `yaml:"bytes"`  // a second that it sends at most; 16,384
	Allowed           []AllowedMember `yaml:"of"`     // who may be a member, this instance too
}

// Member is an instance that may be one.
type AllowedMember struct {
	Name       string   `yaml:"name"`
	PublicKeys []string `yaml:"keys"` // public; two while it rolls
}

// settings checks all but the key file.
func (m *Members) settings() (member.Settings, error) {
	set := member.Usual()
	bad := func(field, why string, args ...any) (member.Settings, error) {
		return set, &FieldError{"members." + field, fmt.Sprintf(why, args...)}
	}
	if m.MaxBytesPerSecond != 0 {
		set.MaxBytesPerSecond = m.MaxBytesPerSecond
	}
	if set.MaxBytesPerSecond < 4096 || set.MaxBytesPerSecond > 1<<30 {
		return bad("bytes", "%d is outside 4096 to 2^30", m.MaxBytesPerSecond)
	}
	if _, _, err := net.SplitHostPort(m.Listen); err != nil {
		return bad("listen", "%q is not host:port", m.Listen)
	}
	for i, s := range m.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return bad(fmt.Sprintf("seeds[%d]", i), "%q is not host:port", s)
		}
	}
	known := map[string]bool{}
	for i, o := range m.Allowed {
		if known[o.Name] {
			return bad(fmt.Sprintf("of[%d].name", i), "%q is used twice", o.Name)
		}
		known[o.Name] = true
	}
	if !known[m.Name] {
		return bad("name", "%q is none of those in members.of", m.Name)
	}
	if m.KeyFile == "" {
		return bad("key", "missing: `portstall keys make` makes a key file")
	}
	if _, err := member.NewRing(nil, m.publicKeys()); err != nil {
		return bad("of", "%s", err)
	}
	return set, nil
}

func (m *Members) publicKeys() map[string][]string {
	all := map[string][]string{}
	for _, o := range m.Allowed {
		all[o.Name] = o.PublicKeys
	}
	return all
}

// Ready reads the key file, which must be the owner's alone, and makes all ready. An error names the field or the file.
func (m *Members) Ready() (member.Settings, *member.Ring, error) {
	set, err := m.settings()
	if err != nil {
		return set, nil, err
	}
	key, err := member.ReadKey(m.KeyFile)
	if err != nil {
		return set, nil, &FieldError{"members.key", err.Error()}
	}
	ring, err := member.NewRing(key, m.publicKeys())
	if err != nil {
		return set, nil, &FieldError{"members.of", err.Error()}
	}
	if probe := []byte("is it mine"); ring.Verify(m.Name, probe, ring.Sign(probe)) != nil {
		return set, nil, &FieldError{"members.key", fmt.Sprintf("%s: its public half, %s, is none of %s's in members.of", m.KeyFile, member.PublicText(key), m.Name)}
	}
	return set, ring, nil
}
