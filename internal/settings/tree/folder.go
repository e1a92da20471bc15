package tree

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
)

// folderRevision is the revision of a snapshot loaded from files.
const folderRevision = 1

// ReadFolder parses all YAML files below a folder.
func ReadFolder(folder string) ([]*Node, []Problem, error) {
	var nodes []*Node
	var problems []Problem
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !isYAML(path) {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		parsed, invalid := ParseFile(path, content)
		nodes = append(nodes, parsed...)
		problems = append(problems, invalid...)
		return nil
	})
	if err != nil {
		return nil, nil, trace.Wrap(err, "read settings folder %s", folder)
	}
	return nodes, problems, nil
}

func isYAML(path string) bool {
	return strings.HasSuffix(path, ".yaml") || strings.HasSuffix(path, ".yml")
}

// LoadFolder resolves the YAML files below a folder once, for tests and for
// machines without a platform. Any problem is an error.
func LoadFolder(folder string) (*Live, error) {
	nodes, problems, err := ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	return LoadNodes(nodes, problems)
}

// LoadNodes resolves nodes once. Any problem is an error.
func LoadNodes(nodes []*Node, problems []Problem) (*Live, error) {
	live := NewLive()
	updates := make([]Update, 0, len(nodes))
	for _, node := range nodes {
		updates = append(updates, Update{Path: node.Path, Node: node})
	}
	live.Replace(folderRevision, updates)
	if len(problems) == 0 {
		problems = live.Problems()
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return live, nil
}
