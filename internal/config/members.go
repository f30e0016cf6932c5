package config

import (
	"fmt"
	"net"

	"portstall/internal/member"
)

// Members holds how this instance finds the other instances and communicates with them.
type Members struct {
	Name   string          `yaml:"name"`   // name of this instance, one of those in Of
	Listen string          `yaml:"listen"` // host:port, for UDP and TCP
	Key    string          `yaml:"key"`    // path of the key file; `portstall keys make` makes one
	Seeds  []string        `yaml:"seeds"`  // host:port of members through which this one joins
	Bytes  int             `yaml:"bytes"`  // default 16,384
	Of     []AllowedMember `yaml:"of"`     // all instances that may be members, this one included
}

// AllowedMember is an instance that may be a member.
type AllowedMember struct {
	Name string   `yaml:"name"`
	Keys []string `yaml:"keys"` // two while the instance rolls its key
}

// settings checks the section, apart from the key file, and returns the settings of the protocol. An error is a
// *FieldError.
func (m *Members) settings() (member.Settings, error) {
	settings := member.DefaultSettings()
	fail := func(field, format string, args ...any) (member.Settings, error) {
		return settings, &FieldError{"members." + field, fmt.Sprintf(format, args...)}
	}
	if m.Bytes != 0 {
		settings.MaxBytesPerSecond = m.Bytes
	}
	if settings.MaxBytesPerSecond < 4096 || settings.MaxBytesPerSecond > 1<<30 {
		return fail("bytes", "%d is outside 4096 to 2^30", m.Bytes)
	}
	if _, _, err := net.SplitHostPort(m.Listen); err != nil {
		return fail("listen", "%q is not host:port", m.Listen)
	}
	for i, s := range m.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return fail(fmt.Sprintf("seeds[%d]", i), "%q is not host:port", s)
		}
	}
	known := map[string]bool{}
	for i, o := range m.Of {
		if known[o.Name] {
			return fail(fmt.Sprintf("of[%d].name", i), "%q is used twice", o.Name)
		}
		known[o.Name] = true
	}
	if !known[m.Name] {
		return fail("name", "%q is none of the names in members.of", m.Name)
	}
	if m.Key == "" {
		return fail("key", "missing: `portstall keys make` makes a key file")
	}
	if _, err := member.NewKeyring(nil, m.publicKeys()); err != nil {
		return fail("of", "%s", err)
	}
	return settings, nil
}

// publicKeys returns the public keys of all allowed members by name.
func (m *Members) publicKeys() map[string][]string {
	all := map[string][]string{}
	for _, o := range m.Of {
		all[o.Name] = o.Keys
	}
	return all
}

// Load reads the key file, which only its owner may be able to read, and returns the settings and keys. An error is a
// *FieldError and names the key file where that is at fault.
func (m *Members) Load() (member.Settings, *member.Keyring, error) {
	settings, err := m.settings()
	if err != nil {
		return settings, nil, err
	}
	key, err := member.ReadKey(m.Key)
	if err != nil {
		return settings, nil, &FieldError{"members.key", err.Error()}
	}
	keyring, err := member.NewKeyring(key, m.publicKeys())
	if err != nil {
		return settings, nil, &FieldError{"members.of", err.Error()}
	}
	if sample := []byte("key check"); keyring.Verify(m.Name, sample, keyring.Sign(sample)) != nil {
		return settings, nil, &FieldError{"members.key", fmt.Sprintf("%s: its public key, %s, is none of the keys of %s in members.of", m.Key, member.PublicText(key), m.Name)}
	}
	return settings, keyring, nil
}
