package tree

import (
	"fmt"
	"strings"
)

// Problem is one reason why a node or file is invalid.
type Problem struct {
	File   string `json:"file,omitempty"`
	Path   string `json:"path,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String joins file, path, field and reason with colons.
func (p Problem) String() string {
	var parts []string
	for _, part := range []string{p.File, p.Path, p.Field} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

// InvalidError holds all problems of a rejected change.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	if len(lines) == 1 {
		return lines[0]
	}
	return fmt.Sprintf("%d problems:\n%s", len(lines), strings.Join(lines, "\n"))
}
