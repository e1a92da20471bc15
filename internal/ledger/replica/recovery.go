package replica

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/storage"
)

const (
	// diskProbeInterval is the time between checks whether a failed disk accepts writes.
	diskProbeInterval = 250 * time.Millisecond
	// Delays between attempts to restart replicas; see restartPacer.
	minRestartDelay = 250 * time.Millisecond
	maxDiskDelay    = 2 * time.Second
	maxReplicaDelay = time.Minute
	// stopTimeout limits the wait for the disk's operations in progress as the replicas stop.
	stopTimeout = 2 * time.Second
)

// restartPacer spaces repeated restarts: the delay before each doubles up to max, and is
// reset once there was none for twice that time.
type restartPacer struct {
	max   time.Duration
	delay time.Duration
	last  time.Time
}

// next returns the delay before a restart that is requested now.
func (p *restartPacer) next(now time.Time) time.Duration {
	if p.delay == 0 || now.Sub(p.last) > 2*p.max {
		p.delay = minRestartDelay
	} else {
		p.delay = min(2*p.delay, p.max)
	}
	p.last = now
	return p.delay
}

// replicaRestart is the pending restart of a halted replica.
type replicaRestart struct {
	pacer restartPacer
	due   time.Time // zero if none is pending
}

// watchDisk opens the ledger again after its disk failed, restarts halted replicas, and
// resigns leadership while the disk is full or the node drains.
func (s *Service) watchDisk() {
	ticker := time.NewTicker(s.options.RepairInterval)
	defer ticker.Stop()
	pacer := restartPacer{max: maxDiskDelay}
	restarts := map[ledger.ShardID]*replicaRestart{}
	cause := s.openFailure
	for {
		if cause != nil {
			if !s.recoverDisk(cause, &pacer) {
				return
			}
			cause = nil
		}
		ticker.Reset(s.interval(s.options.RepairInterval))
		store := s.disk()
		select {
		case <-s.running.Done():
			return
		case halted := <-s.failed:
			if errors.Is(halted, storage.ErrCorrupt) {
				cause = halted
			}
		case <-store.Failed():
			cause = store.Failure()
		case <-ticker.C:
			s.metrics.diskBytes.Set(float64(store.DiskBytes()))
			cause = s.restartHalted(restarts, clock.Now())
			if cause == nil && (store.Full() || s.isDraining() || s.evacuating()) {
				s.resignAll() // repeated in case of a re-election
			}
		}
	}
}

// recoverDisk halts the replicas, waits until the disk accepts writes and opens the ledger
// again: with an empty folder if the cause is a corruption, and else as after a crash of the
// process. The replicas keep answering with their IDs until then, so that they are not
// taken for lost. It returns false if the service closes first.
func (s *Service) recoverDisk(cause error, pacer *restartPacer) bool {
	since := clock.Now()
	s.haltAll(cause)
	s.metrics.diskFailed.Set(1)
	discard := errors.Is(cause, storage.ErrCorrupt)
	for {
		if !s.sleep(pacer.next(clock.Now())) || !s.awaitWritable() {
			return false
		}
		err := s.reopenDisk(cause, &discard)
		if err == nil {
			break
		}
		eventReopenFailed.Error(err, "folder", s.options.Folder)
	}
	s.metrics.diskFailed.Set(0)
	s.setOpenFailure(nil)
	eventReopened.Info("folder", s.options.Folder, "after", clock.Since(since), "replicas", len(s.allShards()), "cause", cause)
	return true
}

// awaitWritable waits until the disk accepts writes and logs other failures than a refusal. It
// returns false if the service closes first, and doesn't wait for a disk that hangs then.
func (s *Service) awaitWritable() bool {
	for {
		probed := make(chan error, 1)
		go func() { probed <- storage.CheckWritable(s.diskOptions()) }()
		select {
		case <-s.running.Done():
			return false
		case err := <-probed:
			if err == nil {
				return true
			}
			pause := diskProbeInterval
			if !errors.Is(err, storage.ErrFailed) {
				eventReopenFailed.Error(err, "folder", s.options.Folder)
				pause = maxDiskDelay
			}
			if !s.sleep(pause) {
				return false
			}
		}
	}
}

// reopenDisk closes the ledger and opens it again. With discard, it first removes the folder
// and then clears discard.
func (s *Service) reopenDisk(cause error, discard *bool) error {
	if store := s.disk(); store != nil {
		store.Resume()
	}
	if err := s.closeDisk(); err != nil {
		eventReopenFailed.Error(err, "folder", s.options.Folder) // the store is opened as after a crash
	}
	select {
	case <-s.failed: // of a replica of the closed store
	default:
	}
	if *discard {
		eventRejoining.Error(cause, "folder", s.options.Folder)
		if err := storage.Discard(s.diskOptions(), cause); err != nil {
			return trace.Wrap(err)
		}
		*discard = false
	}
	return s.openDisk()
}

// restartHalted restarts the replicas that halted for another reason than their disk, such
// as an error of the state machine. On an error, the whole ledger must be opened again.
func (s *Service) restartHalted(restarts map[ledger.ShardID]*replicaRestart, now time.Time) error {
	for _, shard := range s.allShards() {
		if !shard.isHalted() {
			continue
		}
		restart := restarts[shard.id]
		if restart == nil {
			restart = &replicaRestart{pacer: restartPacer{max: maxReplicaDelay}}
			restarts[shard.id] = restart
		}
		if restart.due.IsZero() {
			restart.due = now.Add(restart.pacer.next(now))
		}
		if now.Before(restart.due) {
			continue
		}
		restart.due = time.Time{}
		if err := s.restartReplica(shard); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) isHalted() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.halted != nil && !s.stopped
}

// restartReplica restarts a halted replica from its state on disk.
func (s *Service) restartReplica(shard *Shard) error {
	shard.stop()
	s.mutex.Lock()
	if s.shards[shard.id] == shard {
		delete(s.shards, shard.id)
	}
	s.mutex.Unlock()
	restarted, err := s.openReplica(shard.id, nil)
	if err != nil {
		return trace.Wrap(err, "restart the replica of shard %d", shard.id)
	}
	eventRestarted.Info("shard", shard.id, "replica", restarted.replicaID, "cause", shard.halted)
	return nil
}

func (s *Service) haltAll(cause error) {
	for _, shard := range s.allShards() {
		shard.mutex.Lock()
		shard.halt(cause)
		shard.mutex.Unlock()
	}
}

// diskFailure returns the reason that the ledger's disk can't be used, or nil.
func (s *Service) diskFailure() error {
	if store := s.disk(); store != nil {
		return store.Failure()
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.openFailure
}

func (s *Service) setOpenFailure(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openFailure = cause
}
