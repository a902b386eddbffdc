// Package shell runs a gateway core in a process. It does the core's input and
// output: HTTP of callers, connections to endpoints, datagrams between gateways,
// cached copies of the store's keys, signals, logs and metrics. A Translator and a
// Decoder interpret headers and stored values; the core makes the decisions.
package shell
