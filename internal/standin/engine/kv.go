package engine

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/standin/engine/scheduler"
	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// KVEventType is the kind of cache change that a KV event reports.
type KVEventType string

// Types of KV events.
const (
	KVStored  KVEventType = "stored"
	KVRemoved KVEventType = "removed"
)

// KVEvent is one line of the KV-event stream. Sequence numbers increase by one;
// a reader that finds a gap must treat its view of the cache as stale.
type KVEvent struct {
	Sequence uint64      `json:"sequence"`
	At       time.Time   `json:"at"`
	Type     KVEventType `json:"type"`
	// Blocks holds hexadecimal prefix hashes, see scheduler.HashBlocks.
	Blocks []string `json:"blocks"`
}

// eventCapacity is the maximum number of KV events kept for readers.
const eventCapacity = 16384

// eventLog keeps the newest KV events. Lock order: mutex, then the injector's.
type eventLog struct {
	lag time.Duration

	mutex    sync.Mutex
	sequence uint64
	events   []KVEvent // rising sequence
	changed  chan struct{}
}

func newEventLog(lag time.Duration) *eventLog {
	return &eventLog{lag: lag, changed: make(chan struct{})}
}

// add appends the changes of one step. A fault.EventGap uses up a sequence
// number and drops the event.
func (l *eventLog) add(now time.Time, stored, removed []uint64, injector *fault.Injector) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, change := range []struct {
		kind   KVEventType
		hashes []uint64
	}{{KVRemoved, removed}, {KVStored, stored}} {
		if len(change.hashes) == 0 {
			continue
		}
		l.sequence++
		if _, lost := injector.Take(now, fault.EventGap, fault.Target{}); lost {
			continue
		}
		l.events = append(l.events, KVEvent{Sequence: l.sequence, At: now, Type: change.kind, Blocks: formatHashes(change.hashes)})
	}
	if surplus := len(l.events) - eventCapacity; surplus > 0 {
		l.events = append(l.events[:0], l.events[surplus:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// FormatHash returns a block hash in hexadecimal, as the API encodes it.
func FormatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

func formatHashes(hashes []uint64) []string {
	texts := make([]string, len(hashes))
	for i, hash := range hashes {
		texts[i] = FormatHash(hash)
	}
	return texts
}

// after returns the events past a sequence number that are at least lag old,
// the time at which the next one will be (zero if none is pending), and a
// channel that is closed on the next add.
func (l *eventLog) after(sequence uint64, now time.Time) (due []KVEvent, next time.Time, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, event := range l.events {
		if event.Sequence <= sequence {
			continue
		}
		if dueAt := event.At.Add(l.lag); dueAt.After(now) {
			return due, dueAt, l.changed
		}
		due = append(due, event)
	}
	return due, time.Time{}, l.changed
}

// streamEvents streams the KV events past ?after= as JSON lines.
func (s *Server) streamEvents(writer http.ResponseWriter, request *http.Request) {
	sequence, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	_ = controller.Flush()
	for {
		due, next, changed := s.events.after(sequence, time.Now())
		for _, event := range due {
			if encoder.Encode(event) != nil {
				return
			}
			sequence = event.Sequence
		}
		if len(due) > 0 && controller.Flush() != nil {
			return
		}
		if !waitForEvents(request.Context(), next, changed) {
			return
		}
	}
}

func waitForEvents(ctx context.Context, next time.Time, changed <-chan struct{}) bool {
	if !next.IsZero() {
		return sleepUntil(ctx, next)
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// blockRequest selects blocks by their hashes or, if Blocks is empty, by prompt.
type blockRequest struct {
	Model  string   `json:"model"`
	Prompt string   `json:"prompt"`
	Blocks []string `json:"blocks"`
}

func (s *Server) requestedHashes(selected blockRequest) ([]uint64, error) {
	if len(selected.Blocks) == 0 {
		return scheduler.HashBlocks(selected.Model, []byte(selected.Prompt), s.blockTokens(), truth.TokenBytes), nil
	}
	hashes := make([]uint64, len(selected.Blocks))
	for i, text := range selected.Blocks {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return nil, err
		}
		hashes[i] = hash
	}
	return hashes, nil
}

// hashBytes is the size of the hash that precedes a block's content.
const hashBytes = 8

// exportBlocks sends the leading cached blocks of a prompt, each as its hash
// followed by its content.
func (s *Server) exportBlocks(writer http.ResponseWriter, request *http.Request) {
	var selected blockRequest
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&selected)
	var hashes []uint64
	if err == nil {
		hashes, err = s.requestedHashes(selected)
	}
	if err != nil {
		writeError(writer, http.StatusBadRequest, errorDetail{err.Error(), "invalid_request_error", "invalid_blocks"})
		return
	}
	s.mutex.Lock()
	hashes = hashes[:s.scheduler.Cached(hashes)]
	s.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/octet-stream")
	block := make([]byte, hashBytes+s.config.BlockBytes)
	for _, hash := range hashes {
		binary.BigEndian.PutUint64(block, hash)
		if _, err := writer.Write(block); err != nil {
			return
		}
	}
}

// importResponse reports how many leading blocks are cached after an import.
type importResponse struct {
	Blocks int `json:"blocks"`
}

// importBlocks caches the blocks that another engine's exportBlocks sent. It
// refuses blocks of a different size, because their content would be wrong.
func (s *Server) importBlocks(writer http.ResponseWriter, request *http.Request) {
	var hashes []uint64
	block := make([]byte, hashBytes+s.config.BlockBytes)
	for {
		_, err := io.ReadFull(request.Body, block)
		if err == io.EOF {
			break
		}
		if err != nil {
			writeError(writer, http.StatusBadRequest, errorDetail{"blocks of another size: " + err.Error(), "invalid_request_error", "invalid_blocks"})
			return
		}
		hashes = append(hashes, binary.BigEndian.Uint64(block))
	}
	s.mutex.Lock()
	imported := s.scheduler.Import(hashes)
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, importResponse{Blocks: imported})
}
