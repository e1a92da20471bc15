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

const finalEvents = `data: {"id":"cmpl-a#1","token_index":2,"choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n"

// tokenEvent returns an event with the usual field order.
func tokenEvent(id string, index int, text string) string {
	return fmt.Sprintf(`data: {"id":%q,"token_index":%d,"object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":%q,"logprobs":null,"finish_reason":null}]}`+"\n\n", id, index, text)
}

// reorderedEvent returns an event with another field order and no token_index.
func reorderedEvent(id, text string) string {
	return fmt.Sprintf(`data:  {"choices": [{"text": %q}], "id": %q}`+"\r\n\r\n", text, id)
}

func TestStreamReader(t *testing.T) {
	const id = "cmpl-a#1"
	long := strings.Repeat("x", 3*readBuffer)
	for name, tested := range map[string]struct {
		answer string
		text   string
		err    error
	}{
		"usual":              {tokenEvent(id, 0, " a") + tokenEvent(id, 1, " b") + finalEvents, " a b", nil},
		"escaped":            {tokenEvent(id, 0, "\"\n") + tokenEvent(id, 1, `\`) + finalEvents, "\"\n\\", nil},
		"other field order":  {reorderedEvent(id, "a") + reorderedEvent(id, "b") + finalEvents, "ab", nil},
		"comments and names": {": hello\n\nevent: x\n" + tokenEvent(id, 0, "a") + tokenEvent(id, 1, "b") + finalEvents, "ab", nil},
		"long":               {tokenEvent(id, 0, long) + tokenEvent(id, 1, "b") + finalEvents, long + "b", nil},
		"duplicate":          {tokenEvent(id, 0, "a") + tokenEvent(id, 0, "a") + tokenEvent(id, 1, "b") + finalEvents, "ab", nil},
		"other request":      {tokenEvent(id, 0, "a") + tokenEvent("cmpl-b#1", 1, "b") + finalEvents, "a", ErrCrossed},
		"older attempt":      {tokenEvent("cmpl-a#0", 0, "a"), "", ErrCrossed},
		"gap":                {tokenEvent(id, 1, "b") + finalEvents, "", ErrGap},
		"end too early":      {tokenEvent(id, 0, "a") + finalEvents, "a", ErrGap},
		"truncated":          {tokenEvent(id, 0, "a") + tokenEvent(id, 1, "b"), "ab", ErrTruncated},
		"cut inside":         {tokenEvent(id, 0, "a") + tokenEvent(id, 1, "b")[:40], "a", ErrTruncated},
		"done without end":   {tokenEvent(id, 0, "a") + "data: [DONE]\n\n", "a", ErrTruncated},
		"cut before done":    {tokenEvent(id, 0, "a") + tokenEvent(id, 1, "b") + strings.TrimSuffix(finalEvents, "data: [DONE]\n\n"), "ab", ErrTruncated},
		"error":              {tokenEvent(id, 0, "a") + `data: {"error":{"message":"x"}}` + "\n\n", "a", ErrRefused},
		"empty":              {"", "", ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var text strings.Builder
			finish, err := readStream(tested.answer, func(chunk engine.Chunk) { text.WriteString(chunk.Text) })
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

func readStream(answer string, receive func(engine.Chunk)) (engine.Finish, error) {
	stream := newStreamReader(engine.Request{ID: "a", Attempt: 1, Path: "/v1/completions"}, func(chunk engine.Chunk) error {
		receive(chunk)
		return nil
	})
	defer stream.release()
	return stream.run(strings.NewReader(answer))
}

// Guards against altering events that span read buffers and against overwriting
// retained texts.
func TestStreamReaderAcrossBuffers(t *testing.T) {
	g := gomega.NewWithT(t)
	var answer strings.Builder
	const tokens = 500
	for index := range tokens {
		answer.WriteString(tokenEvent("cmpl-a#1", index, fmt.Sprint(" ", index)))
	}
	var kept []string
	_, err := readStream(answer.String(), func(chunk engine.Chunk) {
		g.Expect("data: " + string(chunk.Data) + "\n\n").To(gomega.Equal(tokenEvent("cmpl-a#1", chunk.Index, chunk.Text)))
		kept = append(kept, chunk.Text)
	})
	g.Expect(err).To(gomega.MatchError(ErrTruncated))
	g.Expect(kept).To(gomega.HaveLen(tokens))
	for index, text := range kept {
		g.Expect(text).To(gomega.Equal(fmt.Sprint(" ", index)))
	}
}

// Guards against tokens out of order or missing, and against accepting a response
// without an end marker.
func FuzzStreamReader(f *testing.F) {
	f.Add(tokenEvent("cmpl-a#1", 0, " a") + tokenEvent("cmpl-a#1", 1, "\"") + finalEvents)
	f.Add(reorderedEvent("cmpl-a#1", "a") + finalEvents)
	f.Add(tokenEvent("cmpl-b#1", 0, "a"))
	f.Add("data: {}\n\ndata: [DONE]\n")
	f.Fuzz(func(t *testing.T, answer string) {
		next := 0
		_, err := readStream(answer, func(chunk engine.Chunk) {
			if chunk.Index != next {
				t.Fatalf("token %d, want %d", chunk.Index, next)
			}
			next++
		})
		if err == nil && !strings.Contains(answer, "[DONE]") {
			t.Fatal("response without [DONE] was accepted")
		}
	})
}

func BenchmarkStreamReaderToken(b *testing.B) {
	const tokens = 1000
	var answer bytes.Buffer
	for index := range tokens {
		answer.WriteString(tokenEvent("cmpl-a#1", index, " abcd"))
	}
	b.ReportAllocs()
	for done := 0; done < b.N; done += tokens {
		stream := newStreamReader(engine.Request{ID: "a", Attempt: 1}, func(engine.Chunk) error { return nil })
		_, err := stream.run(bytes.NewReader(answer.Bytes()))
		if !errors.Is(err, ErrTruncated) {
			b.Fatal(err)
		}
		stream.release()
	}
}
