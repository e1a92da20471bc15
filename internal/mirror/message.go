package mirror

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Transport kinds of the calls between nodes.
const (
	// messagePull is used by peers of an earlier version, which don't know messageFetch. Its
	// responses are uncompressed and never restricted to a subset.
	messagePull transport.Kind = transport.KindMirror + iota
	messageFetch
)

const messageVersion = 2

type fixedPull struct {
	WaitMilliseconds uint32
	NodesDigest      uint64
}

type fixedEmpty struct{}

type fixedPosition struct {
	Revision        uint64
	AgeMilliseconds uint32
}

type fixedDelta struct {
	Revision, Since uint64
	AgeMilliseconds uint32
	IsSnapshot      bool
}

type fixedObject struct {
	Revision uint64
	Gone     bool
}

// position is a node's state of a kind: its revision and the age of its last confirmation.
type position struct {
	revision uint64
	age      time.Duration
	// subset is the part of the kind that the node keeps; nil if all. Sent in fetches only.
	subset *subset
}

// pullRequest asks a peer for what it has beyond the given positions.
type pullRequest struct {
	wait  time.Duration
	kinds map[string]position
	// nodes are data nodes that the peer may not know.
	nodes []Node
	// nodesDigest is the digest of the data nodes that the sender knows.
	nodesDigest uint64
	// revisionsOnly asks for revisions without objects. Sent in fetches only.
	revisionsOnly bool
}

func (p pullRequest) marshal() []byte {
	fields := [][]byte{marshalNodes(p.nodes)}
	for kind, position := range p.kinds {
		fixed := fixedPosition{position.revision, uint32(position.age.Milliseconds())}
		fields = append(fields, mustMarshal(fixed, []byte(kind)))
	}
	return mustMarshal(fixedPull{uint32(p.wait.Milliseconds()), p.nodesDigest}, fields...)
}

func unmarshalPull(message []byte) (pullRequest, error) {
	var fixed fixedPull
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return pullRequest{}, err
	}
	if len(fields) == 0 {
		return pullRequest{}, wire.ErrLength
	}
	request := pullRequest{
		wait: milliseconds(fixed.WaitMilliseconds), kinds: map[string]position{}, nodesDigest: fixed.NodesDigest,
	}
	if request.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return pullRequest{}, err
	}
	for _, field := range fields[1:] {
		var fixedPos fixedPosition
		kind, err := wire.Unmarshal(field, messageVersion, &fixedPos, 1)
		if err != nil {
			return pullRequest{}, err
		}
		request.kinds[string(kind[0])] = position{revision: fixedPos.Revision, age: milliseconds(fixedPos.AgeMilliseconds)}
	}
	return request, nil
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// responseDelta is a delta with the age of its confirmation.
type responseDelta struct {
	Delta
	age time.Duration
	// shifts are those of the subset that the objects belong to, if the requester keeps one.
	shifts map[Place]uint8
	// withheld says that objects were left out because only revisions were requested.
	withheld bool
	// unfiltered says that the objects are not restricted to the requester's subset, as the
	// peer is of an earlier version.
	unfiltered bool
	// encoded holds the compressed objects in a response to a fetch; nil if there are none.
	encoded []byte
}

// pullResponse carries what the requester lacks.
type pullResponse struct {
	nodes  []Node
	deltas []responseDelta
}

func (r pullResponse) marshal() []byte {
	fields := [][]byte{marshalNodes(r.nodes)}
	for _, delta := range r.deltas {
		fields = append(fields, marshalDelta(delta))
	}
	return mustMarshal(fixedEmpty{}, fields...)
}

func unmarshalPullResponse(message []byte) (pullResponse, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedEmpty{}, -1)
	if err != nil {
		return pullResponse{}, err
	}
	if len(fields) == 0 {
		return pullResponse{}, wire.ErrLength
	}
	var response pullResponse
	if response.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return pullResponse{}, err
	}
	for _, field := range fields[1:] {
		delta, err := unmarshalDelta(field)
		if err != nil {
			return pullResponse{}, err
		}
		response.deltas = append(response.deltas, delta)
	}
	return response, nil
}

func marshalDelta(delta responseDelta) []byte {
	fields := [][]byte{[]byte(delta.Kind)}
	for _, object := range delta.Objects {
		fields = append(fields, marshalObject(object))
	}
	return mustMarshal(fixedDelta{delta.Revision, delta.Since, uint32(delta.age.Milliseconds()), delta.IsSnapshot}, fields...)
}

func unmarshalDelta(message []byte) (responseDelta, error) {
	var fixed fixedDelta
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return responseDelta{}, err
	}
	if len(fields) == 0 {
		return responseDelta{}, wire.ErrLength
	}
	delta := responseDelta{
		Delta: Delta{Kind: string(fields[0]), Revision: fixed.Revision, Since: fixed.Since, IsSnapshot: fixed.IsSnapshot},
		age:   milliseconds(fixed.AgeMilliseconds),
	}
	for _, field := range fields[1:] {
		object, err := unmarshalObject(field)
		if err != nil {
			return responseDelta{}, err
		}
		delta.Objects = append(delta.Objects, object)
	}
	return delta, nil
}

func marshalObject(object Object) []byte {
	return mustMarshal(fixedObject{object.Revision, object.Gone}, []byte(object.Name), object.Content)
}

func unmarshalObject(message []byte) (Object, error) {
	var fixed fixedObject
	parts, err := wire.Unmarshal(message, messageVersion, &fixed, 2)
	if err != nil {
		return Object{}, err
	}
	return Object{
		Name: string(parts[0]), Revision: fixed.Revision, Gone: fixed.Gone, Content: append([]byte(nil), parts[1]...),
	}, nil
}

type fixedNode struct{ Started int64 }

func marshalNode(node Node) []byte {
	return mustMarshal(fixedNode{node.Started}, []byte(node.Name), []byte(node.Address), []byte(node.Zone), []byte(node.Region))
}

func marshalNodes(nodes []Node) []byte {
	fields := make([][]byte, 0, len(nodes))
	for _, node := range nodes {
		fields = append(fields, marshalNode(node))
	}
	return mustMarshal(fixedEmpty{}, fields...)
}

func unmarshalNodes(message []byte) ([]Node, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedEmpty{}, -1)
	if err != nil {
		return nil, err
	}
	var nodes []Node
	for _, field := range fields {
		var fixed fixedNode
		parts, err := wire.Unmarshal(field, messageVersion, &fixed, 4)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, Node{
			Name: string(parts[0]), Address: transport.Address(parts[1]), Zone: string(parts[2]),
			Region: string(parts[3]), Started: fixed.Started,
		})
	}
	return nodes, nil
}

func mustMarshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // the struct is not of fixed size
	}
	return encoded
}
