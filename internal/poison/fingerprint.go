package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Fingerprint is equal for requests of one caller with the same target and body. It is
// a cryptographic hash, so that no caller can make a request that is taken for
// another's.
type Fingerprint [16]byte

// Of returns the fingerprint of a request. tenant is empty where callers need no key.
func Of(tenant, host, method, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(tenant), []byte(host), []byte(method), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String is the fingerprint as in logs and in the platform's store.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// errFingerprint says that a text is no fingerprint.
var errFingerprint = errors.New("poison: not a fingerprint")

// Parse reads what String wrote.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(f) {
		return f, errFingerprint
	}
	return Fingerprint(decoded), nil
}
