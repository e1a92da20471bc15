package openaihttp

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
)

const last = `data: {"id":"cmpl-a#1","token_index":2,"choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n"

// usual is an event as the stand-in writes it.
func usual(id string, index int, text string) string {
	return fmt.Sprintf(`data: {"id":%q,"token_index":%d,"object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":%q,"logprobs":null,"finish_reason":null}]}`+"\n\n", id, index, text)
}

// foreign is an event of an engine with another order of fields.
func foreign(id, text string) string {
	return fmt.Sprintf(`data:  {"choices": [{"text": %q}], "id": %q}`+"\r\n\r\n", text, id)
}

func TestRelay(t *testing.T) {
	const id = "cmpl-a#1"
	long := strings.Repeat("x", 3*readBuffer)
	for name, tested := range map[string]struct {
		answer string
		text   string
		err    error
	}{
		"usual":              {usual(id, 0, " a") + usual(id, 1, " b") + last, " a b", nil},
		"escaped":            {usual(id, 0, "\"\n") + usual(id, 1, `\`) + last, "\"\n\\", nil},
		"foreign":            {foreign(id, "a") + foreign(id, "b") + last, "ab", nil},
		"comments and names": {": hello\n\nevent: x\n" + usual(id, 0, "a") + usual(id, 1, "b") + last, "ab", nil},
		"long":               {usual(id, 0, long) + usual(id, 1, "b") + last, long + "b", nil},
		"twice":              {usual(id, 0, "a") + usual(id, 0, "a") + usual(id, 1, "b") + last, "ab", nil},
		"crossed":            {usual(id, 0, "a") + usual("cmpl-b#1", 1, "b") + last, "a", ErrCrossed},
		"older attempt":      {usual("cmpl-a#0", 0, "a"), "", ErrCrossed},
		"gap":                {usual(id, 1, "b") + last, "", ErrGap},
		"end too early":      {usual(id, 0, "a") + last, "a", ErrGap},
		"cut":                {usual(id, 0, "a") + usual(id, 1, "b"), "ab", ErrTruncated},
		"cut inside":         {usual(id, 0, "a") + usual(id, 1, "b")[:40], "a", ErrTruncated},
		"done without end":   {usual(id, 0, "a") + "data: [DONE]\n\n", "a", ErrTruncated},
		"cut before done":    {usual(id, 0, "a") + usual(id, 1, "b") + strings.TrimSuffix(last, "data: [DONE]\n\n"), "ab", ErrTruncated},
		"error":              {usual(id, 0, "a") + `data: {"error":{"message":"x"}}` + "\n\n", "a", ErrRefused},
		"empty":              {"", "", ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var text strings.Builder
			finish, err := relayAll(tested.answer, func(chunk engine.Chunk) { text.WriteString(chunk.Text) })
			g.Expect(text.String()).To(gomega.Equal(tested.text))
			if tested.err != nil {
				g.Expect(err).To(gomega.MatchError(tested.err))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(finish).To(gomega.Equal(engine.Finish{Reason: "stop", CompletionTokens: 2}))
		})
	}
}

func relayAll(answer string, take func(engine.Chunk)) (engine.Finish, error) {
	relay := newRelay(engine.Request{ID: "a", Attempt: 1, Path: "/v1/completions"}, func(chunk engine.Chunk) error {
		take(chunk)
		return nil
	})
	defer relay.release()
	return relay.run(strings.NewReader(answer))
}

// TestManyChunks: each event reaches the sink as it was sent, also when it lay
// across the end of the read buffer, and kept texts are not overwritten.
func TestManyChunks(t *testing.T) {
	g := gomega.NewWithT(t)
	var answer strings.Builder
	const tokens = 500
	for index := range tokens {
		answer.WriteString(usual("cmpl-a#1", index, fmt.Sprint(" ", index)))
	}
	var kept []string
	_, err := relayAll(answer.String(), func(chunk engine.Chunk) {
		g.Expect("data: " + string(chunk.Data) + "\n\n").To(gomega.Equal(usual("cmpl-a#1", chunk.Index, chunk.Text)))
		kept = append(kept, chunk.Text)
	})
	g.Expect(err).To(gomega.MatchError(ErrTruncated))
	g.Expect(kept).To(gomega.HaveLen(tokens))
	for index, text := range kept {
		g.Expect(text).To(gomega.Equal(fmt.Sprint(" ", index)))
	}
}

// FuzzRelay: whatever an engine answers, tokens come in order without a gap,
// and a scanned event gives what a decoded one gives.
func FuzzRelay(f *testing.F) {
	f.Add(usual("cmpl-a#1", 0, " a") + usual("cmpl-a#1", 1, "\"") + last)
	f.Add(foreign("cmpl-a#1", "a") + last)
	f.Add(usual("cmpl-b#1", 0, "a"))
	f.Add("data: {}\n\ndata: [DONE]\n")
	f.Fuzz(func(t *testing.T, answer string) {
		next := 0
		_, err := relayAll(answer, func(chunk engine.Chunk) {
			if chunk.Index != next {
				t.Fatalf("token %d, want %d", chunk.Index, next)
			}
			next++
		})
		if err == nil && !strings.Contains(answer, "[DONE]") {
			t.Fatal("an answer without an end was taken")
		}
	})
}

func BenchmarkRelayToken(b *testing.B) {
	const tokens = 1000
	var answer bytes.Buffer
	for index := range tokens {
		answer.WriteString(usual("cmpl-a#1", index, " abcd"))
	}
	b.ReportAllocs()
	for done := 0; done < b.N; done += tokens {
		relay := newRelay(engine.Request{ID: "a", Attempt: 1}, func(engine.Chunk) error { return nil })
		_, err := relay.run(bytes.NewReader(answer.Bytes()))
		if !errors.Is(err, ErrTruncated) {
			b.Fatal(err)
		}
		relay.release()
	}
}
