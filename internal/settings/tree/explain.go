package tree

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Default is the origin of a value that no node sets.
const Default = "default"

// Value is an effective field value and the path of the node that sets it.
type Value struct {
	Field string          `json:"field"`
	Value json.RawMessage `json:"value"`
	From  string          `json:"from"`
}

// Explanation lists the effective field values of one node.
type Explanation struct {
	Path   string  `json:"path"`
	Kind   Kind    `json:"kind"`
	Values []Value `json:"values"`
}

// Explain returns the effective field values of the node at path, and the node
// that sets each.
func (t *Tree) Explain(path string) (Explanation, error) {
	node, ok := t.Node(path)
	if !ok {
		return Explanation{}, &NotFoundError{Path: path, Nearest: t.nearest(path)}
	}
	explanation := Explanation{Path: path, Kind: node.Kind}
	for i, name := range fieldNames {
		value, from := t.origin(path, i)
		explanation.Values = append(explanation.Values, Value{Field: name, Value: value, From: from})
	}
	return explanation, nil
}

// origin returns a field's effective value and the nearest node, from path
// upwards, that sets it.
func (t *Tree) origin(path string, field int) (json.RawMessage, string) {
	for ; path != ""; path = Parent(path) {
		node, ok := t.Node(path)
		if !ok {
			continue
		}
		value := reflect.ValueOf(&node.Fields).Elem().Field(field)
		if !value.IsNil() {
			return json.RawMessage(marshalText(value.Interface())), path
		}
	}
	value := reflect.ValueOf(&defaults).Elem().Field(field)
	return json.RawMessage(marshalText(value.Interface())), Default
}

// nearest returns the nearest existing ancestor, or an empty path.
func (t *Tree) nearest(path string) string {
	for path = Parent(path); path != ""; path = Parent(path) {
		if t.has(path) {
			return path
		}
	}
	return ""
}

// NotFoundError reports that no node exists at a path.
type NotFoundError struct {
	Path    string
	Nearest string // the nearest existing ancestor, or empty
}

// Error implements error.
func (e *NotFoundError) Error() string {
	if e.Nearest == "" {
		return fmt.Sprintf("there is no node at %q, nor any above it", e.Path)
	}
	return fmt.Sprintf("there is no node at %q; the nearest one above is %q", e.Path, e.Nearest)
}
