// Package transport carries the messages of package wire between processes. An
// agent dials an entry and keeps one bidirectional connect stream open to it;
// entries exchange batches of peer messages as unary calls. Messages are encoded as
// CBOR and sent in batches, so that many small messages share one write.
//
// Each direction of a stream has two queues. Control messages are sent before bulk
// ones (bodies and answer frames), so that a million-token prompt does not delay
// heartbeats, cancellations or short requests.
package transport
