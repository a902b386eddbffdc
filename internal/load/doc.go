// Package load sends a workload to running entries over HTTP and measures what
// callers see: outcomes, time to first token by length band, inter-token latency,
// and wrong or incomplete answers.
//
// Arrivals are open-loop: the workload says when each request is due,
// regardless of whether earlier ones have ended. Times count from when a request
// was due, so that a stall of the service or of the sender is measured in full (no
// coordinated omission).
package load
