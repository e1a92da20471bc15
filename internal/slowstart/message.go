package slowstart

import (
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

// Verdict is the answer to an ask.
type Verdict uint8

// Verdicts.
const (
	// Denied: the allowance is used up.
	Denied Verdict = iota
	// Granted: one request may be sent.
	Granted
	// Warm: the engine needs no permits.
	Warm
	// Closed: the node grants nothing for any engine now.
	Closed
	// Unknown: the node grants nothing for this engine, as it doesn't know it, or by its
	// list of data nodes others grant.
	Unknown
)

const messageVersion = 1

// Ask asks for a permit.
type Ask struct {
	Number uint64
	Engine string
	// Revision is that of the engine's entry at the asking node.
	Revision uint64
	// Factor is how many times its cold pace the engine may get, as the asking node knows.
	Factor uint8
	// MaybePast says that the asking node doesn't know for how long the entry is there.
	MaybePast bool
}

// Answer answers an Ask.
type Answer struct {
	Number  uint64
	Verdict Verdict
	// After is how long to ask for the engine not again if it was denied, this node not for
	// the engine if that is unknown there, or this node for nothing if it is closed.
	After time.Duration
}

type fixedAsk struct {
	Number, Revision uint64
	Factor           uint8
	MaybePast        bool
}

type fixedAnswer struct {
	Number            uint64
	Verdict           uint8
	AfterMilliseconds uint16
}

// Marshal encodes the ask.
func (a Ask) Marshal() []byte {
	return marshal(fixedAsk{a.Number, a.Revision, a.Factor, a.MaybePast}, []byte(a.Engine))
}

// UnmarshalAsk decodes what Ask.Marshal encoded.
func UnmarshalAsk(encoded []byte) (Ask, error) {
	var fixed fixedAsk
	fields, err := wire.Unmarshal(encoded, messageVersion, &fixed, 1)
	if err != nil {
		return Ask{}, err
	}
	return Ask{
		Number: fixed.Number, Engine: string(fields[0]), Revision: fixed.Revision,
		Factor: fixed.Factor, MaybePast: fixed.MaybePast,
	}, nil
}

// Marshal encodes the answer.
func (a Answer) Marshal() []byte {
	return marshal(fixedAnswer{a.Number, uint8(a.Verdict), uint16(min(a.After, afterLimit) / time.Millisecond)})
}

// afterLimit is the longest time that an answer can tell: it fits the 16 bits of
// milliseconds (65.5 s), and is far beyond any pause that is told (1.1 s).
const afterLimit = 60 * time.Second

// UnmarshalAnswer decodes what Answer.Marshal encoded.
func UnmarshalAnswer(encoded []byte) (Answer, error) {
	var fixed fixedAnswer
	if _, err := wire.Unmarshal(encoded, messageVersion, &fixed, 0); err != nil {
		return Answer{}, err
	}
	return Answer{
		Number: fixed.Number, Verdict: Verdict(fixed.Verdict),
		After: time.Duration(fixed.AfterMilliseconds) * time.Millisecond,
	}, nil
}

func marshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // a struct of this file is not of fixed size
	}
	return encoded
}
