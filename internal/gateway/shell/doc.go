// Package shell runs a gateway core in a process: callers' HTTP, connections to
// endpoints, datagrams between gateways, the copy of the store's keys, signals,
// logs and metrics. What a header or a stored value means is told by a
// Translator and a Decoder; the shell decides nothing itself.
package shell
