package transport

import (
	"time"

	"chutelock.dev/chutelock/internal/telemetry"
)

var eventPeerSilent = telemetry.Define(4310, "peer-connection-silent", "A connection to a peer answered nothing for too long and is closed; the next message opens another.")

const (
	// kindPing is a call that every node answers at once.
	kindPing Kind = 0x0001
	// pingInterval is the time between two pings of a connection in use, and
	// silenceMost how long it may leave one unanswered. A connection may go silent for
	// good without a reset, while new ones work; messages that want no answer would be
	// lost on it until the kernel gives up, after minutes.
	pingInterval = 800 * time.Millisecond
	silenceMost  = 2 * time.Second
)

// watch closes a connection that has gone silent: it pings while something is sent, and
// any frame that comes counts as the answer. done closes with the connection.
func (o *outgoing) watch(conn *connection, done <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	var pinged time.Time // the first ping since the last frame; zero if there is none
	written := uint64(0)
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			if readAt := conn.readAt.Load(); !pinged.IsZero() && readAt != nil && readAt.After(pinged) {
				pinged = time.Time{}
			}
			if !pinged.IsZero() && now.Sub(pinged) >= silenceMost {
				eventPeerSilent.Info("peer", o.key.address, "silent", now.Sub(pinged))
				conn.Close()
				return
			}
			sent := conn.written.Load()
			if sent == written || conn.readSince(now.Add(-pingInterval)) {
				continue // nothing is sent, or the peer is heard
			}
			written = sent + 1 // and the ping
			if pinged.IsZero() {
				pinged = now
			}
			o.ping()
		}
	}
}

// readSince says whether a frame came after a time.
func (c *connection) readSince(at time.Time) bool {
	readAt := c.readAt.Load()
	return readAt != nil && readAt.After(at)
}

// ping queues a ping, if there is room: a full queue is as good.
func (o *outgoing) ping() {
	header := frameHeader{Type: frameCall, Kind: kindPing, ID: o.node.nextID.Add(1), TimeoutMS: uint32(silenceMost.Milliseconds())}
	select {
	case o.queue <- &frame{header: header}:
	default:
	}
}

// pong answers a ping without waiting for a worker.
func pong(f frame, answers chan<- *frame) {
	answer := frame{header: frameHeader{Type: frameAnswer, Kind: kindPing, ID: f.header.ID}}
	select {
	case answers <- &answer:
	default: // answers wait already
	}
}
