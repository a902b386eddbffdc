// Package shell runs an agent core in a process: it turns streams to entries,
// the engine or plain service, and the platform's VM list into inputs of the
// core, and executes its outputs.
//
// One goroutine owns the core. The shell keeps the bytes of prompts and answers:
// bodies until they are sent to the endpoint, answer frames until the time to
// send them again over a new stream has passed.
package shell
