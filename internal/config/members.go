package config

import (
	"fmt"
	"net"

	"portstall/internal/member"
)

// Members is how this instance finds others and talks with them.
type Members struct {
	Name   string   `yaml:"name"`   // this instance's, one of those below
	Listen string   `yaml:"listen"` // host:port, for UDP and TCP
	Key    string   `yaml:"key"`    // its key file; `portstall keys make` makes one
	Seeds  []string `yaml:"seeds"`  // host:port of some, through which it joins
	Bytes  int      `yaml:"bytes"`  // a second that it sends at most; 16,384
	Of     []Member `yaml:"of"`     // who may be a member, this instance too
}

// Member is an instance that may be one.
type Member struct {
	Name string   `yaml:"name"`
	Keys []string `yaml:"keys"` // public; two while it rolls
}

// settings checks all but the key file.
func (m *Members) settings() (member.Settings, error) {
	set := member.Usual()
	bad := func(field, why string, args ...any) (member.Settings, error) {
		return set, &FieldError{"members." + field, fmt.Sprintf(why, args...)}
	}
	if m.Bytes != 0 {
		set.Bytes = m.Bytes
	}
	if set.Bytes < 4096 || set.Bytes > 1<<30 {
		return bad("bytes", "%d is outside 4096 to 2^30", m.Bytes)
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
	for i, o := range m.Of {
		if known[o.Name] {
			return bad(fmt.Sprintf("of[%d].name", i), "%q is used twice", o.Name)
		}
		known[o.Name] = true
	}
	if !known[m.Name] {
		return bad("name", "%q is none of those in members.of", m.Name)
	}
	if m.Key == "" {
		return bad("key", "missing: `portstall keys make` makes a key file")
	}
	if _, err := member.NewRing(nil, m.publics()); err != nil {
		return bad("of", "%s", err)
	}
	return set, nil
}

func (m *Members) publics() map[string][]string {
	all := map[string][]string{}
	for _, o := range m.Of {
		all[o.Name] = o.Keys
	}
	return all
}

// Ready reads the key file, which must be the owner's alone, and makes all ready. An error names the field or the file.
func (m *Members) Ready() (member.Settings, *member.Ring, error) {
	set, err := m.settings()
	if err != nil {
		return set, nil, err
	}
	key, err := member.ReadKey(m.Key)
	if err != nil {
		return set, nil, &FieldError{"members.key", err.Error()}
	}
	ring, err := member.NewRing(key, m.publics())
	if err != nil {
		return set, nil, &FieldError{"members.of", err.Error()}
	}
	if probe := []byte("is it mine"); ring.Verify(m.Name, probe, ring.Sign(probe)) != nil {
		return set, nil, &FieldError{"members.key", fmt.Sprintf("%s: its public half, %s, is none of %s's in members.of", m.Key, member.PublicText(key), m.Name)}
	}
	return set, ring, nil
}
