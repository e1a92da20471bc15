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

// messageVersion is the wire version of all messages of this package.
const messageVersion = 1

// messageType is the type of a datagram.
type messageType uint8

const (
	typeProbe         messageType = iota + 1 // is answered with typeAck
	typeProbeRequest                         // asks for an indirect probe of the address in the body
	typeAck                                  // acknowledges a direct or indirect probe
	typeRelayAccepted                        // confirms that a relay accepted a probe request
	typeGossip                               // has no body, only updates
	typeDigest                               // has the sender's zone hashes in its body
)

// header is the fixed part of a datagram.
type header struct {
	Type     messageType
	Sequence uint32
	// Target is the hash of the probed member's name, so that another process at
	// its address does not answer.
	Target uint64
}

// datagram is a decoded datagram.
type datagram struct {
	header
	body    []byte
	updates []membership.Member
}

func encodeDatagram(head header, body, updates []byte) []byte {
	payload, err := wire.Marshal(messageVersion, head, body, updates)
	if err != nil {
		panic(err) // cannot happen: header has a fixed size
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
		return message, fmt.Errorf("%w: datagram type %d", errMalformed, message.Type)
	}
	message.body = fields[0]
	message.updates, err = decodeMembers(fields[1])
	return message, err
}

// errMalformed is returned for messages that cannot be decoded.
var errMalformed = errors.New("swim: malformed record")

// record is the fixed part of an encoded member. Its strings follow, each
// preceded by its length as one byte.
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
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if fixed.State > membership.StateDead || in[size-1] > 1 {
			return nil, fmt.Errorf("%w: state %d", errMalformed, fixed.State)
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
			return nil, fmt.Errorf("%w: empty member name", errMalformed)
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
		return "", nil, fmt.Errorf("%w: truncated string", errMalformed)
	}
	end := 1 + int(in[0])
	return string(in[1:end]), in[end:], nil
}

// encodeAddress encodes "ip:port" in binary. It returns "" for an invalid address.
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
		return "", fmt.Errorf("%w: address: %w", errMalformed, err)
	}
	return address.String(), nil
}

// zoneHash is a digest entry: the hashes of a zone's name and of its table.
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
		return nil, fmt.Errorf("%w: digest of %d bytes", errMalformed, len(in))
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

// syncHeader is the fixed part of a sync call and of its answer. The variable
// fields are the zones to sync (none means all), the sender's record, and the
// sender's records of these zones.
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
		panic(err) // cannot happen: syncHeader has a fixed size
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
		return message, fmt.Errorf("%w: unexpected sync call or answer", errMalformed)
	}
	if message.zones, err = decodeHashes(fields[0]); err != nil {
		return message, err
	}
	sender, err := decodeMembers(fields[1])
	if err != nil {
		return message, err
	}
	if len(sender) != 1 {
		return message, fmt.Errorf("%w: %d sender records, want 1", errMalformed, len(sender))
	}
	message.sender = sender[0]
	message.members, err = decodeMembers(fields[2])
	return message, err
}
