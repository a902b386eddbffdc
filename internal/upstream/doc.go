// Package upstream is an HTTP/1.1 client for endpoints that never resends a
// request by itself. A connection carries one request at a time. It is reused
// only if the whole request was written, the whole response was read, its end was
// marked by a stated length or by chunked encoding, and no bytes followed it.
package upstream
