package engine

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestWholeTextResumedBeforeItsLastToken(t *testing.T) {
	g := gomega.NewWithT(t)
	for body, want := range map[string]int{
		`{"max_tokens":16}`:                                15,
		`{"max_tokens":17}`:                                16,
		`{"max_completion_tokens":16}`:                     15,
		`{"max_tokens":16,"max_completion_tokens":32}`:     16,
		`{"max_tokens":null,"max_completion_tokens":null}`: 16,
		`{"max_tokens":0}`:                                 16,
		`{}`:                                               16,
		`no JSON`:                                          16,
	} {
		g.Expect(ResumePoint([]byte(body), 16)).To(gomega.Equal(want), body)
	}
	g.Expect(ResumePoint([]byte(`{"max_tokens":1}`), 0)).To(gomega.BeZero())
	g.Expect(ResumePoint([]byte(`{"max_tokens":1}`), 1)).To(gomega.BeZero())
}
