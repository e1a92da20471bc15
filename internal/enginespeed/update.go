package enginespeed

import (
	"encoding/binary"
	"math"
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

const (
	// maxLogged is the number of newest observations kept to be sent to peers.
	maxLogged = 1024
	// maxUpdateEntries bounds the entries of an update so that it fits into a datagram.
	maxUpdateEntries = 250
	updateVersion    = 1
	entrySize        = 4 + 1

	// An encoded slowness has 5 bits for its value, from MinSlowness in steps of an eighth of
	// an octave, and 3 bits for its age, rounded up.
	slownessSteps  = 8
	slownessLevels = 32
	ageLevels      = 8
	minAge         = 15 * time.Millisecond // of level 1; each further level doubles it

	// An encoded time between events has 8 bits, from minPerEvent in steps of a sixteenth of
	// an octave.
	minPerEvent   = 250 * time.Microsecond
	perEventSteps = 16
)

// observation is one observation: of a slowness if perEvent is 0, else of a run.
type observation struct {
	key      Key
	at       time.Time
	slowness float64
	perEvent time.Duration
	source   Source
}

// observationLog holds the newest observations. Their sequence numbers begin at 1.
type observationLog struct {
	first   uint64 // sequence number of entries[0] less 1
	entries []observation
}

func (l *observationLog) add(o observation) uint64 {
	if len(l.entries) == 2*maxLogged {
		l.first += maxLogged
		l.entries = append(l.entries[:0], l.entries[maxLogged:]...)
	}
	l.entries = append(l.entries, o)
	return l.last()
}

// last returns the newest sequence number.
func (l *observationLog) last() uint64 { return l.first + uint64(len(l.entries)) }

// Update holds observations for a peer.
type Update struct {
	// Relayed is set if the sender has the observations from other nodes, too; the receiver
	// must not send them on to nodes that relay themselves.
	Relayed    bool
	Slownesses []SlownessEntry
	Runs       []RunEntry
}

// SlownessEntry is an engine's reported slowness.
type SlownessEntry struct {
	Key      Key
	Slowness float64
	Age      time.Duration
}

// RunEntry is the mean time between events of a run.
type RunEntry struct {
	Key      Key
	PerEvent time.Duration
}

// Since returns the observations after the cursor that include accepts, the newest ones if
// there are more than fit into a message, and the cursor for the next call. Reports that a
// newer one replaced, or that are too old to count, are left out.
func (e *Estimates) Since(cursor uint64, now time.Time, include func(Source) bool) (Update, uint64) {
	update := Update{}
	for seq := e.log.last(); seq > max(cursor, e.log.first); seq-- {
		entry := &e.log.entries[seq-e.log.first-1]
		if !include(entry.source) {
			continue
		}
		age := now.Sub(entry.at)
		switch {
		case entry.perEvent > 0:
			update.Runs = append(update.Runs, RunEntry{entry.key, entry.perEvent})
		case age > minAge<<(ageLevels-2):
		case e.engines[entry.key] != nil && e.engines[entry.key].reports == seq:
			update.Slownesses = append(update.Slownesses, SlownessEntry{entry.key, entry.slowness, age})
		}
		if len(update.Slownesses)+len(update.Runs) == maxUpdateEntries {
			break
		}
	}
	return update, e.log.last()
}

// Empty reports whether the update has no observations.
func (u Update) Empty() bool { return len(u.Slownesses)+len(u.Runs) == 0 }

type updateHeader struct{ Relayed bool }

// Marshal encodes the update.
func (u Update) Marshal() []byte {
	slownesses := make([]byte, 0, entrySize*len(u.Slownesses))
	for _, entry := range u.Slownesses {
		slownesses = append(binary.BigEndian.AppendUint32(slownesses, uint32(entry.Key)), encodeSlowness(entry.Slowness, entry.Age))
	}
	runs := make([]byte, 0, entrySize*len(u.Runs))
	for _, entry := range u.Runs {
		runs = append(binary.BigEndian.AppendUint32(runs, uint32(entry.Key)), encodePerEvent(entry.PerEvent))
	}
	encoded, err := wire.Marshal(updateVersion, updateHeader{u.Relayed}, slownesses, runs)
	if err != nil {
		panic(err) // can't happen: updateHeader has a fixed size
	}
	return encoded
}

// UnmarshalUpdate decodes the output of Marshal.
func UnmarshalUpdate(encoded []byte) (Update, error) {
	var header updateHeader
	fields, err := wire.Unmarshal(encoded, updateVersion, &header, 2)
	if err != nil {
		return Update{}, err
	}
	if len(fields[0])%entrySize != 0 || len(fields[1])%entrySize != 0 {
		return Update{}, wire.ErrLength
	}
	update := Update{Relayed: header.Relayed}
	for body := fields[0]; len(body) > 0; body = body[entrySize:] {
		slowness, age := decodeSlowness(body[4])
		update.Slownesses = append(update.Slownesses, SlownessEntry{Key(binary.BigEndian.Uint32(body)), slowness, age})
	}
	for body := fields[1]; len(body) > 0; body = body[entrySize:] {
		update.Runs = append(update.Runs, RunEntry{Key(binary.BigEndian.Uint32(body)), decodePerEvent(body[4])})
	}
	return update, nil
}

func encodeSlowness(slowness float64, age time.Duration) byte {
	level := math.Round(slownessSteps * math.Log2(slowness/MinSlowness))
	level = min(max(level, 0), slownessLevels-1)
	ageLevel := 0
	for ageLevel < ageLevels-1 && age > decodeAge(ageLevel) {
		ageLevel++
	}
	return byte(level)*ageLevels + byte(ageLevel)
}

func decodeSlowness(encoded byte) (slowness float64, age time.Duration) {
	return MinSlowness * math.Exp2(float64(encoded/ageLevels)/slownessSteps), decodeAge(int(encoded % ageLevels))
}

func decodeAge(level int) time.Duration {
	if level == 0 {
		return 0
	}
	return minAge << (level - 1)
}

func encodePerEvent(perEvent time.Duration) byte {
	steps := math.Round(perEventSteps * math.Log2(float64(perEvent)/float64(minPerEvent)))
	return byte(min(max(steps, 0), math.MaxUint8))
}

func decodePerEvent(encoded byte) time.Duration {
	return time.Duration(float64(minPerEvent) * math.Exp2(float64(encoded)/perEventSteps))
}
