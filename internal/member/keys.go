package member

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Keyring holds the Ed25519 keys (RFC 8032) of the instances that may be members, and the private key of this one.
// While a member rolls its key it has several. A Keyring is immutable and safe for concurrent use: a roll makes a new
// one.
type Keyring struct {
	private ed25519.PrivateKey
	public  map[string][]ed25519.PublicKey // by member name
}

// NewKeyring makes a Keyring of a private key and the public keys of all members by name, in the form of PublicText. An
// error names the member.
func NewKeyring(private ed25519.PrivateKey, members map[string][]string) (*Keyring, error) {
	r := &Keyring{private: private, public: map[string][]ed25519.PublicKey{}}
	seen := map[string]string{}
	for name, keys := range members {
		if name == "" || len(name) > maxName {
			return nil, fmt.Errorf("members: %q: name must have 1 to %d bytes", name, maxName)
		}
		if len(keys) == 0 {
			return nil, fmt.Errorf("members: %s: has no public key", name)
		}
		for _, text := range keys {
			raw, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(raw) != ed25519.PublicKeySize {
				return nil, fmt.Errorf("members: %s: %.60q is not a public key", name, text)
			}
			if other, dup := seen[text]; dup {
				return nil, fmt.Errorf("members: %s: shares a public key with %s", name, other)
			}
			seen[text] = name
			r.public[name] = append(r.public[name], raw)
		}
	}
	return r, nil
}

// Sign implements Keys.
func (r *Keyring) Sign(b []byte) []byte { return ed25519.Sign(r.private, b) }

// Verify implements Keys.
func (r *Keyring) Verify(name string, b, sig []byte) error {
	keys, known := r.public[name]
	if !known {
		return ErrUnknownMember
	}
	for _, k := range keys {
		if ed25519.Verify(k, b, sig) {
			return nil
		}
	}
	return ErrSignature
}

// PublicText returns the public key of a private key, in base64 as files hold it.
func PublicText(k ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(k.Public().(ed25519.PublicKey))
}

// nextKeySuffix is the suffix of the file that holds the next key while a key rolls, beside the file of the current
// one. A key file holds the seed of the key in base64 and is readable by its owner alone.
const nextKeySuffix = ".next"

// ErrKeyFileMode means that others than its owner may read a key file.
var ErrKeyFileMode = errors.New("readable by others than its owner")

// MakeKey writes a new key file, which must not exist, and returns the public key.
func MakeKey(path string) (string, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return "", err
	}
	_, err = f.WriteString(base64.StdEncoding.EncodeToString(key.Seed()) + "\n")
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return "", errors.Join(err, os.Remove(path))
	}
	return PublicText(key), nil
}

// ReadKey reads a key file. An error names the file.
func ReadKey(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: %w: its mode is %o, want 600", path, ErrKeyFileMode, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: does not hold a key", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// NextKey makes the key that follows the one at the path, or reads it where it exists, and returns its public key. The
// current key stays in use. A file of the next key that does not hold a key, as a crash may leave it, is replaced.
func NextKey(path string) (string, error) {
	next := path + nextKeySuffix
	if _, err := ReadKey(path); err != nil {
		return "", err
	}
	switch key, err := ReadKey(next); {
	case err == nil:
		return PublicText(key), nil
	case errors.Is(err, ErrKeyFileMode):
		return "", err
	case !errors.Is(err, os.ErrNotExist):
		if err := os.Remove(next); err != nil {
			return "", err
		}
	}
	return MakeKey(next)
}

// ActivateNextKey replaces the current key by the next one and returns its public key. The replacement is atomic: after
// a crash one of the two keys is in place.
func ActivateNextKey(path string) (string, error) {
	key, err := ReadKey(path + nextKeySuffix)
	if err != nil {
		return "", err
	}
	if err := os.Rename(path+nextKeySuffix, path); err != nil {
		return "", err
	}
	if dir, err := os.Open(filepath.Dir(path)); err == nil {
		dir.Sync()
		dir.Close()
	}
	return PublicText(key), nil
}
