// Package swim is chutelock's failure detector and membership protocol, after
// SWIM (Das, Gupta and Motivala, DSN 2002), as a pure state machine: messages
// and time go in, messages come out.
//
// A Node probes one member of its own zone in each probe interval, in turn its
// ring successor and a member of a shuffled round, so that its cost does not
// grow with the zone and every member is probed within two intervals. A probe
// without an answer is repeated directly and through other members; when that
// fails too the member is suspected, and dead when it does not refute the
// suspicion in time by a higher incarnation. Changes travel on the probes, a
// bounded number of times, and at once to a few members by whoever learns them.
//
// Two elected delegates of each zone send table hashes to a member of each other
// zone; where the hashes differ, the records of that zone are exchanged. The
// same exchange with a random member, with a member believed dead and with the
// seeds repairs what was lost and lets halves of a fleet that was cut heal.
//
// The caller must call Tick at least every TickInterval, pass each datagram to
// HandleDatagram and each sync call to HandleSync, send what they return, and
// pass the answer of a sync call to HandleSyncAnswer. It must not call two
// methods at once. A pause of the caller is noticed by the gap between ticks,
// and is not taken as a failure of others.
package swim
