// Package enginecost predicts how long an engine takes to read a prompt and to
// write the next tokens, from the constants that the engine publishes.
//
// An engine works in passes. A pass in which some request writes executes a
// fixed number of token steps (the stride) and, between them, reads up to a
// chunk of prompt tokens a step. All reads that wait when a pass begins share
// it, so the pause between two events of a stream is the stride's steps plus the
// reads that the pass takes in.
package enginecost
