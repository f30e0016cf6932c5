package upgrade

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Token is what one process of a node has at a time: a lock on a file, which the kernel takes from a process that ends. The file
// holds the token's number. Not safe for concurrent use.
type Token struct {
	file *os.File
	held bool
}

// OpenToken opens the token at path, which is made if it is not there.
func OpenToken(path string) (*Token, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("token: %w", err)
	}
	return &Token{file: f}, nil
}

// Lock takes the token and tells its number, unless another process has it. A file that can't be locked at all is an error: then
// nothing tells whether another process serves.
func (t *Token) Lock() (number uint64, had bool, err error) {
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
	t.file.ReadAt(b[:], 0) // one that is new is empty: 0
	return binary.LittleEndian.Uint64(b[:]), true, nil
}

// Mark writes a number on the token, which is had.
func (t *Token) Mark(number uint64) error {
	_, err := t.file.WriteAt(binary.LittleEndian.AppendUint64(nil, number), 0)
	return err
}

// Unlock lets it go.
func (t *Token) Unlock() {
	t.held = false
	syscall.Flock(int(t.file.Fd()), syscall.LOCK_UN)
}

// Close lets it go for good.
func (t *Token) Close() error { return t.file.Close() }
