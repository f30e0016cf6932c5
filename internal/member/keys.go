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

// Ring is the Ed25519 keys (RFC 8032) of those who may be members, several a name while one rolls, and one's own.
// It is immutable: a roll makes another.
type Ring struct {
	private ed25519.PrivateKey
	public  map[string][]ed25519.PublicKey
}

// NewRing makes a ring. Members are names with their public keys, as PublicText has them. An error names the member.
func NewRing(own ed25519.PrivateKey, members map[string][]string) (*Ring, error) {
	r := &Ring{private: own, public: map[string][]ed25519.PublicKey{}}
	seen := map[string]string{}
	for name, keys := range members {
		if name == "" || len(name) > maxName {
			return nil, fmt.Errorf("members: %q: a name has 1 to %d bytes", name, maxName)
		}
		if len(keys) == 0 {
			return nil, fmt.Errorf("members: %s: no key", name)
		}
		for _, text := range keys {
			raw, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(raw) != ed25519.PublicKeySize {
				return nil, fmt.Errorf("members: %s: %.60q is no public key", name, text)
			}
			if other, dup := seen[text]; dup {
				return nil, fmt.Errorf("members: %s: has a key of %s", name, other)
			}
			seen[text] = name
			r.public[name] = append(r.public[name], raw)
		}
	}
	return r, nil
}

// Sign and Verify make it Keys.
func (r *Ring) Sign(b []byte) []byte { return ed25519.Sign(r.private, b) }

func (r *Ring) Verify(name string, b, sig []byte) error {
	keys, known := r.public[name]
	if !known {
		return ErrStranger
	}
	for _, k := range keys {
		if ed25519.Verify(k, b, sig) {
			return nil
		}
	}
	return ErrSignature
}

// PublicText is a key's public half as files have it.
func PublicText(k ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(k.Public().(ed25519.PublicKey))
}

// A key file is the seed of the key in base64, readable by its owner alone. While a key rolls, the next one lies beside it
// with this ending.
const nextKeySuffix = ".next"

// ErrOpen says that others than its owner may read a key file.
var ErrKeyFileMode = errors.New("others may read it")

// MakeKey writes a new key file, which must not be there yet, and returns its public half.
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
		return nil, fmt.Errorf("%s: %w: its mode is %o, 600 is wanted", path, ErrKeyFileMode, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: holds no key", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// NextKey makes the key that is to follow the one at the path, or finds it where it was made already, and returns its public
// half. The one in use stays. A file of it that holds no key, as a crash may leave one, is made anew.
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

// UseNext puts the next key in the place of the one in use, in one step: whatever ends the process, one of the two is there.
func UseNext(path string) (string, error) {
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
