// Package wire defines the messages that the processes of one deployment
// exchange, together with the identifiers that they share. The same Go types
// are the inputs and outputs of the deterministic cores and, encoded as CBOR
// with integer keys, the bytes on the network. A field number is never reused;
// receivers ignore numbers they do not know.
//
// All durations are amounts of time left or elapsed, never wall-clock instants,
// so that processes need no synchronised clocks.
package wire
