package mirror

import (
	"time"

	"github.com/klauspost/compress/s2"

	"chutelock.dev/chutelock/internal/wire"
)

// Encoding of messageFetch. A fetch is a pull that may ask for a subset of a kind's objects; its
// response is compressed, as objects of a kind are alike.

type fixedFetch struct {
	WaitMilliseconds uint32
	NodesDigest      uint64
	RevisionsOnly    bool
}

type fixedKindRequest struct {
	Revision        uint64
	AgeMilliseconds uint32
	Subset          bool
}

type fixedShift struct{ Shift uint8 }

type fixedFetchedDelta struct {
	Revision, Since      uint64
	AgeMilliseconds      uint32
	IsSnapshot, Withheld bool
}

func (p pullRequest) marshalFetch(node, zone string) []byte {
	fields := [][]byte{marshalNodes(p.nodes), []byte(node), []byte(zone)}
	for kind, requested := range p.kinds {
		fixed := fixedKindRequest{requested.revision, uint32(requested.age.Milliseconds()), requested.subset != nil}
		parts := [][]byte{[]byte(kind)}
		if requested.subset != nil {
			parts = append(parts, marshalShifts(requested.subset.shifts)...)
		}
		fields = append(fields, mustMarshal(fixed, parts...))
	}
	return mustMarshal(fixedFetch{uint32(p.wait.Milliseconds()), p.nodesDigest, p.revisionsOnly}, fields...)
}

const fetchFields = 3

func unmarshalFetch(message []byte) (pullRequest, error) {
	var fixed fixedFetch
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return pullRequest{}, err
	}
	if len(fields) < fetchFields {
		return pullRequest{}, wire.ErrLength
	}
	request := pullRequest{
		wait: milliseconds(fixed.WaitMilliseconds), kinds: map[string]position{}, nodesDigest: fixed.NodesDigest, revisionsOnly: fixed.RevisionsOnly,
	}
	if request.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return pullRequest{}, err
	}
	for _, field := range fields[fetchFields:] {
		kind, requested, err := unmarshalKindRequest(field, string(fields[1]), string(fields[2]))
		if err != nil {
			return pullRequest{}, err
		}
		request.kinds[kind] = requested
	}
	return request, nil
}

func unmarshalKindRequest(message []byte, node, zone string) (kind string, requested position, err error) {
	var fixed fixedKindRequest
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return "", position{}, err
	}
	if len(fields) == 0 {
		return "", position{}, wire.ErrLength
	}
	requested = position{revision: fixed.Revision, age: milliseconds(fixed.AgeMilliseconds)}
	if fixed.Subset {
		requested.subset = &subset{node: node, zone: zone}
		requested.subset.shifts, err = unmarshalShifts(fields[1:])
	}
	return string(fields[0]), requested, err
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
		if fixed.Shift > maxShift {
			return nil, wire.ErrLength
		}
		shifts[Place{string(parts[0]), string(parts[1])}] = fixed.Shift
	}
	return shifts, nil
}

// marshalFetched encodes a response whose deltas have been encoded by snapshotCache.encode.
func (r pullResponse) marshalFetched() []byte {
	fields := [][]byte{pack(marshalNodes(r.nodes))}
	for _, delta := range r.deltas {
		fixed := fixedFetchedDelta{delta.Revision, delta.Since, uint32(delta.age.Milliseconds()), delta.IsSnapshot, delta.withheld}
		parts := append([][]byte{[]byte(delta.Kind), delta.encoded}, marshalShifts(delta.shifts)...)
		fields = append(fields, mustMarshal(fixed, parts...))
	}
	return mustMarshal(fixedEmpty{}, fields...)
}

func unmarshalFetched(message []byte) (pullResponse, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedEmpty{}, -1)
	if err != nil {
		return pullResponse{}, err
	}
	if len(fields) == 0 {
		return pullResponse{}, wire.ErrLength
	}
	nodes, err := unpack(fields[0])
	if err != nil {
		return pullResponse{}, err
	}
	var response pullResponse
	if response.nodes, err = unmarshalNodes(nodes); err != nil {
		return pullResponse{}, err
	}
	for _, field := range fields[1:] {
		delta, err := unmarshalFetchedDelta(field)
		if err != nil {
			return pullResponse{}, err
		}
		response.deltas = append(response.deltas, delta)
	}
	return response, nil
}

func unmarshalFetchedDelta(message []byte) (responseDelta, error) {
	var fixed fixedFetchedDelta
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return responseDelta{}, err
	}
	if len(fields) < 2 {
		return responseDelta{}, wire.ErrLength
	}
	delta := responseDelta{
		Delta: Delta{Kind: string(fields[0]), Revision: fixed.Revision, Since: fixed.Since, IsSnapshot: fixed.IsSnapshot},
		age:   time.Duration(fixed.AgeMilliseconds) * time.Millisecond, withheld: fixed.Withheld,
	}
	if delta.shifts, err = unmarshalShifts(fields[2:]); err != nil {
		return responseDelta{}, err
	}
	delta.Objects, err = unpackObjects(fields[1])
	return delta, err
}

// maxUnpackedSize bounds the decompressed size of a part of a response, in bytes.
const maxUnpackedSize = 256 << 20

func pack(plain []byte) []byte { return s2.EncodeBetter(nil, plain) }

func unpack(packed []byte) ([]byte, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return nil, err
	}
	if size > maxUnpackedSize {
		return nil, wire.ErrLength
	}
	return s2.Decode(nil, packed)
}

// packObjects encodes and compresses objects; the result for no objects is nil.
func packObjects(objects []Object) []byte {
	if len(objects) == 0 {
		return nil
	}
	fields := make([][]byte, 0, len(objects))
	for _, object := range objects {
		fields = append(fields, marshalObject(object))
	}
	return pack(mustMarshal(fixedEmpty{}, fields...))
}

func unpackObjects(packed []byte) ([]Object, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	plain, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	fields, err := wire.Unmarshal(plain, messageVersion, &fixedEmpty{}, -1)
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
