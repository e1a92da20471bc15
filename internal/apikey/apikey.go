// Package apikey reads the API keys of requests. Keys are never stored, logged or
// returned; callers only receive their Hash.
package apikey

import (
	"crypto/sha256"
	"net/http"
	"strings"
)

// Hash is the SHA-256 hash of a key. The time of a lookup by hash reveals nothing about
// other keys, since similar keys don't have similar hashes.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// Presence tells whether a request carries a well-formed key.
type Presence uint8

// Values of Presence.
const (
	// Absent means that the request has no Authorization header.
	Absent Presence = iota
	// Malformed means that the request does not carry exactly one well-formed bearer key.
	Malformed
	// Given means that the request carries one well-formed key.
	Given
)

const (
	headerName = "Authorization"
	scheme     = "Bearer "
	// maxKeyLength is the maximum length of a key, in bytes.
	maxKeyLength = 4096
)

// Read returns the hash of the key in a request's header. The hash is zero unless the
// key is Given.
func Read(header http.Header) (Hash, Presence) {
	values := header.Values(headerName)
	if len(values) == 0 {
		return Hash{}, Absent
	}
	if len(values) > 1 || len(values[0]) <= len(scheme) || !strings.EqualFold(values[0][:len(scheme)], scheme) {
		return Hash{}, Malformed
	}
	key := strings.Trim(values[0][len(scheme):], " ")
	if key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, isInvalidKeyRune) {
		return Hash{}, Malformed
	}
	return HashKey(key), Given
}

// Remove deletes the key from a header.
func Remove(header http.Header) { header.Del(headerName) }

// isInvalidKeyRune reports whether r may not occur in a key. Only printable ASCII
// other than space may.
func isInvalidKeyRune(r rune) bool { return r <= ' ' || r > '~' }
