package openaihttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"chutelock.dev/chutelock/internal/engine"
)

// readBuffer is the size of the buffer between the connection and the scan.
const readBuffer = 4 << 10

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// relay reads one answer and hands its token events on.
type relay struct {
	sink   func(engine.Chunk) error
	reader *bufio.Reader
	long   []byte // a line longer than the read buffer

	id string
	// start is how each token event of this answer begins.
	start    []byte
	textMark []byte
	next     int // index of the next token
	finish   engine.Finish
	finished bool
}

func newRelay(request engine.Request, sink func(engine.Chunk) error) *relay {
	created := &relay{sink: sink, next: request.ResumeFrom}
	created.id = "cmpl-" + AttemptID(request.ID, request.Attempt)
	created.textMark = []byte(`"text":"`)
	if request.Path == chatPath {
		created.id = "chat" + created.id
		created.textMark = []byte(`"delta":{"content":"`)
	}
	quoted, _ := json.Marshal(created.id)
	created.start = append(append([]byte(`{"id":`), quoted...), `,"token_index":`...)
	created.reader = readers.Get().(*bufio.Reader)
	return created
}

func (r *relay) release() {
	r.reader.Reset(nil)
	readers.Put(r.reader)
}

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
	tokenEnd   = []byte(`"finish_reason":null}]}`)
)

// run reads to the end of the answer.
func (r *relay) run(body io.Reader) (engine.Finish, error) {
	r.reader.Reset(body)
	for {
		line, err := r.line()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return engine.Finish{}, ErrTruncated
		}
		if err != nil {
			return engine.Finish{}, err
		}
		data, isData := bytes.CutPrefix(line, dataPrefix)
		if !isData {
			continue
		}
		if bytes.Equal(data, doneData) {
			if !r.finished {
				return engine.Finish{}, ErrTruncated
			}
			r.drain()
			return r.finish, nil
		}
		if err := r.event(data); err != nil {
			return engine.Finish{}, err
		}
	}
}

// drain reads on to the end, so that the connection can be used again.
func (r *relay) drain() {
	for {
		if _, err := r.reader.ReadSlice('\n'); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
}

// line returns the next line without its end; it is valid until the next call.
func (r *relay) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.reader.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// event takes one event; the usual token event is scanned, not decoded.
func (r *relay) event(data []byte) error {
	if index, text, ok := r.scan(data); ok {
		return r.token(index, text, data)
	}
	return r.decode(data)
}

// scan finds index and text in an event with the usual order of fields. It
// fails on anything unusual, an escape in the text included.
func (r *relay) scan(data []byte) (int, []byte, bool) {
	if !bytes.HasPrefix(data, r.start) || !bytes.HasSuffix(data, tokenEnd) {
		return 0, nil, false
	}
	rest := data[len(r.start):]
	index, digits := 0, 0
	for digits < len(rest) && digits < maxIndexDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		index = index*10 + int(rest[digits]-'0')
		digits++
	}
	if digits == 0 || digits == len(rest) || rest[digits] != ',' {
		return 0, nil, false
	}
	position := bytes.Index(rest, r.textMark)
	if position < 0 {
		return 0, nil, false
	}
	text := rest[position+len(r.textMark):]
	end := bytes.IndexByte(text, '"')
	if end < 0 || bytes.IndexByte(text[:end], '\\') >= 0 {
		return 0, nil, false
	}
	return index, text[:end], true
}

// maxIndexDigits keeps a scanned index within an int.
const maxIndexDigits = 9

// token hands a token on if it is the next one.
func (r *relay) token(index int, text, data []byte) error {
	if index < r.next {
		return nil // sent twice
	}
	if index > r.next {
		return fmt.Errorf("%w: got token %d, want %d", ErrGap, index, r.next)
	}
	r.next++
	return r.sink(engine.Chunk{Index: index, Data: data, Text: string(text)})
}

// streamEvent is an event in full.
type streamEvent struct {
	ID         string `json:"id"`
	TokenIndex *int   `json:"token_index"`
	Choices    []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		PromptDetails    struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// decode takes an event in full. An event without token_index is the next
// token, so that an engine without that extension is served too.
func (r *relay) decode(data []byte) error {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("openaihttp: event: %w", err)
	}
	if event.Error != nil {
		return fmt.Errorf("%w: %s", ErrRefused, event.Error.Message)
	}
	if event.ID != r.id {
		return fmt.Errorf("%w: got %q, want %q", ErrCrossed, event.ID, r.id)
	}
	if event.Usage != nil {
		r.finish.PromptTokens = event.Usage.PromptTokens
		r.finish.CachedTokens = event.Usage.PromptDetails.CachedTokens
		r.finish.CompletionTokens = event.Usage.CompletionTokens
	}
	if len(event.Choices) == 0 {
		return nil
	}
	choice := event.Choices[0]
	text := choice.Text + choice.Delta.Content
	if text != "" {
		index := r.next
		if event.TokenIndex != nil {
			index = *event.TokenIndex
		}
		if err := r.token(index, []byte(text), data); err != nil {
			return err
		}
	}
	if choice.FinishReason == nil {
		return nil
	}
	if text == "" && event.TokenIndex != nil && *event.TokenIndex != r.next {
		return fmt.Errorf("%w: the output ends at %d, got %d", ErrGap, *event.TokenIndex, r.next)
	}
	r.finished = true
	r.finish.Reason = *choice.FinishReason
	return nil
}
