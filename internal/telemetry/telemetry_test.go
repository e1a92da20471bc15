package telemetry

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/onsi/gomega"
)

func TestRecentKeepsNewestRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	event := Define(9999, "test event", "only in this test")
	for i := 0; i < maxRecent+3; i++ {
		event.addRecent("", []any{"i", i})
	}
	event.Error(errors.New("broken"), "peer", "p")
	records := Recent()
	g.Expect(records).To(gomega.HaveLen(maxRecent))
	g.Expect(records[maxRecent-2].Details).To(gomega.HaveKeyWithValue("i", "2050"))
	g.Expect(records[maxRecent-1].Error).To(gomega.Equal("broken"))
	g.Expect(func() { Define(9999, "again", "") }).To(gomega.Panic())
}

func TestErrorMessageIsOneLineWithContext(t *testing.T) {
	g := gomega.NewWithT(t)
	wrapped := trace.Wrap(trace.Wrap(errors.New("refused"), "dialling peer %s", "p1"), "joining")
	g.Expect(oneLineError{wrapped}.Error()).To(gomega.MatchRegexp("^joining.*dialling peer p1.*refused$"))
	g.Expect(oneLineError{wrapped}.Error()).NotTo(gomega.ContainSubstring(".go:"))
	g.Expect(oneLineError{}.Error()).NotTo(gomega.BeEmpty())
}
