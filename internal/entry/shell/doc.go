// Package shell runs an entry core: it turns callers' HTTP requests, agents'
// and peers' messages, results of the platform's store and the VM list into
// inputs, and executes the core's outputs. The shell keeps the bytes of prompts
// and answers; the core sees only changes of state.
package shell
