package verify

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/standin/truth"
)

func inputOf(items ...string) string {
	var file strings.Builder
	for _, item := range items {
		fmt.Fprintf(&file, `{"custom_id":%q,"body":{"model":"m","prompt":%q,"max_tokens":3}}`+"\n", item, item)
	}
	return file.String()
}

func resultOf(item, text string) string {
	return fmt.Sprintf(`{"custom_id":%q,"response":{"status_code":200,"body":{"choices":[{"text":%q}]}}}`+"\n", item, text)
}

func correctResult(item string) string { return resultOf(item, truth.ExpectedText("m", item, 3)) }

// Guards against missing, repeated or wrong results that go unnoticed.
func TestJobCountsDefects(t *testing.T) {
	for name, tc := range map[string]struct {
		output  string
		want    Summary
		correct bool
	}{
		"complete":   {correctResult("a") + correctResult("b"), Summary{Items: 2, Results: 2}, true},
		"missing":    {correctResult("a"), Summary{Items: 2, Results: 1, Missing: 1}, false},
		"duplicated": {correctResult("a") + correctResult("b") + correctResult("a"), Summary{Items: 2, Results: 2, Duplicated: 1}, false},
		"foreign":    {correctResult("a") + correctResult("b") + correctResult("c"), Summary{Items: 2, Results: 2, Foreign: 1}, false},
		"wrong text": {correctResult("a") + resultOf("b", truth.ExpectedText("m", "a", 3)), Summary{Items: 2, Results: 2, Wrong: 1}, false},
		"failed": {correctResult("a") + `{"custom_id":"b","response":null,"error":{"code":"expired"}}`,
			Summary{Items: 2, Results: 2, Failed: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := Job(strings.NewReader(inputOf("a", "b")), strings.NewReader(tc.output))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(tc.want))
			g.Expect(got.Correct()).To(gomega.Equal(tc.correct))
		})
	}
}

// Guards against a request counted once per repetition, or one without the prefix counted at all.
func TestCountRepeatedCountsEachRequestOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var entries []truth.Entry
	for _, request := range []string{"batch_1", "batch_1", "batch_1", "batch_2", "x", "x"} {
		entries = append(entries, truth.Entry{Kind: truth.KindAccepted, Request: request})
	}
	g.Expect(CountRepeated(entries, "batch_")).To(gomega.Equal(1))
}
