package transport

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// macSize is the length of the truncated HMAC-SHA256 on every frame and
	// datagram, in bytes (RFC 2104, section 5, allows truncation to half).
	macSize = 16
	// minKeySize is the shortest accepted key, in bytes.
	minKeySize = 16
)

// Keyring holds the shared keys that authenticate peers. The first key signs and
// all keys verify. To rotate without downtime, add the new key as the second line on
// all machines, then move it to the first line, then remove the old one.
// It is safe for concurrent use.
type Keyring struct {
	path    string
	keys    atomic.Pointer[[][]byte]
	content atomic.Pointer[[]byte]
}

// NewKeyring returns a keyring of fixed keys.
func NewKeyring(keys ...[]byte) (*Keyring, error) {
	ring := &Keyring{}
	return ring, ring.set(keys)
}

// OpenKeyring reads a keyring from a file with one hexadecimal key per line. Blank
// lines and lines that begin with # are ignored.
func OpenKeyring(path string) (*Keyring, error) {
	ring := &Keyring{path: path}
	if _, err := ring.Reload(); err != nil {
		return nil, err
	}
	return ring, nil
}

// Reload reads the file again and reports whether it changed. On an error
// the previous keys stay in use.
func (k *Keyring) Reload() (bool, error) {
	if k.path == "" {
		return false, nil
	}
	content, err := os.ReadFile(k.path)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	if previous := k.content.Load(); previous != nil && bytes.Equal(*previous, content) {
		return false, nil
	}
	var keys [][]byte
	for number, line := range bytes.Split(content, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		key, err := hex.DecodeString(string(line))
		if err != nil {
			return false, trace.BadParameter("%s line %d: key is not hexadecimal", k.path, number+1)
		}
		keys = append(keys, key)
	}
	if err := k.set(keys); err != nil {
		return false, trace.Wrap(err, "reading %s", k.path)
	}
	k.content.Store(&content)
	return true, nil
}

// Follow reloads the file each interval until stop closes and calls report after
// each change or failure.
func (k *Keyring) Follow(stop <-chan struct{}, interval time.Duration, report func(changed bool, err error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if changed, err := k.Reload(); changed || err != nil {
				report(changed, err)
			}
		}
	}
}

func (k *Keyring) set(keys [][]byte) error {
	if len(keys) == 0 {
		return trace.BadParameter("keyring has no keys")
	}
	for _, key := range keys {
		if len(key) < minKeySize {
			return trace.BadParameter("key has %d bytes, need at least %d", len(key), minKeySize)
		}
	}
	k.keys.Store(&keys)
	return nil
}

// Sign returns the truncated MAC of the parts under the first key.
func (k *Keyring) Sign(parts ...[]byte) []byte {
	return mac((*k.keys.Load())[0], parts)
}

// Verify reports whether sum is the MAC of the parts under any key.
func (k *Keyring) Verify(sum []byte, parts ...[]byte) bool {
	for _, key := range *k.keys.Load() {
		if hmac.Equal(sum, mac(key, parts)) {
			return true
		}
	}
	return false
}

func mac(key []byte, parts [][]byte) []byte {
	hash := hmac.New(sha256.New, key)
	for _, part := range parts {
		hash.Write(part)
	}
	return hash.Sum(nil)[:macSize]
}
