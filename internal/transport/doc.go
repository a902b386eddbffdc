// Package transport carries the messages of package wire between processes. An
// agent dials an entry and holds one bidirectional connect stream to it; entries
// exchange batches of peer messages as unary calls. Messages are encoded as
// CBOR and gathered into batches, so that many small messages share one write.
//
// Each direction of a stream has two queues. Control messages go ahead of bulk
// ones (bodies and answer frames), so that a million-token prompt does not hold
// up heartbeats, cancellations or short requests.
package transport
