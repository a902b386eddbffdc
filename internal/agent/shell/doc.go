// Package shell runs an agent core in a process: it turns streams to entries,
// the engine or plain service, and the platform's VM list into inputs of the
// core, and carries out its outputs.
//
// One goroutine owns the core. Bytes of prompts and answers stay in the shell:
// bodies until they are handed to the endpoint, answer frames until no stream
// can ask for them again.
package shell
