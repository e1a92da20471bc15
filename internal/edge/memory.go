package edge

import "sync"

// memoryDivisor gives the part of a node's memory that bodies and unread results may use.
// Half of the memory is needed for the node's own data and connections, and bodies are copied
// once.
const memoryDivisor = 4

// MemoryBudget bounds the memory that a node holds for its callers, which may be slow to send
// and to read, and for engines' responses. A nil MemoryBudget doesn't bound it.
type MemoryBudget struct {
	whole *MemoryBudget // of which this one is a part; nil if none
	mutex sync.Mutex    // guards free; only that of whole is taken while it is held
	free  int64
}

// NewMemoryBudget returns the budget for a node with that many bytes of memory; nil if
// unknown.
func NewMemoryBudget(memory int64) *MemoryBudget {
	if memory <= 0 {
		return nil
	}
	return &MemoryBudget{free: memory / memoryDivisor}
}

// Half returns a budget of half of the bytes, which are reserved in b too: what it bounds leaves the other
// half to the rest.
func (b *MemoryBudget) Half() *MemoryBudget {
	if b == nil {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return &MemoryBudget{whole: b, free: b.free / 2}
}

// Reserve reserves bytes, and returns false if fewer are free.
func (b *MemoryBudget) Reserve(bytes int64) bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if bytes > b.free || !b.whole.Reserve(bytes) {
		return false
	}
	b.free -= bytes
	return true
}

// Release releases reserved bytes.
func (b *MemoryBudget) Release(bytes int64) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.free += bytes
	b.whole.Release(bytes)
}
