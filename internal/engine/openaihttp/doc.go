// Package openaihttp implements engine.Client for engines that serve the OpenAI
// HTTP API with the extensions of docs/operating/stand-ins.md: `priority` and
// `resume_from` in the body, the attempt ID in X-Request-Id, echoed in `id`, and
// `token_index` in each event.
//
// Every attempt is streamed. The sink receives token events as the engine sent
// them. The final event, which carries the finish reason and the usage but no
// token, is returned as engine.Finish; the gateway writes the caller's final
// event. Finish.CompletionTokens counts the whole output, including the tokens
// before ResumeFrom.
//
// The response is checked as it is read: an event of another attempt fails with
// ErrCrossed, a missing token with ErrGap, and an end without the final event
// with ErrTruncated. Duplicate events are dropped. All of these errors have
// engine.FateUnknown.
package openaihttp
