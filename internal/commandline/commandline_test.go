package commandline

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against wrong arguments, a lost exit code and an incomplete usage message.
func TestDispatchRunsSubcommandOrPrintsUsage(t *testing.T) {
	g := gomega.NewWithT(t)
	var received []string
	subcommands := []Subcommand{
		{"other", "not selected", func([]string) int { return 9 }},
		{"run", "runs", func(arguments []string) int { received = arguments; return 7 }},
	}
	var help bytes.Buffer
	g.Expect(Dispatch("p", subcommands, []string{"run", "-x", "y"}, &help)).To(gomega.Equal(7))
	g.Expect(received).To(gomega.Equal([]string{"-x", "y"}))
	g.Expect(help.String()).To(gomega.BeEmpty())
	for _, arguments := range [][]string{nil, {"unknown"}} {
		help.Reset()
		g.Expect(Dispatch("p", subcommands, arguments, &help)).To(gomega.Equal(ExitUsage))
		g.Expect(help.String()).To(gomega.And(gomega.ContainSubstring("usage: p VERB"), gomega.ContainSubstring("other"), gomega.ContainSubstring("runs")))
	}
}
