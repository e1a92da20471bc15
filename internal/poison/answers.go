package poison

import "time"

// maxAnsweredParts bounds the parts in each of the two generations of an answerLog.
const maxAnsweredParts = 4096

// answerLog has the times at which this node last saw prompts with a part answered, for soundTime
// at most and for the latest parts only. The zero value is empty.
type answerLog struct {
	// recent is started when it is full or half of soundTime old; older is the one before.
	recent, older map[Fingerprint]time.Time
	started       time.Time
	count         int       // of answers, also to prompts without parts
	last          time.Time // time of the last answer
}

// add notes an answer to a prompt.
func (l *answerLog) add(parts []Fingerprint, now time.Time) {
	l.count++
	if now.After(l.last) {
		l.last = now
	}
	if len(parts) == 0 {
		return
	}
	if l.recent == nil || len(l.recent) >= maxAnsweredParts || now.Sub(l.started) > soundTime/2 {
		l.older, l.recent, l.started = l.recent, map[Fingerprint]time.Time{}, now
	}
	for _, f := range parts {
		l.recent[f] = now
	}
}

// lastAnswer returns when a prompt with the part was last seen answered; zero if unknown.
func (l *answerLog) lastAnswer(part Fingerprint) time.Time {
	if at, found := l.recent[part]; found {
		return at
	}
	return l.older[part]
}
