package truth

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the number of prompt bytes per token.
const TokenBytes = 4

// DefaultMaxTokens is the output length of requests that set none.
const DefaultMaxTokens = 16

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+TokenBytes-1)/TokenBytes)
}

// Generator generates the output for one model and prompt.
type Generator struct{ seed uint64 }

// NewGenerator returns the generator of a model's output for a prompt.
func NewGenerator(model, prompt string) Generator {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return Generator{seed: digest.Sum64()}
}

const hexDigits = "0123456789abcdef"

// tokenDigits is the number of digits of a token, after its leading space.
const tokenDigits = 4

// Append appends the text of the token at the index: a space and four
// hexadecimal digits, which need no escaping in JSON.
func (g Generator) Append(text []byte, index int) []byte {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], g.seed)
	binary.BigEndian.PutUint64(input[8:], uint64(index))
	sum := xxhash.Sum64(input[:])
	text = append(text, ' ')
	for digit := 0; digit < tokenDigits; digit++ {
		text = append(text, hexDigits[sum&0xf])
		sum >>= 4
	}
	return text
}

// Token returns the text of the token at the index.
func (g Generator) Token(index int) string { return string(g.Append(nil, index)) }

// Text returns the text of the tokens in [from, to).
func (g Generator) Text(from, to int) string {
	text := make([]byte, 0, max(0, to-from)*(1+tokenDigits))
	for index := from; index < to; index++ {
		text = g.Append(text, index)
	}
	return string(text)
}

// ExpectedText returns the whole output of a stand-in engine for a prompt.
func ExpectedText(model, prompt string, maxTokens int) string {
	return NewGenerator(model, prompt).Text(0, maxTokens)
}

// requestBody holds the JSON fields of a request that a stand-in engine reads.
type requestBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Priority            int             `json:"priority"`
	ResumeFrom          int             `json:"resume_from"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Errors of ParseRequest.
var (
	ErrNoPrompt = errors.New("truth: the request has neither a prompt nor messages")
	ErrPrompt   = errors.New("truth: the prompt or a message's content is neither a string nor a list of text parts")
)

// Request is a parsed completion request. Model, Prompt and MaxTokens determine
// the output.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens int

	Stream       bool
	IncludeUsage bool
	Priority     int
	ResumeFrom   int
}

// ParseRequest parses the JSON body of a completion or chat completion. The
// prompt of a chat is the concatenated content of its messages.
func ParseRequest(data []byte) (Request, error) {
	var parsed requestBody
	if err := json.Unmarshal(data, &parsed); err != nil {
		return Request{}, err
	}
	request := Request{
		Model:        parsed.Model,
		MaxTokens:    DefaultMaxTokens,
		Stream:       parsed.Stream,
		IncludeUsage: parsed.StreamOptions.IncludeUsage,
		Priority:     parsed.Priority,
		ResumeFrom:   parsed.ResumeFrom,
	}
	if parsed.MaxTokens != nil {
		request.MaxTokens = *parsed.MaxTokens
	}
	if parsed.MaxCompletionTokens != nil {
		request.MaxTokens = *parsed.MaxCompletionTokens
	}
	prompt, err := parsed.text()
	request.Prompt = prompt
	return request, err
}

// text returns the prompt or, without one, the joined message contents.
func (b requestBody) text() (string, error) {
	if len(b.Prompt) > 0 {
		return contentText(b.Prompt)
	}
	if len(b.Messages) == 0 {
		return "", ErrNoPrompt
	}
	var prompt strings.Builder
	for _, part := range b.Messages {
		text, err := contentText(part.Content)
		if err != nil {
			return "", err
		}
		prompt.WriteString(text)
	}
	return prompt.String(), nil
}

// contentText returns the text of a string, a list of strings or of text parts.
func contentText(content json.RawMessage) (string, error) {
	content = bytes.TrimSpace(content)
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(content, &texts) == nil {
		return strings.Join(texts, ""), nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return "", ErrPrompt
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}

// Expected returns the whole output for the JSON body of a request.
func Expected(data []byte) (string, error) {
	request, err := ParseRequest(data)
	if err != nil {
		return "", err
	}
	return ExpectedText(request.Model, request.Prompt, request.MaxTokens), nil
}
