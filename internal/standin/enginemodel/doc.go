// Package enginemodel is a deterministic model of one model engine: continuous
// batching with chunked prefill, priorities, KV cache memory, a prefix cache,
// KV cache export and import, model loads, lagging reports and faults.
//
// A Model has no I/O, clock or goroutine. The caller passes the monotonic time,
// calls Tick at the time that Next returns and drains TakeEvents. Runs of identical
// steps are computed together, so that the cost grows with the number of sequences
// that start and end, not with the number of tokens. The HTTP stand-in and the
// virtual-clock harness share it.
package enginemodel
