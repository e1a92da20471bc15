package system

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

// encodedCache caches an encoded message for maxSumAge. The zero value is ready.
type encodedCache struct {
	mutex     sync.Mutex // guards the fields below; held while encoding
	encodedAt time.Time
	encoded   []byte
}

func (c *encodedCache) get(now time.Time, encode func() []byte) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.encoded == nil || now.Sub(c.encodedAt) >= maxSumAge {
		c.encoded, c.encodedAt = encode(), now
	}
	return c.encoded
}

// peerRateLimiter limits the responses to each peer. The zero value is ready.
type peerRateLimiter struct {
	mutex       sync.Mutex // guards lastAllowed; a leaf
	lastAllowed map[transport.Address]time.Time
}

// allow reports whether responseInterval has passed since the last response to
// the peer, and records a new one if so. All peers are forgotten once there are
// more than maxTrackedPeers.
func (p *peerRateLimiter) allow(peer transport.Address, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Sub(p.lastAllowed[peer]) < responseInterval {
		return false
	}
	if p.lastAllowed == nil || len(p.lastAllowed) > maxTrackedPeers {
		p.lastAllowed = map[transport.Address]time.Time{}
	}
	p.lastAllowed[peer] = now
	return true
}
