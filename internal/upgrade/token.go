package upgrade

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Token is a lock on a file, which one process of a node holds at a time and which the kernel releases when that
// process exits. The file contains the token's number. It is not safe for concurrent use.
type Token struct {
	file *os.File
	held bool // by this process
}

// OpenToken opens the token at path, and creates it if it does not exist.
func OpenToken(path string) (*Token, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("token: %w", err)
	}
	return &Token{file: f}, nil
}

// Lock takes the token and returns its number, unless another process holds it. A file that cannot be locked at all is
// an error: then it is unknown whether another process serves.
func (t *Token) Lock() (number uint64, held bool, err error) {
	if !t.held {
		err := syscall.Flock(int(t.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return 0, false, nil
		}
		if err != nil {
			return 0, false, fmt.Errorf("token: %w", err)
		}
		t.held = true
	}
	var b [8]byte
	t.file.ReadAt(b[:], 0) // a new file is empty: the number is 0
	return binary.LittleEndian.Uint64(b[:]), true, nil
}

// SetNumber writes a number to the token, which must be held.
func (t *Token) SetNumber(number uint64) error {
	_, err := t.file.WriteAt(binary.LittleEndian.AppendUint64(nil, number), 0)
	return err
}

// Unlock releases the token.
func (t *Token) Unlock() {
	t.held = false
	syscall.Flock(int(t.file.Fd()), syscall.LOCK_UN)
}

// Close releases the token and closes its file.
func (t *Token) Close() error { return t.file.Close() }
