// Package upstream is an HTTP/1.1 client for endpoints that never sends a
// request twice. A connection carries one request at a time. It is used again
// only if the whole request was written, the whole answer was read, its length
// was stated, and nothing followed it.
package upstream
