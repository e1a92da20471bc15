package swim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// messageVersion is the version of all messages of this package.
const messageVersion = 1

// messageType tells what a datagram asks or answers.
type messageType uint8

const (
	typeProbe        messageType = iota + 1 // answer with typeAck
	typeProbeRequest                        // probe Body's address for the sender
	typeAck                                 // answers a probe, directly or through a relay
	typeRelaying                            // a relay took a probe request
	typeGossip                              // carries updates only
	typeDigest                              // Body holds the sender's zone hashes
)

// header is the fixed part of a datagram.
type header struct {
	Type     messageType
	Sequence uint32
	// Target is the hash of the name of the member that a probe is meant for;
	// another process at its address does not answer.
	Target uint64
}

// datagram is a decoded message.
type datagram struct {
	header
	body    []byte
	updates []membership.Member
}

func encodeDatagram(head header, body, updates []byte) []byte {
	payload, err := wire.Marshal(messageVersion, head, body, updates)
	if err != nil {
		panic(err) // header is of fixed size
	}
	return payload
}

func decodeDatagram(payload []byte) (datagram, error) {
	var message datagram
	fields, err := wire.Unmarshal(payload, messageVersion, &message.header, 2)
	if err != nil {
		return message, err
	}
	if message.Type < typeProbe || message.Type > typeDigest {
		return message, fmt.Errorf("%w: datagram type %d", errRecord, message.Type)
	}
	message.body = fields[0]
	message.updates, err = decodeMembers(fields[1])
	return message, err
}

// errRecord says that a variable part is malformed.
var errRecord = errors.New("swim: malformed record")

// record is the fixed part of an encoded member; its strings follow, each
// preceded by its length in a byte.
type record struct {
	Incarnation uint64
	State       membership.State
	HasData     bool
}

const recordStrings = 5

func appendMember(out []byte, member *membership.Member) []byte {
	out = binary.BigEndian.AppendUint64(out, member.Incarnation)
	out = append(out, byte(member.State), boolByte(member.HasData))
	out = appendString(out, member.Name)
	out = appendString(out, encodeAddress(string(member.Address)))
	out = appendString(out, encodeAddress(member.Callers))
	out = appendString(out, member.Zone)
	return appendString(out, member.Region)
}

func decodeMembers(in []byte) ([]membership.Member, error) {
	var members []membership.Member
	for len(in) > 0 {
		var fixed record
		size, err := binary.Decode(in, binary.BigEndian, &fixed)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errRecord, err)
		}
		if fixed.State > membership.StateDead || in[size-1] > 1 {
			return nil, fmt.Errorf("%w: state %d", errRecord, fixed.State)
		}
		in = in[size:]
		var texts [recordStrings]string
		for i := range texts {
			if texts[i], in, err = cutString(in); err != nil {
				return nil, err
			}
		}
		address, err := decodeAddress(texts[1])
		if err != nil {
			return nil, err
		}
		callers, err := decodeAddress(texts[2])
		if err != nil {
			return nil, err
		}
		if texts[0] == "" {
			return nil, fmt.Errorf("%w: no name", errRecord)
		}
		members = append(members, membership.Member{
			Name: texts[0], Address: transport.Address(address), Callers: callers,
			Zone: texts[3], Region: texts[4],
			Incarnation: fixed.Incarnation, State: fixed.State, HasData: fixed.HasData,
		})
	}
	return members, nil
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

func appendString(out []byte, text string) []byte {
	text = text[:min(len(text), 255)]
	out = append(out, byte(len(text)))
	return append(out, text...)
}

func cutString(in []byte) (string, []byte, error) {
	if len(in) == 0 || len(in) < 1+int(in[0]) {
		return "", nil, fmt.Errorf("%w: short string", errRecord)
	}
	end := 1 + int(in[0])
	return string(in[1:end]), in[end:], nil
}

// encodeAddress packs "ip:port"; an empty or unparsable address packs to nothing.
func encodeAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return ""
	}
	packed, err := address.MarshalBinary()
	if err != nil {
		return ""
	}
	return string(packed)
}

func decodeAddress(packed string) (string, error) {
	if packed == "" {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary([]byte(packed)); err != nil {
		return "", fmt.Errorf("%w: address: %w", errRecord, err)
	}
	return address.String(), nil
}

// zoneHash is one entry of a digest: a zone and the hash of its members.
type zoneHash struct {
	Zone  uint64
	Table uint64
}

const zoneHashSize = 16

func encodeHashes(hashes []zoneHash) []byte {
	out := make([]byte, 0, len(hashes)*zoneHashSize)
	for _, hash := range hashes {
		out = binary.BigEndian.AppendUint64(out, hash.Zone)
		out = binary.BigEndian.AppendUint64(out, hash.Table)
	}
	return out
}

func decodeHashes(in []byte) ([]zoneHash, error) {
	if len(in)%zoneHashSize != 0 {
		return nil, fmt.Errorf("%w: digest of %d bytes", errRecord, len(in))
	}
	hashes := make([]zoneHash, 0, len(in)/zoneHashSize)
	for ; len(in) > 0; in = in[zoneHashSize:] {
		hashes = append(hashes, zoneHash{
			Zone:  binary.BigEndian.Uint64(in),
			Table: binary.BigEndian.Uint64(in[8:]),
		})
	}
	return hashes, nil
}

// syncHeader is the fixed part of a sync call and of its answer. The fields
// are the hashes of the zones in question (none means all), the sender's
// record, and the sender's records of these zones.
type syncHeader struct {
	Answer bool
}

type syncMessage struct {
	zones   []zoneHash
	sender  membership.Member
	members []membership.Member
}

func encodeSync(answer bool, message syncMessage) []byte {
	var members []byte
	for i := range message.members {
		members = appendMember(members, &message.members[i])
	}
	payload, err := wire.Marshal(messageVersion, syncHeader{Answer: answer},
		encodeHashes(message.zones), appendMember(nil, &message.sender), members)
	if err != nil {
		panic(err) // syncHeader is of fixed size
	}
	return payload
}

func decodeSync(payload []byte, answer bool) (syncMessage, error) {
	var message syncMessage
	var head syncHeader
	fields, err := wire.Unmarshal(payload, messageVersion, &head, 3)
	if err != nil {
		return message, err
	}
	if head.Answer != answer {
		return message, fmt.Errorf("%w: call and answer mixed up", errRecord)
	}
	if message.zones, err = decodeHashes(fields[0]); err != nil {
		return message, err
	}
	sender, err := decodeMembers(fields[1])
	if err != nil {
		return message, err
	}
	if len(sender) != 1 {
		return message, fmt.Errorf("%w: %d senders", errRecord, len(sender))
	}
	message.sender = sender[0]
	message.members, err = decodeMembers(fields[2])
	return message, err
}
