// Package shell runs an agent core in a process: it turns messages of entries,
// events of the engine or plain service, and the platform's VM list into inputs of
// the core, and executes its outputs.
//
// One goroutine owns the core. The shell keeps the bytes of prompts and answers:
// bodies until they are sent to the endpoint, answer frames until answerRetention
// after the end of their attempt, up to about maxAnswerBytes for each attempt.
package shell
