// Package load offers a workload to running entries over HTTP and measures what
// callers see: outcomes, time to first token by length band, time between
// tokens, and wrong or incomplete answers.
//
// Arrivals are open-loop: the workload says when each request is due, whatever
// became of the earlier ones. Times are counted from then, so that a stall of
// the service, or of the sender, shows in full (no coordinated omission).
package load
