// Package workload generates the requests that load, soak and experiment runs
// send to a deployment: arrival times, client accounts, prompt lengths, shared
// prefixes and plain service calls. The same Config yields the same requests on
// every run.
package workload
