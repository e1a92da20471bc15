// Package apikey reads callers' keys. A key itself is never kept, logged or passed
// on: all that goes beyond this package is its Hash.
package apikey

import (
	"crypto/sha256"
	"net/http"
	"strings"
)

// Hash is the SHA-256 of a key. Whoever looks a hash up learns nothing of other
// keys from the time that it takes: near hashes don't come of near keys.
type Hash [sha256.Size]byte

// Of hashes a key.
func Of(key string) Hash { return sha256.Sum256([]byte(key)) }

// Presence says whether a request carries a key.
type Presence uint8

// Presences of a key.
const (
	// Absent: the request names no key.
	Absent Presence = iota
	// Malformed: what stands in its place can be nobody's key.
	Malformed
	// Given: the request has one well-formed key.
	Given
)

const (
	headerName = "Authorization"
	scheme     = "Bearer "
	// lengthMost bounds a key, in bytes; the longest in use have some 200.
	lengthMost = 4096
)

// Read returns the hash of the key that a request's header carries.
func Read(header http.Header) (Hash, Presence) {
	values := header.Values(headerName)
	if len(values) == 0 {
		return Hash{}, Absent
	}
	if len(values) > 1 || len(values[0]) <= len(scheme) || !strings.EqualFold(values[0][:len(scheme)], scheme) {
		return Hash{}, Malformed
	}
	key := strings.Trim(values[0][len(scheme):], " ")
	if key == "" || len(key) > lengthMost || strings.ContainsFunc(key, notInKeys) {
		return Hash{}, Malformed
	}
	return Of(key), Given
}

// Remove takes the key out of a header.
func Remove(header http.Header) { header.Del(headerName) }

// notInKeys says that a character is in no key: a control character, a blank, or
// none of ASCII.
func notInKeys(char rune) bool { return char <= ' ' || char > '~' }
