package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Fingerprint is equal for requests of one caller with the same target and body. It is a
// cryptographic hash, so that no caller can forge the fingerprint of another's request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. tenant is empty if callers are not
// authenticated.
func FingerprintOf(tenant, host, method, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(tenant), []byte(host), []byte(method), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the hexadecimal form used in logs and in the platform's store.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

var errInvalidFingerprint = errors.New("poison: invalid fingerprint")

// ParseFingerprint is the inverse of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(f) {
		return f, errInvalidFingerprint
	}
	return Fingerprint(decoded), nil
}
