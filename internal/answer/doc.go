// Package answer carries one answer from an agent to an entry completely and
// exactly once.
//
// A Framer numbers the pieces of one attempt's answer and closes them with their
// count and digest. An Assembler, one for each request at the entry, passes on
// only the frames of the current attempt, each once and in order, and reports
// the answer as done only when count and digest agree. Frames that are repeated,
// late or of another attempt are dropped; a gap breaks the attempt.
//
// An agent that has lost its stream may send all frames of a running attempt again
// from the first: the Assembler drops those that it has accepted before.
//
// Neither type is safe for concurrent use.
package answer
