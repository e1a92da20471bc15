package tree

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Default is the origin of a value that no node of the tree sets.
const Default = "default"

// Value is an effective setting and the node that it comes from.
type Value struct {
	Field string          `json:"field"`
	Value json.RawMessage `json:"value"`
	From  string          `json:"from"`
}

// Explanation is the effective settings of one node.
type Explanation struct {
	Path   string  `json:"path"`
	Kind   Kind    `json:"kind"`
	Values []Value `json:"values"`
}

// Explain gives the effective settings of the node at path, and the ancestor
// that each comes from.
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

// origin finds the nearest node from path upwards that sets a field.
func (t *Tree) origin(path string, field int) (json.RawMessage, string) {
	for ; path != ""; path = Parent(path) {
		node, ok := t.Node(path)
		if !ok {
			continue
		}
		value := reflect.ValueOf(&node.Fields).Elem().Field(field)
		if !value.IsNil() {
			return json.RawMessage(textOf(value.Interface())), path
		}
	}
	value := reflect.ValueOf(&defaults).Elem().Field(field)
	return json.RawMessage(textOf(value.Interface())), Default
}

// nearest is the nearest ancestor that exists.
func (t *Tree) nearest(path string) string {
	for path = Parent(path); path != ""; path = Parent(path) {
		if t.has(path) {
			return path
		}
	}
	return ""
}

// NotFoundError says that a path has no node.
type NotFoundError struct {
	Path    string
	Nearest string // the nearest ancestor that exists, or empty
}

// Error names the nearest ancestor as the place to look.
func (e *NotFoundError) Error() string {
	if e.Nearest == "" {
		return fmt.Sprintf("there is no node at %q, nor any above it", e.Path)
	}
	return fmt.Sprintf("there is no node at %q; the nearest one above is %q", e.Path, e.Nearest)
}
