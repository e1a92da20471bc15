package input

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/jobs"
)

// Limits bounds the size of an input file.
type Limits struct {
	Items     int
	LineBytes int
	FileBytes int64
	// ChunkBytes is the size from which a chunk is passed on; a chunk exceeds
	// it by less than one line.
	ChunkBytes int
}

// DefaultLimits are the limits of the batch API unless configured otherwise.
var DefaultLimits = Limits{Items: 120_000, LineBytes: 1 << 20, FileBytes: 256 << 20, ChunkBytes: 128 << 10}

// Summary describes a scanned file.
type Summary struct {
	Lines    int
	Bytes    int64
	Digest   [sha256.Size]byte
	Model    string
	Endpoint string
	Chunks   int
}

// readerBuffer is the size of the line reader's buffer, in bytes.
const readerBuffer = 64 << 10

// Scan validates each line of from and passes the lines to handleChunk in chunks
// of complete lines; a chunk is valid only during the call. Invalid input gives
// an *Error, as does a model for which checkModel fails.
func Scan(from io.Reader, limits Limits, checkModel func(model string) error, handleChunk func(chunk []byte) error) (Summary, error) {
	s := &scanner{
		limits: limits, checkModel: checkModel, handleChunk: handleChunk,
		reader: bufio.NewReaderSize(from, readerBuffer), seen: map[uint64]struct{}{},
	}
	if err := s.run(); err != nil {
		return Summary{}, err
	}
	return s.summary, nil
}

type scanner struct {
	limits      Limits
	checkModel  func(string) error
	handleChunk func([]byte) error
	reader      *bufio.Reader
	line        []byte
	lineNumber  int
	chunk       []byte
	seen        map[uint64]struct{} // hashes of the custom_ids read
	summary     Summary
}

func (s *scanner) run() error {
	digest := sha256.New()
	for {
		err := s.readLine()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(s.line) > 0 {
			if err := s.processLine(digest); err != nil {
				return err
			}
		}
		if err != nil {
			break
		}
	}
	if s.summary.Lines == 0 {
		return newError("file", CodeEmptyFile, "has no items")
	}
	digest.Sum(s.summary.Digest[:0])
	return s.flush()
}

// readLine reads the next line into s.line, without surrounding white space. At
// the end of the file it returns io.EOF, with the unterminated last line in s.line.
func (s *scanner) readLine() error {
	s.line = s.line[:0]
	s.lineNumber++
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.line)+len(part) > s.limits.LineBytes {
			return &Error{Line: s.lineNumber, Code: CodeLineTooLong, Text: "is longer than the limit"}
		}
		s.line = append(s.line, part...)
		s.summary.Bytes += int64(len(part))
		if s.summary.Bytes > s.limits.FileBytes {
			return newError("file", CodeFileTooLarge, "is larger than %d bytes", s.limits.FileBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		s.line = bytes.TrimSpace(s.line)
		return err
	}
}

func (s *scanner) processLine(digest io.Writer) error {
	item, model, failure := ParseLine(s.line)
	if failure == nil {
		failure = s.checkLine(item, model)
	}
	if failure != nil {
		failure.Line = s.lineNumber
		return failure
	}
	s.summary.Lines++
	s.chunk = append(append(s.chunk, s.line...), '\n')
	_, _ = digest.Write(s.line) // hash.Hash.Write never fails
	_, _ = digest.Write([]byte{'\n'})
	if len(s.chunk) < s.limits.ChunkBytes {
		return nil
	}
	return s.flush()
}

func (s *scanner) flush() error {
	if len(s.chunk) == 0 {
		return nil
	}
	s.summary.Chunks++
	err := s.handleChunk(s.chunk)
	s.chunk = s.chunk[:0]
	return err
}

// checkLine checks a line against the limits and the previous lines.
func (s *scanner) checkLine(item jobs.Item, model string) *Error {
	if s.summary.Lines >= s.limits.Items {
		return newError("", CodeTooManyItems, "the file has more than %d items", s.limits.Items)
	}
	if s.summary.Lines == 0 {
		s.summary.Model, s.summary.Endpoint = model, item.Path
		if err := s.checkModel(model); err != nil {
			return newError("body.model", CodeModelNotFound, "%v", err)
		}
	}
	if model != s.summary.Model {
		return newError("body.model", CodeMismatchedModel, "is %q, but the lines before have %q", model, s.summary.Model)
	}
	if item.Path != s.summary.Endpoint {
		return newError("url", CodeInvalidURL, "is %q, but the lines before have %q", item.Path, s.summary.Endpoint)
	}
	hash := xxhash.Sum64String(item.CustomID)
	if _, duplicate := s.seen[hash]; duplicate {
		return newError("custom_id", CodeDuplicateCustomID, "%q was used by a line before", item.CustomID)
	}
	s.seen[hash] = struct{}{}
	return nil
}

// ParseChunk parses the items of a chunk produced by Scan.
func ParseChunk(chunk []byte) ([]jobs.Item, error) {
	var items []jobs.Item
	for len(chunk) > 0 {
		line, rest, _ := bytes.Cut(chunk, []byte{'\n'})
		chunk = rest
		if len(line) == 0 {
			continue
		}
		item, _, failure := ParseLine(line)
		if failure != nil {
			return nil, failure
		}
		items = append(items, item)
	}
	return items, nil
}
