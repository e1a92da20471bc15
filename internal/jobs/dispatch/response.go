package dispatch

import (
	"encoding/json"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/jobs/input"
)

// completionUsage is the usage object of OpenAI's API.
type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	Logprobs     *struct{}          `json:"logprobs"`
	FinishReason string             `json:"finish_reason"`
}

// completion is a non-streamed completion or chat completion.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// completionJSON encodes the response that a non-streaming client would get.
func completionJSON(now time.Time, stream *stream, finish engine.Finish) []byte {
	text := stream.task.text.String()
	tokens := max(finish.CompletionTokens, stream.task.tokens)
	body := completion{
		ID: "cmpl-" + stream.id, Object: "text_completion", Created: now.Unix(), Model: stream.task.model,
		Choices: []completionChoice{{FinishReason: finish.Reason}},
		Usage:   completionUsage{finish.PromptTokens, tokens, finish.PromptTokens + tokens},
	}
	if stream.task.item.Path == input.PathChatCompletions {
		body.ID = "chat" + body.ID
		body.Object = "chat.completion"
		body.Choices[0].Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		body.Choices[0].Text = &text
	}
	encoded, _ := json.Marshal(body) // strings and numbers always encode
	return encoded
}

// errorJSON encodes an error in the format of OpenAI's API.
func errorJSON(code, message string) []byte {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	body.Error.Code = code
	body.Error.Type = "server_error"
	body.Error.Message = strings.ToValidUTF8(message, "?")
	encoded, _ := json.Marshal(body) // strings always encode
	return encoded
}
