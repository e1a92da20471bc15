package loadshare

import (
	"math"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

// Sum answers a front node's report.
type Sum struct {
	// Fronts is how many front nodes reported lately, to anybody.
	Fronts int
	// Complete says that the sender hears of all there is to know. One that hears
	// no other data node, or has just begun to take reports, doesn't.
	Complete bool
	// Load is what all nodes have under way, the reporting one included.
	Load balance.Report
}

// Share is what a data node tells others: the load that they hear of from
// nobody else.
type Share struct {
	// Fronts is how many front nodes reported to the sender lately.
	Fronts int
	// Active asks for the receiver's share in return. The share of a data node
	// that takes no reports and runs nothing is only ever an answer.
	Active bool
	Load   balance.Report
}

// fixedMessage is the fixed part of both messages. Flag is Sum.Complete or
// Share.Active.
type fixedMessage struct {
	Fronts uint16
	Flag   bool
}

// Marshal encodes the sum.
func (s Sum) Marshal() []byte { return marshal(s.Fronts, s.Complete, s.Load) }

// UnmarshalSum decodes what Sum.Marshal encoded.
func UnmarshalSum(encoded []byte) (Sum, error) {
	fixed, load, err := unmarshal(encoded)
	return Sum{Fronts: int(fixed.Fronts), Complete: fixed.Flag, Load: load}, err
}

// Marshal encodes the share.
func (s Share) Marshal() []byte { return marshal(s.Fronts, s.Active, s.Load) }

// UnmarshalShare decodes what Share.Marshal encoded.
func UnmarshalShare(encoded []byte) (Share, error) {
	fixed, load, err := unmarshal(encoded)
	return Share{Fronts: int(fixed.Fronts), Active: fixed.Flag, Load: load}, err
}

func marshal(fronts int, flag bool, load balance.Report) []byte {
	fixed := fixedMessage{Fronts: uint16(min(fronts, math.MaxUint16)), Flag: flag}
	encoded, err := wire.Marshal(messageVersion, fixed, load.Marshal())
	if err != nil {
		panic(err) // fixedMessage is not of fixed size
	}
	return encoded
}

func unmarshal(encoded []byte) (fixedMessage, balance.Report, error) {
	var fixed fixedMessage
	fields, err := wire.Unmarshal(encoded, messageVersion, &fixed, 1)
	if err != nil {
		return fixedMessage{}, nil, err
	}
	load, err := balance.UnmarshalReport(fields[0])
	return fixed, load, err
}
