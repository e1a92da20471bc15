package tree

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// MaxPathLength bounds a path, in bytes.
const MaxPathLength = 240

// EpochObject is the name of the stored object that holds the epoch. It is not
// a node, so the path of that name is reserved.
const EpochObject = "epoch"

var segmentPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// CheckPath returns an error if path is malformed or reserved.
func CheckPath(path string) error {
	if path == "" {
		return fmt.Errorf("path is missing")
	}
	if len(path) > MaxPathLength {
		return fmt.Errorf("path is longer than %d bytes", MaxPathLength)
	}
	for _, segment := range strings.Split(path, "/") {
		if !segmentPattern.MatchString(segment) {
			return fmt.Errorf("path segment %q must be lower-case letters, digits and inner dashes", segment)
		}
	}
	if Parent(path) == "" && path == EpochObject {
		return fmt.Errorf("path %q is reserved", path)
	}
	return nil
}

// Parent returns the path of the parent, or an empty path for a root.
func Parent(path string) string {
	cut := strings.LastIndexByte(path, '/')
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Base returns the last segment of a path.
func Base(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// ObjectName returns the stored object's name for a path; stored names are
// dot-separated labels, as Kubernetes requires.
func ObjectName(path string) string { return strings.ReplaceAll(path, "/", ".") }

// PathOf returns the path for a stored object's name.
func PathOf(objectName string) string { return strings.ReplaceAll(objectName, ".", "/") }

// Epoch is the content of the epoch object.
type Epoch struct {
	Epoch uint16 `json:"epoch"`
}

// EpochOf decodes the content of the epoch object.
func EpochOf(spec []byte) (uint16, error) {
	var epoch Epoch
	if err := json.Unmarshal(spec, &epoch); err != nil {
		return 0, fmt.Errorf("decode the settings epoch: %w", err)
	}
	return epoch.Epoch, nil
}
