package edge

import "sync"

// roomShare is the part of a node's memory that may be kept for callers: their bodies, and
// pages of results that they have not read yet. Bodies are copied once on their way, and
// half of the memory is what a node's own facts and connections take at most.
const roomShare = 4

// Room bounds the bytes that a node keeps for its callers at a time. Callers may be slow to
// send and to read, and what they leave lying here counts in the node's memory. A nil Room
// bounds nothing.
type Room struct {
	mutex sync.Mutex // guards left; a leaf
	left  int64
}

// NewRoom returns the room of a node with so much memory in bytes; nil if it isn't known.
func NewRoom(memory int64) *Room {
	if memory <= 0 {
		return nil
	}
	return &Room{left: memory / roomShare}
}

// Take takes so many bytes; false if there are not as many left.
func (r *Room) Take(bytes int64) bool {
	if r == nil {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if bytes > r.left {
		return false
	}
	r.left -= bytes
	return true
}

// Give gives bytes back.
func (r *Room) Give(bytes int64) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.left += bytes
}
