package dissemination

import "chutelock.dev/chutelock/internal/settings"

// deltaLog keeps the newest deltas for peers slightly behind.
type deltaLog struct {
	deltas  []Delta
	entries int
}

func (l *deltaLog) append(delta Delta) {
	l.deltas = append(l.deltas, delta)
	l.entries += len(delta.Entries)
	for len(l.deltas) > maxLogDeltas || l.entries > maxLogEntries && len(l.deltas) > 0 {
		l.entries -= len(l.deltas[0].Entries)
		l.deltas = l.deltas[1:]
	}
}

func (l *deltaLog) clear() { *l = deltaLog{} }

// after returns the deltas that follow a version, limited to maxAnswerBytes
// except for the first. It reports false if the log does not reach back.
func (l *deltaLog) after(have settings.Version) ([]Delta, bool) {
	for i := range l.deltas {
		delta := &l.deltas[i]
		if delta.To <= have {
			continue
		}
		joins := delta.From == have || !delta.Exact && delta.From <= have && delta.To.Epoch() == have.Epoch()
		if !joins {
			return nil, false
		}
		return limitSize(l.deltas[i:]), true
	}
	return nil, false
}

func limitSize(deltas []Delta) []Delta {
	size := 0
	for i := range deltas {
		size += deltas[i].size()
		if size > maxAnswerBytes && i > 0 {
			return deltas[:i]
		}
	}
	return deltas
}
