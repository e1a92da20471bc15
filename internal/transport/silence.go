package transport

import (
	"time"

	"chutelock.dev/chutelock/internal/telemetry"
)

var eventPeerSilent = telemetry.Define(4310, "peer-connection-silent", "A connection to a peer was closed because the peer did not answer a ping in time; the next message opens a new one.")

const (
	// kindPing is a call that every node answers without a handler.
	kindPing Kind = 0x0001
	// pingInterval is the time between pings of a connection in use, and maxSilence the
	// time without any frame after a ping until the connection is closed. A failed path
	// may drop packets without a reset while new connections work; one-way messages would
	// be lost until TCP times out, after minutes.
	pingInterval = 800 * time.Millisecond
	maxSilence   = 2 * time.Second
)

// monitor pings the peer while frames are sent and closes a silent connection. Any
// received frame counts as an answer. done closes with the connection.
func (c *peerClient) monitor(conn *connection, done <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	var pingedAt time.Time // first ping since the last received frame, or zero
	lastWritten := uint64(0)
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			if lastRead := conn.lastRead.Load(); !pingedAt.IsZero() && lastRead != nil && lastRead.After(pingedAt) {
				pingedAt = time.Time{}
			}
			if !pingedAt.IsZero() && now.Sub(pingedAt) >= maxSilence {
				eventPeerSilent.Info("peer", c.key.address, "silent", now.Sub(pingedAt))
				conn.Close()
				return
			}
			written := conn.framesWritten.Load()
			if written == lastWritten || conn.readSince(now.Add(-pingInterval)) {
				continue // nothing was sent, or a frame was received
			}
			lastWritten = written + 1 // counts the ping queued below
			if pingedAt.IsZero() {
				pingedAt = now
			}
			c.ping()
		}
	}
}

// readSince reports whether a frame was read after the given time.
func (c *connection) readSince(since time.Time) bool {
	lastRead := c.lastRead.Load()
	return lastRead != nil && lastRead.After(since)
}

// ping queues a ping unless the queue is full.
func (c *peerClient) ping() {
	header := frameHeader{Type: frameCall, Kind: kindPing, ID: c.node.nextID.Add(1), TimeoutMS: uint32(maxSilence.Milliseconds())}
	select {
	case c.queue <- &frame{header: header}:
	default:
	}
}

// answerPing answers a ping without a worker, so that a busy pool doesn't delay it.
func answerPing(f frame, answers chan<- *frame) {
	answer := frame{header: frameHeader{Type: frameAnswer, Kind: kindPing, ID: f.header.ID}}
	select {
	case answers <- &answer:
	default: // any queued answer shows that the connection works
	}
}
