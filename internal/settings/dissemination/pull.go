package dissemination

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

// pull is the state of the single pull in progress.
type pull struct {
	active bool
	peer   transport.Address
	began  time.Time
	// staging becomes equal to the peer's state bucket by bucket; nil while
	// only logged deltas are requested.
	staging *State
}

// startPull asks a peer for its log of deltas, unless a pull is in progress.
func (m *Machine) startPull(now time.Time, peer transport.Address) {
	if m.pull.active || now.Before(m.avoidPullsUntil) {
		return
	}
	if !m.state.known {
		m.startBucketPull(now, peer)
		return
	}
	m.pull = pull{active: true, peer: peer, began: now}
	m.emit(CallPull{To: peer, Pull: Pull{Have: m.state.version, Known: true}})
}

// startBucketPull compares buckets with a peer.
func (m *Machine) startBucketPull(now time.Time, peer transport.Address) {
	m.pull = pull{active: true, peer: peer, began: now, staging: m.state.clone()}
	m.callForBuckets()
}

func (m *Machine) callForBuckets() {
	digests := m.pull.staging.digests
	m.emit(CallPull{To: m.pull.peer, Pull: Pull{Have: m.state.version, Known: m.state.known, Buckets: digests[:]}})
}

// tickPull gives up on a peer that does not answer.
func (m *Machine) tickPull(now time.Time) {
	if m.pull.active && now.Sub(m.pull.began) >= pullTimeout {
		m.pull = pull{}
	}
}

// HandlePull answers a peer's pull.
func (m *Machine) HandlePull(now time.Time, request *Pull) *PullAnswer {
	answer := &PullAnswer{Version: m.state.version, Known: m.published, Digest: m.state.digest(), Age: m.ageOf(now)}
	if !m.published || request.Known && request.Have >= m.state.version {
		return answer
	}
	if len(request.Buckets) == BucketCount {
		answer.Buckets = m.differingBuckets(request.Buckets)
		return answer
	}
	answer.Deltas, _ = m.log.after(request.Have)
	return answer
}

// differingBuckets returns the buckets whose digests differ, limited to
// maxAnswerBytes except for the first.
func (m *Machine) differingBuckets(peerDigests []uint64) []Bucket {
	var buckets []Bucket
	size := 0
	for number, digest := range m.state.digests {
		if digest == peerDigests[number] {
			continue
		}
		bucket := Bucket{Number: uint8(number), Entries: m.state.bucket(uint8(number))}
		for i := range bucket.Entries {
			size += bucket.Entries[i].size()
		}
		if size > maxAnswerBytes && len(buckets) > 0 {
			return buckets
		}
		buckets = append(buckets, bucket)
	}
	return buckets
}

// HandlePullAnswer processes the answer to a CallPull; nil means failure.
func (m *Machine) HandlePullAnswer(now time.Time, from transport.Address, answer *PullAnswer) []Action {
	if !m.pull.active || m.pull.peer != from {
		return m.takeActions()
	}
	staging := m.pull.staging
	if answer == nil || !answer.Known {
		m.pull = pull{}
		return m.takeActions()
	}
	if staging == nil {
		m.pull = pull{}
		m.applyDeltas(now, from, answer)
	} else {
		m.applyBuckets(now, staging, answer)
	}
	m.observePeerVersion(now, answer.Version, answer.Age)
	return m.takeActions()
}

func (m *Machine) applyDeltas(now time.Time, from transport.Address, answer *PullAnswer) {
	for i := range answer.Deltas {
		m.applyOrPull(now, from, &answer.Deltas[i])
	}
	if m.pull.active || answer.Version <= m.state.version {
		return
	}
	if len(answer.Deltas) > 0 {
		m.startPull(now, from)
		return
	}
	m.startBucketPull(now, from)
}

func (m *Machine) applyBuckets(now time.Time, staging *State, answer *PullAnswer) {
	if m.state.known && answer.Version <= m.state.version {
		m.pull = pull{}
		return
	}
	for _, bucket := range answer.Buckets {
		staging.replaceBucket(bucket)
	}
	if staging.digest() != answer.Digest {
		m.pull.began = now
		if len(answer.Buckets) == 0 {
			m.pull = pull{}
			return
		}
		m.callForBuckets()
		return
	}
	m.pull = pull{}
	staging.version, staging.known = answer.Version, true
	if name, ok := m.state.precedes(staging); !ok && answer.Version.Epoch() == m.state.version.Epoch() {
		// The peer applied writes of a store that was rolled back. An
		// operator must decide which history is kept.
		m.emit(Notify{Notice: NoticeDivergence, Name: name, InForce: m.state.version, Found: answer.Version})
		m.avoidPullsUntil = now.Add(divergencePause)
		return
	}
	m.install(now, staging)
}
