package batchwork

import (
	"sort"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

const (
	// claimSlack is how much longer a claim is kept than its job may be.
	claimSlack = time.Minute
	// fenceKeep is how long a fence is kept. What it keeps out was claimed before it and
	// is sent within seconds.
	fenceKeep = time.Hour
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
	formers, err := unpackShards(fields[0])
	route, tenant, found := strings.Cut(name, "\x00")
	if err != nil || !found {
		return wire.ErrLength
	}
	m.homes[queue{route, tenant}] = &home{shard: ledger.ShardID(fixed.Shard), epoch: fixed.Epoch, version: fixed.Version, formers: formers}
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

// stale is a claim or fence that may be forgotten.
type stale struct {
	letter byte
	name   string
	at     int64
}

type fixedStale struct {
	Letter uint8
	At     int64
}

func (s stale) marshal() []byte { return marshal(fixedStale{s.letter, s.at}, []byte(s.name)) }

func encodeForget(list []stale, now time.Time) []byte {
	fields := make([][]byte, 0, len(list))
	for _, one := range list {
		fields = append(fields, one.marshal())
	}
	return marshal(fixedCommand{commandForget, now.UnixMilli()}, fields...)
}

// forgettable lists claims of jobs that are gone by now, and old fences.
func (m *Machine) forgettable(now time.Time, keep time.Duration) []stale {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var list []stale
	for job, one := range m.claims {
		if now.Sub(time.UnixMilli(one.at)) > time.Duration(one.retention)+keep+claimSlack {
			list = append(list, stale{keyClaim, job, one.at})
		}
	}
	for name, one := range m.fences {
		if now.Sub(time.UnixMilli(one.at)) > fenceKeep {
			list = append(list, stale{keyFence, name, one.at})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// forget drops what is still as it was when it was listed, and homes of queues without
// any claim; the caller holds the mutex.
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
