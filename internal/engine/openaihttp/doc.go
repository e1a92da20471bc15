// Package openaihttp is the engine.Client for engines that speak the OpenAI
// HTTP API with the extensions of docs/operating/stand-ins.md: `priority` and
// `resume_from` in the body, the attempt in X-Request-Id and back in `id`, and
// `token_index` in each event.
//
// Every attempt is streamed. Token events go to the sink as the engine sent
// them; the last event, which carries the finish reason and the usage but no
// token, goes into engine.Finish instead, and a caller's own last event is the
// gateway's to write. Finish.CompletionTokens counts the whole output, the part
// before ResumeFrom included.
//
// An answer is checked while it passes: an event of another attempt fails with
// ErrCrossed, a missing token with ErrGap, an end without the last event with
// ErrTruncated; an event that comes twice is dropped. Such failures leave the
// fate unknown.
package openaihttp
