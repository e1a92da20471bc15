package origin

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a stream by the request that brought its first event, and by the tenant, so that
// no caller finds another tenant's streams.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(tenant, request string) Key {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(tenant)))
	hash.Write(length[:])
	hash.Write([]byte(tenant))
	hash.Write([]byte(request))
	var key Key
	copy(key[:], hash.Sum(nil))
	return key
}
