// Package swim implements the SWIM failure detector and membership protocol (Das,
// Gupta and Motivala, DSN 2002) as a deterministic state machine without I/O.
//
// A Node probes one member of its own zone in each probe interval, alternating
// between its ring successor and the next member in shuffled order. Its cost is
// thus independent of the zone's size, and every member is probed within two
// intervals. An unanswered probe is retried directly and through other members.
// If the retries fail, the member becomes suspect, and dead unless it refutes the
// suspicion in time with a higher incarnation. Changes are piggybacked on probes a
// bounded number of times and pushed at once to a few random members.
//
// Two elected delegates of each zone send table hashes to one member of every other
// zone. Where the hashes differ, the two nodes exchange the records of that zone.
// The same anti-entropy exchange with a random member, and with a dead member or a
// seed, recovers lost updates and merges the two sides of a network partition.
//
// The caller must call Tick at least every TickInterval, pass each datagram to
// HandleDatagram and each sync call to HandleSync, send the returned messages, and
// pass the answer of a sync call to HandleSyncAnswer. Calls must not overlap. A
// pause of the process is detected by the gap between ticks and does not cause
// suspicions.
package swim
