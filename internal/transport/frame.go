package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"chutelock.dev/chutelock/internal/wire"
)

// protocolVersion is sent in every frame and datagram; other versions are
// rejected.
const protocolVersion = 1

type frameType uint8

const (
	frameHello frameType = iota + 1
	frameCall
	frameAnswer
	frameFailure
	frameMessage
)

// frameHeader precedes each payload on a TCP connection.
type frameHeader struct {
	Version   uint8
	Type      frameType
	Kind      Kind
	Code      uint16 // of a frameFailure
	TimeoutMS uint32 // of a frameCall: the caller's timeout, in ms
	ID        uint64 // matches an answer to its call
	Length    uint32 // of the payload, in bytes
}

const headerSize = 1 + 1 + 2 + 2 + 4 + 8 + 4

// maxPayload bounds the allocation for a received frame, in bytes.
const maxPayload = wire.MaxField + 4096

var (
	errFrameTooLong = errors.New("transport: frame exceeds the maximum size")
	errFrameVersion = errors.New("transport: peer uses another protocol version")
	errFrameMAC     = errors.New("transport: frame authentication failed (do the key files differ?)")
)

type frame struct {
	header  frameHeader
	payload []byte
}

// session is the state of one direction of a connection. Its MACs cover the receiver's
// nonce and a sequence number, so that replayed, dropped and reordered frames are
// detected.
type session struct {
	keys     *Keyring
	nonce    [16]byte
	sequence uint64
}

// nextMACPrefix returns the nonce and sequence number of the next frame.
func (s *session) nextMACPrefix() []byte {
	prefix := make([]byte, 0, len(s.nonce)+8)
	prefix = append(prefix, s.nonce[:]...)
	prefix = binary.BigEndian.AppendUint64(prefix, s.sequence)
	s.sequence++
	return prefix
}

func (s *session) write(writer *bufio.Writer, f frame) error {
	f.header.Version = protocolVersion
	f.header.Length = uint32(len(f.payload))
	var buffer [headerSize]byte
	if _, err := binary.Encode(buffer[:], binary.BigEndian, &f.header); err != nil {
		return err
	}
	sum := s.keys.Sign(s.nextMACPrefix(), buffer[:], f.payload)
	for _, part := range [][]byte{buffer[:], f.payload, sum} {
		if _, err := writer.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) read(reader *bufio.Reader) (frame, error) {
	var buffer [headerSize]byte
	if _, err := io.ReadFull(reader, buffer[:]); err != nil {
		return frame{}, err
	}
	var f frame
	if _, err := binary.Decode(buffer[:], binary.BigEndian, &f.header); err != nil {
		return frame{}, err
	}
	if f.header.Version != protocolVersion {
		return frame{}, errFrameVersion
	}
	if f.header.Length > maxPayload {
		return frame{}, errFrameTooLong
	}
	f.payload = make([]byte, f.header.Length)
	if _, err := io.ReadFull(reader, f.payload); err != nil {
		return frame{}, err
	}
	var sum [macSize]byte
	if _, err := io.ReadFull(reader, sum[:]); err != nil {
		return frame{}, err
	}
	if !s.keys.Verify(sum[:], s.nextMACPrefix(), buffer[:], f.payload) {
		return frame{}, errFrameMAC
	}
	return f, nil
}

// datagramHeader precedes the payload of a UDP packet; the MAC follows it.
type datagramHeader struct {
	Version uint8
	Kind    Kind
}

const datagramHeaderSize = 1 + 2

func encodeDatagram(keys *Keyring, kind Kind, payload []byte) []byte {
	packet := make([]byte, 0, datagramHeaderSize+len(payload)+macSize)
	packet, _ = binary.Append(packet, binary.BigEndian, datagramHeader{Version: protocolVersion, Kind: kind})
	packet = append(packet, payload...)
	return append(packet, keys.Sign(packet)...)
}

func decodeDatagram(keys *Keyring, packet []byte) (Kind, []byte, error) {
	if len(packet) < datagramHeaderSize+macSize {
		return 0, nil, wire.ErrLength
	}
	signed := packet[:len(packet)-macSize]
	if !keys.Verify(packet[len(signed):], signed) {
		return 0, nil, errFrameMAC
	}
	var header datagramHeader
	if _, err := binary.Decode(signed, binary.BigEndian, &header); err != nil {
		return 0, nil, err
	}
	if header.Version != protocolVersion {
		return 0, nil, errFrameVersion
	}
	return header.Kind, signed[datagramHeaderSize:], nil
}
