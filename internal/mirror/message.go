package mirror

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Message kinds between nodes.
const (
	// kindPull is what builds ask that don't know kindFetch; its answers have all objects
	// that changed, as they are.
	kindPull transport.Kind = transport.KindMirror + iota
	kindFetch
)

const messageVersion = 2

type fixedPull struct {
	WaitMilliseconds uint32
	NodesDigest      uint64
}

type fixedAnswer struct{}

type fixedPosition struct {
	At              uint64
	AgeMilliseconds uint32
}

type fixedDelta struct {
	At, Since       uint64
	AgeMilliseconds uint32
	Whole           bool
}

type fixedObject struct {
	Revision uint64
	Gone     bool
}

// position is how far a node is with a kind.
type position struct {
	at  uint64
	age time.Duration
	// part is what the node takes of the kind; nil is all. Only a fetch tells it.
	part *selection
}

// pull asks a peer for what it knows beyond the given positions.
type pull struct {
	wait  time.Duration
	kinds map[string]position
	// nodes are data nodes that the peer may not know.
	nodes []Node
	// nodesDigest stands for the data nodes that the asking node knows.
	nodesDigest uint64
	// headsOnly asks how far the peer is, and for no objects. Only a fetch tells it.
	headsOnly bool
}

func (p pull) marshal() []byte {
	fields := [][]byte{marshalNodes(p.nodes)}
	for kind, position := range p.kinds {
		fixed := fixedPosition{position.at, uint32(position.age.Milliseconds())}
		fields = append(fields, mustMarshal(fixed, []byte(kind)))
	}
	return mustMarshal(fixedPull{uint32(p.wait.Milliseconds()), p.nodesDigest}, fields...)
}

func unmarshalPull(message []byte) (pull, error) {
	var fixed fixedPull
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return pull{}, err
	}
	if len(fields) == 0 {
		return pull{}, wire.ErrLength
	}
	request := pull{
		wait: milliseconds(fixed.WaitMilliseconds), kinds: map[string]position{}, nodesDigest: fixed.NodesDigest,
	}
	if request.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return pull{}, err
	}
	for _, field := range fields[1:] {
		var asked fixedPosition
		kind, err := wire.Unmarshal(field, messageVersion, &asked, 1)
		if err != nil {
			return pull{}, err
		}
		request.kinds[string(kind[0])] = position{at: asked.At, age: milliseconds(asked.AgeMilliseconds)}
	}
	return request, nil
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// agedDelta is a delta with the age of its confirmation.
type agedDelta struct {
	Delta
	age time.Duration
	// shifts are of the part that the objects belong to, if the asking node takes one.
	shifts map[Place]uint8
	// held says that there are objects that were not asked for.
	held bool
	// all says that the objects are not only those of the asking node's part: the peer is
	// of an earlier version.
	all bool
	// block holds the objects as they are encoded already; nil if they are not.
	block []byte
}

// answer carries what the asking node lacks.
type answer struct {
	nodes  []Node
	deltas []agedDelta
}

func (a answer) marshal() []byte {
	fields := [][]byte{marshalNodes(a.nodes)}
	for _, delta := range a.deltas {
		fields = append(fields, marshalDelta(delta))
	}
	return mustMarshal(fixedAnswer{}, fields...)
}

func unmarshalAnswer(message []byte) (answer, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedAnswer{}, -1)
	if err != nil {
		return answer{}, err
	}
	if len(fields) == 0 {
		return answer{}, wire.ErrLength
	}
	var a answer
	if a.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return answer{}, err
	}
	for _, field := range fields[1:] {
		delta, err := unmarshalDelta(field)
		if err != nil {
			return answer{}, err
		}
		a.deltas = append(a.deltas, delta)
	}
	return a, nil
}

func marshalDelta(delta agedDelta) []byte {
	fields := [][]byte{[]byte(delta.Kind)}
	for _, object := range delta.Objects {
		fields = append(fields, marshalObject(object))
	}
	return mustMarshal(fixedDelta{delta.At, delta.Since, uint32(delta.age.Milliseconds()), delta.Whole}, fields...)
}

func unmarshalDelta(message []byte) (agedDelta, error) {
	var fixed fixedDelta
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return agedDelta{}, err
	}
	if len(fields) == 0 {
		return agedDelta{}, wire.ErrLength
	}
	delta := agedDelta{
		Delta: Delta{Kind: string(fields[0]), At: fixed.At, Since: fixed.Since, Whole: fixed.Whole},
		age:   milliseconds(fixed.AgeMilliseconds),
	}
	for _, field := range fields[1:] {
		object, err := unmarshalObject(field)
		if err != nil {
			return agedDelta{}, err
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
	return mustMarshal(fixedAnswer{}, fields...)
}

func unmarshalNodes(message []byte) ([]Node, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedAnswer{}, -1)
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
		panic(err) // a struct of this file is not of fixed size
	}
	return encoded
}
