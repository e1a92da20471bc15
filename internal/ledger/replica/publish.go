package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
)

const (
	// publishInterval is the time between checks for changes to publish.
	publishInterval = 2 * time.Second
	// publishRetryDelay is the time to the next attempt after the store failed.
	publishRetryDelay = 30 * time.Second
)

// runPublish updates the store's copy of the replica sets that this node leads. It
// is for operators only; the ledger doesn't depend on it.
func (s *Service) runPublish() {
	if s.options.Store == nil {
		return
	}
	wait := publishInterval
	for s.sleep(wait) {
		wait = publishInterval
		for _, shard := range s.allShards() {
			if err := shard.publish(); err != nil && s.running.Err() == nil {
				eventDirectoryFailed.Error(err, "step", "publish", "shard", shard.id)
				wait = publishRetryDelay
				break
			}
		}
	}
}

// publish writes the replica set if this replica leads and the set has changed.
func (s *Shard) publish() error {
	current, leads := s.publishable()
	if !leads {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.service.running, storeTimeout)
	defer cancel()
	object, err := s.service.options.Store.Get(ctx, platform.KindShard, s.service.objectName(s.id))
	if err != nil {
		return trace.Wrap(err, "read the directory of shard %d", s.id)
	}
	var spec shardObject
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return trace.Wrap(err, "read the directory of shard %d", s.id)
	}
	if spec.Term > current.Term {
		return nil // already published by a later leader
	}
	current.Initial, current.Region = spec.Initial, spec.Region
	encoded, err := json.Marshal(current)
	if err != nil {
		return trace.Wrap(err)
	}
	if !bytes.Equal(encoded, object.Spec) {
		object.Spec = encoded
		_, err = s.service.options.Store.Put(ctx, object)
	}
	if err == nil {
		s.recordPublished(current)
	}
	return trace.Wrap(err, "write the directory of shard %d", s.id)
}

// publishable returns the current replica set and whether it must be published.
func (s *Shard) publishable() (shardObject, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.halted != nil || s.softState.Leader != s.replicaID {
		return shardObject{}, false
	}
	status := s.core.Status()
	if status.ConfigurationPending {
		return shardObject{}, false
	}
	current := shardObject{Leader: s.service.self().Name, Term: status.Term}
	for _, id := range status.Configuration.Members() {
		entry := s.roster[id]
		current.Current = append(current.Current, replicaRecord{
			Replica: id, Node: entry.Node, Zone: entry.Zone, Address: entry.Address,
			Learner: status.Configuration.HasLearner(id),
		})
	}
	changed := s.published.Term != current.Term || !slices.Equal(s.published.Current, current.Current)
	return current, changed
}

func (s *Shard) recordPublished(object shardObject) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.published = object
}
