package batchwork

import (
	"sort"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

const (
	// claimMargin is how long a claim outlives the longest retention of its job.
	claimMargin = time.Minute
	// fenceRetention is how long a fence is kept. Jobs claimed before it arrive within
	// seconds.
	fenceRetention = time.Hour
)

func (m *Machine) loadClaim(job string, _ []uint64, value []byte) error {
	var fixed fixedClaimRecord
	fields, err := unmarshal(value, &fixed, 2)
	if err != nil {
		return err
	}
	of := queue{string(fields[0]), string(fields[1])}
	m.claims[job] = &claim{
		shard: ledger.ShardID(fixed.Shard), tenant: of.tenant, queue: of, epoch: fixed.Epoch, at: fixed.At, retention: fixed.Retention,
	}
	m.countClaim(of, 1)
	return nil
}

func (m *Machine) loadHome(name string, _ []uint64, value []byte) error {
	var fixed fixedHomeRecord
	fields, err := unmarshal(value, &fixed, 1)
	if err != nil {
		return err
	}
	formerHomes, err := decodeShards(fields[0])
	route, tenant, found := strings.Cut(name, "\x00")
	if err != nil || !found {
		return wire.ErrLength
	}
	m.homes[queue{route, tenant}] = &home{shard: ledger.ShardID(fixed.Shard), epoch: fixed.Epoch, version: fixed.Version, formerHomes: formerHomes}
	return nil
}

func (m *Machine) loadFence(name string, _ []uint64, value []byte) error {
	var fixed fixedFenceRecord
	if _, err := unmarshal(value, &fixed, 0); err != nil {
		return err
	}
	m.fences[name] = fenceRecord{fixed.Epoch, fixed.At}
	return nil
}

// staleRecord names a claim or fence that may be deleted.
type staleRecord struct {
	prefix byte
	name   string
	at     int64
}

type fixedStale struct {
	Letter uint8
	At     int64
}

func (s staleRecord) marshal() []byte { return marshal(fixedStale{s.prefix, s.at}, []byte(s.name)) }

func encodeForget(list []staleRecord, now time.Time) []byte {
	fields := make([][]byte, 0, len(list))
	for _, record := range list {
		fields = append(fields, record.marshal())
	}
	return marshal(fixedCommand{commandForget, now.UnixMilli()}, fields...)
}

// forgettable lists expired claims and fences. Closed jobs are listed by purgeable.
func (m *Machine) forgettable(now time.Time, retention time.Duration) []staleRecord {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var list []staleRecord
	for job, record := range m.claims {
		if now.Sub(time.UnixMilli(record.at)) > time.Duration(record.retention)+retention+claimMargin {
			list = append(list, staleRecord{keyClaim, job, record.at})
		}
	}
	for name, record := range m.fences {
		if now.Sub(time.UnixMilli(record.at)) > fenceRetention {
			list = append(list, staleRecord{keyFence, name, record.at})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// forget deletes the listed records that haven't changed since, and homes of queues without
// claims; the caller holds the mutex.
func (m *Machine) forget(writer ledger.Writer, fields [][]byte) error {
	for _, field := range fields {
		var fixed fixedStale
		parts, err := unmarshal(field, &fixed, 1)
		if err != nil {
			return err
		}
		name := string(parts[0])
		switch fixed.Letter {
		case keyClaim:
			err = m.forgetClaim(writer, name, fixed.At)
		case keyFence:
			if m.fences[name].at == fixed.At {
				delete(m.fences, name)
				err = writer.Delete(key(keyFence, name))
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) forgetClaim(writer ledger.Writer, job string, at int64) error {
	known := m.claims[job]
	if known == nil || known.at != at {
		return nil
	}
	delete(m.claims, job)
	m.countClaim(known.queue, -1)
	if err := writer.Delete(key(keyClaim, job)); err != nil {
		return err
	}
	if of := m.homes[known.queue]; of == nil || of.claims > 0 {
		return nil
	}
	delete(m.homes, known.queue)
	return writer.Delete(key(keyHome, known.queue.name()))
}
