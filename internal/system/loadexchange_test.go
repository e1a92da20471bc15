package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func TestAnswersToAFrontNodeKeepTheirInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	var answers paces
	g.Expect(answers.due("a", start)).To(gomega.BeTrue())
	g.Expect(answers.due("a", start.Add(answerInterval/2))).To(gomega.BeFalse())
	g.Expect(answers.due("b", start.Add(answerInterval/2))).To(gomega.BeTrue(), "another node has its own")
	g.Expect(answers.due("a", start.Add(answerInterval))).To(gomega.BeTrue())
}

func TestASumServesManyAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	var sum cached
	made := 0
	encode := func() []byte { made++; return []byte{byte(made)} }
	g.Expect(sum.get(start, encode)).To(gomega.Equal([]byte{1}))
	g.Expect(sum.get(start.Add(sumInterval/2), encode)).To(gomega.Equal([]byte{1}))
	g.Expect(sum.get(start.Add(sumInterval), encode)).To(gomega.Equal([]byte{2}))
}
