package slowstart

import (
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

// Verdict is the answer to an ask.
type Verdict uint8

// Verdicts.
const (
	// Denied means that the allowance is used up.
	Denied Verdict = iota
	// Granted means that one request may be sent.
	Granted
	// Warm means that the engine needs no permits.
	Warm
	// Closed means that the node grants no permits for any engine now.
	Closed
	// Unknown means that the node does not know the engine, or is not one of its granters by
	// its own list of data nodes.
	Unknown
)

const messageVersion = 1

// Ask is a front node's message that asks for a permit.
type Ask struct {
	Number uint64
	Engine string
	// Revision is the revision of the engine's catalog entry at the front node.
	Revision uint64
	// Factor is the multiple of its cold rate that the engine may get, by the front node's state.
	Factor uint8
	// MaybePast is set if the front node does not know how old the entry is.
	MaybePast bool
}

// Answer is a data node's answer to an Ask.
type Answer struct {
	Number  uint64
	Verdict Verdict
	// RetryAfter is the time before the next ask: for the engine if Denied, to this node for
	// the engine if Unknown, to this node for any engine if Closed.
	RetryAfter time.Duration
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

// UnmarshalAsk is the inverse of Ask.Marshal.
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
	return marshal(fixedAnswer{a.Number, uint8(a.Verdict), uint16(min(a.RetryAfter, maxEncodedAfter) / time.Millisecond)})
}

// maxEncodedAfter bounds RetryAfter in a message, so that its milliseconds fit into 16 bits.
const maxEncodedAfter = 60 * time.Second

// UnmarshalAnswer is the inverse of Answer.Marshal.
func UnmarshalAnswer(encoded []byte) (Answer, error) {
	var fixed fixedAnswer
	if _, err := wire.Unmarshal(encoded, messageVersion, &fixed, 0); err != nil {
		return Answer{}, err
	}
	return Answer{
		Number: fixed.Number, Verdict: Verdict(fixed.Verdict),
		RetryAfter: time.Duration(fixed.AfterMilliseconds) * time.Millisecond,
	}, nil
}

func marshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // unreachable: all fixed parts have a fixed size
	}
	return encoded
}
