package engine

import "encoding/json"

// outputLimit holds the fields of a completion request that bound its output.
type outputLimit struct {
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// ResumePoint returns the token from which to resume a completion of which the caller has the given
// number of tokens: that number, or one less if these are all that the request's body allows. An
// engine rejects a request with nothing left to generate, and repeating the last token tells how
// the completion ended.
func ResumePoint(body []byte, tokens int) int {
	if tokens == 0 {
		return 0
	}
	var limit outputLimit
	if json.Unmarshal(body, &limit) != nil {
		return tokens // the engine reports the error
	}
	maxTokens := limit.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = limit.MaxTokens
	}
	if maxTokens == nil || *maxTokens <= 0 || tokens < *maxTokens {
		return tokens
	}
	return *maxTokens - 1
}
