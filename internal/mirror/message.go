package mirror

import (
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Message kinds between nodes.
const (
	kindPull transport.Kind = transport.KindMirror + iota
)

const messageVersion = 1

type fixedPull struct{ WaitMilliseconds uint32 }

type fixedPosition struct{ At uint64 }

type fixedDelta struct {
	At, Since uint64
	Whole     bool
}

type fixedObject struct {
	Revision uint64
	Gone     bool
}

// pull asks a peer for what it knows beyond the given revisions.
type pull struct {
	waitMilliseconds uint32
	positions        map[string]uint64
	// nodes are the data nodes that the asking node knows.
	nodes []Node
}

func (p pull) marshal() []byte {
	fields := [][]byte{marshalNodes(p.nodes)}
	for kind, at := range p.positions {
		fields = append(fields, mustMarshal(fixedPosition{at}, []byte(kind)))
	}
	return mustMarshal(fixedPull{p.waitMilliseconds}, fields...)
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
	request := pull{waitMilliseconds: fixed.WaitMilliseconds, positions: map[string]uint64{}}
	if request.nodes, err = unmarshalNodes(fields[0]); err != nil {
		return pull{}, err
	}
	for _, field := range fields[1:] {
		var position fixedPosition
		kind, err := wire.Unmarshal(field, messageVersion, &position, 1)
		if err != nil {
			return pull{}, err
		}
		request.positions[string(kind[0])] = position.At
	}
	return request, nil
}

// answer carries what the asking node lacks.
type answer struct {
	nodes  []Node
	deltas []Delta
}

func (a answer) marshal() []byte {
	fields := [][]byte{marshalNodes(a.nodes)}
	for _, delta := range a.deltas {
		fields = append(fields, marshalDelta(delta))
	}
	return mustMarshal(fixedPull{}, fields...)
}

func unmarshalAnswer(message []byte) (answer, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedPull{}, -1)
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

func marshalDelta(delta Delta) []byte {
	fields := [][]byte{[]byte(delta.Kind)}
	for _, object := range delta.Objects {
		fields = append(fields, mustMarshal(fixedObject{object.Revision, object.Gone}, []byte(object.Name), object.Content))
	}
	return mustMarshal(fixedDelta{delta.At, delta.Since, delta.Whole}, fields...)
}

func unmarshalDelta(message []byte) (Delta, error) {
	var fixed fixedDelta
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return Delta{}, err
	}
	if len(fields) == 0 {
		return Delta{}, wire.ErrLength
	}
	delta := Delta{Kind: string(fields[0]), At: fixed.At, Since: fixed.Since, Whole: fixed.Whole}
	for _, field := range fields[1:] {
		var object fixedObject
		parts, err := wire.Unmarshal(field, messageVersion, &object, 2)
		if err != nil {
			return Delta{}, err
		}
		delta.Objects = append(delta.Objects, Object{
			Name: string(parts[0]), Revision: object.Revision, Gone: object.Gone,
			Content: append([]byte(nil), parts[1]...),
		})
	}
	return delta, nil
}

type fixedNode struct{ Started int64 }

func marshalNodes(nodes []Node) []byte {
	fields := make([][]byte, 0, len(nodes))
	for _, node := range nodes {
		fields = append(fields, mustMarshal(fixedNode{node.Started}, []byte(node.Name), []byte(node.Address),
			[]byte(node.Zone), []byte(node.Region)))
	}
	return mustMarshal(fixedPull{}, fields...)
}

func unmarshalNodes(message []byte) ([]Node, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedPull{}, -1)
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
