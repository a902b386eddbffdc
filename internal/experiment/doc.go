// Package experiment compares routing and queueing policies: it runs the same
// workload through each on the virtual clock of package soak and measures time to
// first token, how much long requests slow short ones down, goodput and outcomes.
package experiment
