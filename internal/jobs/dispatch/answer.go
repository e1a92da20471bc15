package dispatch

import (
	"encoding/json"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/jobs/input"
)

// answerUsage is the usage of OpenAI's completions.
type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Logprobs     *struct{}      `json:"logprobs"`
	FinishReason string         `json:"finish_reason"`
}

// answerBody is a whole completion or chat completion.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   answerUsage    `json:"usage"`
}

// wholeAnswer makes the answer that a caller without streaming would get.
func wholeAnswer(now time.Time, stream *stream, finish engine.Finish) []byte {
	text := stream.task.text.String()
	tokens := max(finish.CompletionTokens, stream.task.tokens)
	body := answerBody{
		ID: "cmpl-" + stream.id, Object: "text_completion", Created: now.Unix(), Model: stream.task.model,
		Choices: []answerChoice{{FinishReason: finish.Reason}},
		Usage:   answerUsage{finish.PromptTokens, tokens, finish.PromptTokens + tokens},
	}
	if stream.task.item.Path == input.PathChatCompletions {
		body.ID = "chat" + body.ID
		body.Object = "chat.completion"
		body.Choices[0].Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		body.Choices[0].Text = &text
	}
	encoded, _ := json.Marshal(body) // strings and numbers always encode
	return encoded
}

// errorAnswer is an OpenAI-shaped error.
func errorAnswer(code, message string) []byte {
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
