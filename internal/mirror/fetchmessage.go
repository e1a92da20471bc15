package mirror

import (
	"time"

	"github.com/klauspost/compress/s2"

	"chutelock.dev/chutelock/internal/wire"
)

// The messages of kindFetch. A fetch is a pull that may be of a part of a kind's objects,
// and whose answer is packed: entries of engines are alike.

type fixedFetch struct {
	WaitMilliseconds uint32
	NodesDigest      uint64
	HeadsOnly        bool
}

type fixedWanted struct {
	At              uint64
	AgeMilliseconds uint32
	Part            bool
}

type fixedShift struct{ Shift uint8 }

type fixedFetched struct {
	At, Since       uint64
	AgeMilliseconds uint32
	Whole, Held     bool
}

func (p pull) marshalFetch(node, zone string) []byte {
	fields := [][]byte{marshalNodes(p.nodes), []byte(node), []byte(zone)}
	for kind, asked := range p.kinds {
		fixed := fixedWanted{asked.at, uint32(asked.age.Milliseconds()), asked.part != nil}
		wanted := [][]byte{[]byte(kind)}
		if asked.part != nil {
			wanted = append(wanted, marshalShifts(asked.part.shifts)...)
		}
		fields = append(fields, mustMarshal(fixed, wanted...))
	}
	return mustMarshal(fixedFetch{uint32(p.wait.Milliseconds()), p.nodesDigest, p.headsOnly}, fields...)
}

const fetchFields = 3

func unmarshalFetch(message []byte) (pull, error) {
	var fixed fixedFetch
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return pull{}, err
	}
	if len(fields) < fetchFields {
		return pull{}, wire.ErrLength
	}
	request := pull{
		wait: milliseconds(fixed.WaitMilliseconds), kinds: map[string]position{}, nodesDigest: fixed.NodesDigest, headsOnly: fixed.HeadsOnly,
	}
	if request.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return pull{}, err
	}
	for _, field := range fields[fetchFields:] {
		kind, asked, err := unmarshalWanted(field, string(fields[1]), string(fields[2]))
		if err != nil {
			return pull{}, err
		}
		request.kinds[kind] = asked
	}
	return request, nil
}

func unmarshalWanted(message []byte, node, zone string) (kind string, asked position, err error) {
	var fixed fixedWanted
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return "", position{}, err
	}
	if len(fields) == 0 {
		return "", position{}, wire.ErrLength
	}
	asked = position{at: fixed.At, age: milliseconds(fixed.AgeMilliseconds)}
	if fixed.Part {
		asked.part = &selection{node: node, zone: zone}
		asked.part.shifts, err = unmarshalShifts(fields[1:])
	}
	return string(fields[0]), asked, err
}

func marshalShifts(shifts map[Place]uint8) [][]byte {
	fields := make([][]byte, 0, len(shifts))
	for place, shift := range shifts {
		fields = append(fields, mustMarshal(fixedShift{shift}, []byte(place.Group), []byte(place.Zone)))
	}
	return fields
}

func unmarshalShifts(fields [][]byte) (map[Place]uint8, error) {
	shifts := make(map[Place]uint8, len(fields))
	for _, field := range fields {
		var fixed fixedShift
		parts, err := wire.Unmarshal(field, messageVersion, &fixed, 2)
		if err != nil {
			return nil, err
		}
		if fixed.Shift > shiftMost {
			return nil, wire.ErrLength
		}
		shifts[Place{string(parts[0]), string(parts[1])}] = fixed.Shift
	}
	return shifts, nil
}

// marshalFetched encodes an answer, whose deltas have their blocks.
func (a answer) marshalFetched() []byte {
	fields := [][]byte{pack(marshalNodes(a.nodes))}
	for _, delta := range a.deltas {
		fixed := fixedFetched{delta.At, delta.Since, uint32(delta.age.Milliseconds()), delta.Whole, delta.held}
		parts := append([][]byte{[]byte(delta.Kind), delta.block}, marshalShifts(delta.shifts)...)
		fields = append(fields, mustMarshal(fixed, parts...))
	}
	return mustMarshal(fixedAnswer{}, fields...)
}

func unmarshalFetched(message []byte) (answer, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedAnswer{}, -1)
	if err != nil {
		return answer{}, err
	}
	if len(fields) == 0 {
		return answer{}, wire.ErrLength
	}
	nodes, err := unpack(fields[0])
	if err != nil {
		return answer{}, err
	}
	var a answer
	if a.nodes, err = unmarshalNodes(nodes); err != nil {
		return answer{}, err
	}
	for _, field := range fields[1:] {
		delta, err := unmarshalFetchedDelta(field)
		if err != nil {
			return answer{}, err
		}
		a.deltas = append(a.deltas, delta)
	}
	return a, nil
}

func unmarshalFetchedDelta(message []byte) (agedDelta, error) {
	var fixed fixedFetched
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return agedDelta{}, err
	}
	if len(fields) < 2 {
		return agedDelta{}, wire.ErrLength
	}
	delta := agedDelta{
		Delta: Delta{Kind: string(fields[0]), At: fixed.At, Since: fixed.Since, Whole: fixed.Whole},
		age:   time.Duration(fixed.AgeMilliseconds) * time.Millisecond, held: fixed.Held,
	}
	if delta.shifts, err = unmarshalShifts(fields[2:]); err != nil {
		return agedDelta{}, err
	}
	delta.Objects, err = unpackObjects(fields[1])
	return delta, err
}

// unpackedMost bounds what a packed part of an answer may be unpacked, in bytes.
const unpackedMost = 256 << 20

func pack(plain []byte) []byte { return s2.EncodeBetter(nil, plain) }

func unpack(packed []byte) ([]byte, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return nil, err
	}
	if size > unpackedMost {
		return nil, wire.ErrLength
	}
	return s2.Decode(nil, packed)
}

// packObjects encodes objects; none are nothing.
func packObjects(objects []Object) []byte {
	if len(objects) == 0 {
		return nil
	}
	fields := make([][]byte, 0, len(objects))
	for _, object := range objects {
		fields = append(fields, marshalObject(object))
	}
	return pack(mustMarshal(fixedAnswer{}, fields...))
}

func unpackObjects(block []byte) ([]Object, error) {
	if len(block) == 0 {
		return nil, nil
	}
	plain, err := unpack(block)
	if err != nil {
		return nil, err
	}
	fields, err := wire.Unmarshal(plain, messageVersion, &fixedAnswer{}, -1)
	if err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(fields))
	for _, field := range fields {
		object, err := unmarshalObject(field)
		if err != nil {
			return nil, err
		}
		objects = append(objects, object)
	}
	return objects, nil
}
