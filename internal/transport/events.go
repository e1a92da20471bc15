package transport

import "chutelock.dev/chutelock/internal/telemetry"

// Events of the transport.
var (
	EventPeerUnreachable  = telemetry.Define(1101, "peer unreachable", "A connection to a peer could not be made; what waited for it was failed or dropped. Retried with backoff.")
	EventHandshakeRefused = telemetry.Define(1102, "handshake refused", "A connection was closed because the other side did not prove the shared key or speaks another version.")
)
