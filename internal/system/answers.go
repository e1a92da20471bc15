package system

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

// cached is something encoded that is made anew each sumInterval. The zero value
// is ready.
type cached struct {
	mutex   sync.Mutex // guards what is below; held while it is made
	at      time.Time
	encoded []byte
}

func (c *cached) get(now time.Time, encode func() []byte) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.encoded == nil || now.Sub(c.at) >= sumInterval {
		c.encoded, c.at = encode(), now
	}
	return c.encoded
}

// paces says when something is due again for a peer. The zero value is ready.
type paces struct {
	mutex sync.Mutex // guards last; a leaf
	last  map[transport.Address]time.Time
}

// due says whether answerInterval passed since it was due last, which is then
// now. Peers of long ago are forgotten.
func (p *paces) due(peer transport.Address, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Sub(p.last[peer]) < answerInterval {
		return false
	}
	if p.last == nil || len(p.last) > pacesMost {
		p.last = map[transport.Address]time.Time{}
	}
	p.last[peer] = now
	return true
}
