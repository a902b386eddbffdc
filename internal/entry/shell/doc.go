// Package shell runs an entry core: it turns callers' HTTP requests, agents'
// and peers' messages, answers of the platform's store and the VM list into
// inputs, and carries out the core's outputs. Bytes of prompts and answers stay
// here; the core sees only changes of state.
package shell
