// Package enginecost predicts how long an engine takes to prefill a prompt and to
// decode the next tokens, from the constants that the engine publishes.
//
// An engine works in passes. A pass in which some request decodes executes a
// fixed number of token steps (the stride) and, between them, prefills up to one
// chunk of prompt tokens per step. All prefills that are queued when a pass begins
// share it, so the gap between two events of a stream is the time of the stride's
// steps plus that of the prefills in the pass.
package enginecost
