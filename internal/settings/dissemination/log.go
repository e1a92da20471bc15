package dissemination

import "chutelock.dev/chutelock/internal/settings"

// deltaLog keeps the newest deltas for peers that lag a little.
type deltaLog struct {
	deltas  []Delta
	entries int
}

func (l *deltaLog) append(delta Delta) {
	l.deltas = append(l.deltas, delta)
	l.entries += len(delta.Entries)
	for len(l.deltas) > logLength || l.entries > maxEntriesOfLog && len(l.deltas) > 0 {
		l.entries -= len(l.deltas[0].Entries)
		l.deltas = l.deltas[1:]
	}
}

func (l *deltaLog) clear() { *l = deltaLog{} }

// after gives the deltas that lead from a version onwards, of at most
// answerBytes but for the first; false if the log does not reach back.
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
		return bounded(l.deltas[i:]), true
	}
	return nil, false
}

func bounded(deltas []Delta) []Delta {
	size := 0
	for i := range deltas {
		size += deltas[i].size()
		if size > answerBytes && i > 0 {
			return deltas[:i]
		}
	}
	return deltas
}
