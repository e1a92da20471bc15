package loadshare

import (
	"math"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

// Sum is the answer to a front node's report.
type Sum struct {
	// Fronts is the number of front nodes that reported recently, to any data node.
	Fronts int
	// Complete says that the sender knows all load. It is false if the sender has just
	// begun to take reports or receives no shares.
	Complete bool
	// Load is the load of all nodes, including the reporting one.
	Load balance.Report
}

// Share is a data node's message to others, with the load that only it knows.
type Share struct {
	// Fronts is the number of front nodes that reported to the sender recently.
	Fronts int
	// Active asks for the receiver's share in return. A data node without load only
	// answers.
	Active bool
	Load   balance.Report
}

// messageHeader is the fixed part of both messages; Flag is Sum.Complete or
// Share.Active.
type messageHeader struct {
	Fronts uint16
	Flag   bool
}

// Marshal encodes the sum.
func (s Sum) Marshal() []byte { return marshal(s.Fronts, s.Complete, s.Load) }

// UnmarshalSum decodes what Sum.Marshal encoded.
func UnmarshalSum(encoded []byte) (Sum, error) {
	header, load, err := unmarshal(encoded)
	return Sum{Fronts: int(header.Fronts), Complete: header.Flag, Load: load}, err
}

// Marshal encodes the share.
func (s Share) Marshal() []byte { return marshal(s.Fronts, s.Active, s.Load) }

// UnmarshalShare decodes what Share.Marshal encoded.
func UnmarshalShare(encoded []byte) (Share, error) {
	header, load, err := unmarshal(encoded)
	return Share{Fronts: int(header.Fronts), Active: header.Flag, Load: load}, err
}

func marshal(fronts int, flag bool, load balance.Report) []byte {
	header := messageHeader{Fronts: uint16(min(fronts, math.MaxUint16)), Flag: flag}
	encoded, err := wire.Marshal(messageVersion, header, load.Marshal())
	if err != nil {
		panic(err) // messageHeader has a field of variable size
	}
	return encoded
}

func unmarshal(encoded []byte) (messageHeader, balance.Report, error) {
	var header messageHeader
	fields, err := wire.Unmarshal(encoded, messageVersion, &header, 1)
	if err != nil {
		return messageHeader{}, nil, err
	}
	load, err := balance.UnmarshalReport(fields[0])
	return header, load, err
}
