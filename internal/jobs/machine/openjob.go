package machine

import (
	"encoding/binary"
	"math/bits"
)

const (
	wordBits   = 64
	blockWords = 8
	blockItems = blockWords * wordBits // items in one stored block of the bitmap
)

// bitmap is a set of item indexes.
type bitmap []uint64

func newBitmap(items uint32) bitmap { return make(bitmap, (items+wordBits-1)/wordBits) }

func (b bitmap) has(index uint32) bool { return b[index/wordBits]&(1<<(index%wordBits)) != 0 }
func (b bitmap) add(index uint32)      { b[index/wordBits] |= 1 << (index % wordBits) }
func (b bitmap) remove(index uint32)   { b[index/wordBits] &^= 1 << (index % wordBits) }

// nextAbsent returns the lowest index not below from that is not in the set.
func (b bitmap) nextAbsent(from uint32) uint32 {
	word := from / wordBits
	if int(word) >= len(b) {
		return from
	}
	missing := ^b[word] >> (from % wordBits) << (from % wordBits)
	for missing == 0 {
		word++
		if int(word) == len(b) {
			return word * wordBits
		}
		missing = ^b[word]
	}
	return word*wordBits + uint32(bits.TrailingZeros64(missing))
}

func (b bitmap) encodeBlock(block uint32) []byte {
	first := int(block) * blockWords
	encoded := make([]byte, 0, blockWords*8)
	for word := first; word < first+blockWords && word < len(b); word++ {
		encoded = binary.BigEndian.AppendUint64(encoded, b[word])
	}
	return encoded
}

func (b bitmap) decodeBlock(block uint32, encoded []byte) {
	word := int(block) * blockWords
	for ; len(encoded) >= 8 && word < len(b); encoded = encoded[8:] {
		b[word] = binary.BigEndian.Uint64(encoded)
		word++
	}
}

// lease is the set of items leased to a dispatcher in one epoch.
type lease struct {
	dispatcher string
	indexes    []uint32 // as stored, including items with a result
	remaining  int      // indexes without a result
}

// openJob is the in-memory summary of an accepted job that is not final.
type openJob struct {
	record   JobRecord
	counters Counters
	done     bitmap            // items with a result
	taken    bitmap            // items with a result, or leased
	leased   map[uint32]uint64 // leased item → epoch
	// customIDs holds the custom_id of each leased item, to save a read per result.
	customIDs map[uint32]string
	leases    map[uint64]*lease // epoch → lease
	started   map[uint32]uint64 // started non-repeatable item without a result → epoch
	// lowest is a lower bound of the lowest open item's index.
	lowest uint32
	// available is the number of items neither final nor leased.
	available uint32
}

func newOpenJob(record JobRecord) *openJob {
	return &openJob{
		record: record, done: newBitmap(record.Items), taken: newBitmap(record.Items),
		leased: map[uint32]uint64{}, customIDs: map[uint32]string{}, leases: map[uint64]*lease{}, started: map[uint32]uint64{},
		available: record.Items,
	}
}

// nextOpen returns the lowest index of an item neither final nor leased.
func (j *openJob) nextOpen() uint32 {
	j.lowest = j.taken.nextAbsent(j.lowest)
	return j.lowest
}

// take adds the lowest open item to a lease.
func (j *openJob) take(epoch uint64, held *lease, customID string) {
	index := j.nextOpen()
	j.lowest = index + 1
	j.available--
	j.taken.add(index)
	j.leased[index] = epoch
	j.customIDs[index] = customID
	held.indexes = append(held.indexes, index)
	held.remaining++
}

// reopen makes a leased item available again.
func (j *openJob) reopen(index uint32) {
	delete(j.leased, index)
	delete(j.customIDs, index)
	j.taken.remove(index)
	j.available++
	j.lowest = min(j.lowest, index)
}

// finish marks an item as final.
func (j *openJob) finish(index uint32) {
	if !j.taken.has(index) {
		j.taken.add(index)
		j.available--
	}
	j.done.add(index)
	delete(j.leased, index)
	delete(j.customIDs, index)
	delete(j.started, index)
}

// remainingItems returns the number of items without a result.
func (j *openJob) remainingItems() uint32 { return j.record.Items - j.counters.Final() }
