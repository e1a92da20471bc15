package transport

import "chutelock.dev/chutelock/internal/telemetry"

// Log events of the transport.
var (
	EventPeerUnreachable  = telemetry.Define(1101, "peer unreachable", "A connection to a peer could not be established; calls queued for it failed and messages were dropped. Retried with backoff.")
	EventHandshakeRefused = telemetry.Define(1102, "handshake refused", "A connection was closed because the other side did not prove knowledge of a shared key or uses another protocol version.")
)
