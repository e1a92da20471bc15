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

// readBuffer is the size of the read buffer for a response, in bytes.
const readBuffer = 4 << 10

// maxLine bounds a line of a response that is longer than the read buffer, in bytes.
const maxLine = 1 << 20

var errLineTooLong = errors.New("openaihttp: a line of the response is too long")

// maxDrain bounds what is read behind the last event of a response, in bytes.
const maxDrain = 16 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// streamReader reads one streamed response and passes its tokens to sink.
type streamReader struct {
	sink     func(engine.Chunk) error
	reader   *bufio.Reader
	longLine []byte // holds a line longer than the read buffer

	id string
	// tokenPrefix starts each token event that has the usual field order.
	tokenPrefix []byte
	textPrefix  []byte
	nextIndex   int // index of the next token
	finish      engine.Finish
	finished    bool
}

func newStreamReader(request engine.Request, sink func(engine.Chunk) error) *streamReader {
	reader := &streamReader{sink: sink, nextIndex: request.ResumeFrom}
	reader.id = "cmpl-" + AttemptID(request.ID, request.Attempt)
	reader.textPrefix = []byte(`"text":"`)
	if request.Path == chatPath {
		reader.id = "chat" + reader.id
		reader.textPrefix = []byte(`"delta":{"content":"`)
	}
	quoted, _ := json.Marshal(reader.id)
	reader.tokenPrefix = append(append([]byte(`{"id":`), quoted...), `,"token_index":`...)
	reader.reader = readerPool.Get().(*bufio.Reader)
	return reader
}

// release returns the buffer to the pool; the reader must not be used afterwards.
func (r *streamReader) release() {
	r.reader.Reset(nil)
	readerPool.Put(r.reader)
}

var (
	dataPrefix  = []byte("data: ")
	doneData    = []byte("[DONE]")
	tokenSuffix = []byte(`"finish_reason":null}]}`)
)

// run reads the response to its end.
func (r *streamReader) run(body io.Reader) (engine.Finish, error) {
	r.reader.Reset(body)
	for {
		line, err := r.readLine()
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
		if err := r.handleEvent(data); err != nil {
			return engine.Finish{}, err
		}
	}
}

// drain reads to the end of the response, so that its connection can be reused. If more than maxDrain bytes
// follow, the connection isn't worth them.
func (r *streamReader) drain() {
	_, _ = io.CopyN(io.Discard, r.reader, maxDrain)
}

// readLine returns the next line without its line ending, valid until the next call.
func (r *streamReader) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(r.longLine) > maxLine {
				return nil, errLineTooLong
			}
			line, err = r.reader.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// handleEvent processes one event, avoiding a JSON decode for usual token events.
func (r *streamReader) handleEvent(data []byte) error {
	if index, text, ok := r.scan(data); ok {
		return r.deliver(index, text, data)
	}
	return r.decode(data)
}

// scan extracts index and text from a token event with the usual field order. It
// reports false for any other event, including one with an escape in its text.
func (r *streamReader) scan(data []byte) (int, []byte, bool) {
	if !bytes.HasPrefix(data, r.tokenPrefix) || !bytes.HasSuffix(data, tokenSuffix) {
		return 0, nil, false
	}
	rest := data[len(r.tokenPrefix):]
	index, digits := 0, 0
	for digits < len(rest) && digits < maxIndexDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		index = index*10 + int(rest[digits]-'0')
		digits++
	}
	if digits == 0 || digits == len(rest) || rest[digits] != ',' {
		return 0, nil, false
	}
	position := bytes.Index(rest, r.textPrefix)
	if position < 0 {
		return 0, nil, false
	}
	text := rest[position+len(r.textPrefix):]
	end := bytes.IndexByte(text, '"')
	if end < 0 || bytes.IndexByte(text[:end], '\\') >= 0 {
		return 0, nil, false
	}
	return index, text[:end], true
}

// maxIndexDigits prevents overflow of a scanned index.
const maxIndexDigits = 9

// deliver passes a token to the sink if it is the next one. The sink must not
// retain Chunk.Data, which aliases the reader's buffer.
func (r *streamReader) deliver(index int, text, data []byte) error {
	if index < r.nextIndex {
		return nil // duplicate
	}
	if index > r.nextIndex {
		return fmt.Errorf("%w: got token %d, want %d", ErrGap, index, r.nextIndex)
	}
	r.nextIndex++
	return r.sink(engine.Chunk{Index: index, Data: data, Text: string(text)})
}

// streamEvent is the JSON form of an event.
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

// decode processes an event by decoding its JSON. An event without token_index
// is taken as the next token, for engines without that extension.
func (r *streamReader) decode(data []byte) error {
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
		index := r.nextIndex
		if event.TokenIndex != nil {
			index = *event.TokenIndex
		}
		if err := r.deliver(index, []byte(text), data); err != nil {
			return err
		}
	}
	if choice.FinishReason == nil {
		return nil
	}
	if text == "" && event.TokenIndex != nil && *event.TokenIndex != r.nextIndex {
		return fmt.Errorf("%w: the output ends at %d, got %d", ErrGap, *event.TokenIndex, r.nextIndex)
	}
	r.finished = true
	r.finish.Reason = *choice.FinishReason
	return nil
}
