package edge

import "sync"

// memoryDivisor gives the part of a node's memory that bodies and unread results may use.
// Half of the memory is needed for the node's own data and connections, and bodies are copied
// once.
const memoryDivisor = 4

// Room limits the memory that a node holds for its callers, which may be slow to send and to
// read. A nil Room doesn't limit it.
type Room struct {
	mutex sync.Mutex // guards free; no other lock is taken while it is held
	free  int64
}

// NewRoom returns the limit for a node with that many bytes of memory; nil if unknown.
func NewRoom(memory int64) *Room {
	if memory <= 0 {
		return nil
	}
	return &Room{free: memory / memoryDivisor}
}

// Reserve reserves bytes, and returns false if fewer are free.
func (r *Room) Reserve(bytes int64) bool {
	if r == nil {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if bytes > r.free {
		return false
	}
	r.free -= bytes
	return true
}

// Release releases reserved bytes.
func (r *Room) Release(bytes int64) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.free += bytes
}
