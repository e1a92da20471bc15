package poison

import "time"

// maxLoggedParts bounds the parts in each of the two generations of a partLog.
const maxLoggedParts = 4096

// partLog has the times at which this node last saw something of prompts with a part, for soundTime at
// most and for the latest parts only. The zero value is empty.
type partLog struct {
	// recent is started when it is full or half of soundTime old; older is the one before.
	recent, older map[Fingerprint]time.Time
	started       time.Time
	count         int       // of prompts, also of those without parts
	last          time.Time // time of the last one
}

// add notes a prompt.
func (l *partLog) add(parts []Fingerprint, now time.Time) {
	l.count++
	if now.After(l.last) {
		l.last = now
	}
	if len(parts) == 0 {
		return
	}
	if l.recent == nil || len(l.recent) >= maxLoggedParts || now.Sub(l.started) > soundTime/2 {
		l.older, l.recent, l.started = l.recent, map[Fingerprint]time.Time{}, now
	}
	for _, f := range parts {
		l.recent[f] = now
	}
}

// lastTime returns when a prompt with the part was last seen; zero if unknown.
func (l *partLog) lastTime(part Fingerprint) time.Time {
	if at, found := l.recent[part]; found {
		return at
	}
	return l.older[part]
}
