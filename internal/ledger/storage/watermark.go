package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

const (
	// watermarkFile is stored beside pebble's files.
	watermarkFile = "SYNCED"
	// watermarkSlots are written alternately, each in a page of its own, so that
	// a torn write damages only one of them.
	watermarkSlots    = 2
	watermarkSlotStep = 4096
	watermarkSlotSize = 3 * 8
)

// watermark stores, outside of pebble, the sequence of the last synced write.
// Pebble truncates a write-ahead log at the first damage unless it finds evidence
// of a later sync, which may silently drop synced writes; the sequence in the
// store is then below the watermark.
//
// A slot is written after the sync that it records and is itself synced only
// periodically: after a power loss it may be too low, but never too high.
type watermark struct {
	file vfs.File

	mutex   sync.Mutex
	highest uint64
	dirty   bool
}

// openWatermark opens or creates the file and reads the highest sequence that
// belongs to the incarnation; 0 if there is none.
func openWatermark(options Options, incarnation uint64) (*watermark, error) {
	path := options.FS.PathJoin(options.Folder, watermarkFile)
	file, err := options.FS.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
	if errors.Is(err, fs.ErrNotExist) {
		file, err = options.FS.Create(path, vfs.WriteCategoryUnspecified)
	}
	if err != nil {
		return nil, fmt.Errorf("open the sync watermark: %w", err)
	}
	w := &watermark{file: file}
	for slot := range int64(watermarkSlots) {
		var content [watermarkSlotSize]byte
		if _, err := file.ReadAt(content[:], slot*watermarkSlotStep); err != nil && !errors.Is(err, io.EOF) {
			continue // ignore an unreadable slot
		}
		w.highest = max(w.highest, decodeSlot(content[:], incarnation))
	}
	return w, nil
}

func encodeSlot(sequence, incarnation uint64) []byte {
	content := binary.BigEndian.AppendUint64(nil, sequence)
	content = binary.BigEndian.AppendUint64(content, incarnation)
	return binary.BigEndian.AppendUint64(content, xxhash.Sum64(content))
}

func decodeSlot(content []byte, incarnation uint64) uint64 {
	sum := binary.BigEndian.Uint64(content[16:])
	if xxhash.Sum64(content[:16]) != sum || binary.BigEndian.Uint64(content[8:]) != incarnation {
		return 0
	}
	return binary.BigEndian.Uint64(content)
}

// advance records that the write with the sequence was synced. Errors are
// ignored: the watermark then only detects less, and a failed disk fails the
// next write to the store.
func (w *watermark) advance(sequence, incarnation uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if sequence <= w.highest {
		return
	}
	w.highest = sequence
	w.dirty = true
	slot := int64(sequence % watermarkSlots)
	_, _ = w.file.WriteAt(encodeSlot(sequence, incarnation), slot*watermarkSlotStep)
}

// sync makes the watermark durable if it has advanced since the last sync.
func (w *watermark) sync() {
	w.mutex.Lock()
	dirty := w.dirty
	w.dirty = false
	w.mutex.Unlock()
	if dirty {
		_ = w.file.SyncData()
	}
}

func (w *watermark) close() {
	w.sync()
	_ = w.file.Close()
}
