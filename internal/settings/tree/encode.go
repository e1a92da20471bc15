package tree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// ParseFile parses a YAML file with one node per document. It rejects unknown
// fields and hashes plaintext keys.
func ParseFile(file string, content []byte) ([]*Node, []Problem) {
	var nodes []*Node
	var problems []Problem
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	for number := 1; ; number++ {
		node := &Node{}
		err := decoder.Decode(node)
		if errors.Is(err, io.EOF) {
			return nodes, problems
		}
		if err == nil && reflect.ValueOf(node).Elem().IsZero() {
			continue // an empty document, as after a trailing separator
		}
		location := node.Path
		if location == "" {
			location = fmt.Sprintf("document %d", number)
		}
		problems = append(problems, yamlProblems(file, location, err)...)
		var typeError *yaml.TypeError
		if err != nil && !errors.As(err, &typeError) {
			return nodes, problems
		}
		if err != nil {
			continue
		}
		for i, key := range node.Keys {
			node.Keys[i] = storedKey(key)
		}
		for _, problem := range checkNode(node) {
			problem.File = file
			problem.Path = location
			problems = append(problems, problem)
		}
		nodes = append(nodes, node)
	}
}

func yamlProblems(file, location string, err error) []Problem {
	if err == nil {
		return nil
	}
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return []Problem{{File: file, Path: location, Reason: err.Error()}}
	}
	var problems []Problem
	for _, message := range typeError.Errors {
		problems = append(problems, Problem{File: file, Path: location, Reason: message})
	}
	return problems
}

// Encode returns the stored form of a node.
func Encode(node *Node) (json.RawMessage, error) {
	spec, err := json.Marshal(node)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", node.Path, err)
	}
	return spec, nil
}

// Decode parses the stored form of a node. Unlike ParseFile, it accepts unknown
// fields, which a newer release may have written.
func Decode(path string, spec []byte) (*Node, error) {
	node := &Node{}
	if err := json.Unmarshal(spec, node); err != nil {
		return nil, fmt.Errorf("decode %s: %w", path, err)
	}
	node.Path = path
	return node, nil
}

// FormatYAML returns a stored node as an editable YAML document that includes
// the node's revision.
func FormatYAML(path string, revision uint64, spec []byte) ([]byte, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(spec, &document); err != nil || len(document.Content) != 1 {
		return nil, fmt.Errorf("format %s: %w", path, errors.Join(err, errNotAnObject))
	}
	body := document.Content[0]
	content := []*yaml.Node{scalar("path"), scalar(path), scalar("revision"), scalar(fmt.Sprint(revision))}
	for i := 0; i+1 < len(body.Content); i += 2 {
		if name := body.Content[i].Value; name != "change" && name != "deleted" {
			content = append(content, scalar(name), clearStyle(body.Content[i+1]))
		}
	}
	body.Content, body.Style = content, 0
	return yaml.Marshal(&document)
}

var errNotAnObject = errors.New("not one JSON object")

func scalar(value string) *yaml.Node { return &yaml.Node{Kind: yaml.ScalarNode, Value: value} }

// clearStyle drops JSON quotes where YAML needs none.
func clearStyle(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.ScalarNode {
		node.Style = 0
	}
	for i := range node.Content {
		node.Content[i] = clearStyle(node.Content[i])
	}
	return node
}
