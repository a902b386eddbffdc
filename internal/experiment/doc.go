// Package experiment compares routing and queueing policies: it runs the same
// workload through each on the virtual clock of package soak and measures time
// to first token, the slowdown of short requests beside long ones, goodput and
// outcomes.
package experiment
