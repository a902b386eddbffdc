package shell

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardable returns the headers that are passed on, in a copy.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h)+6)
	copyHeader(out, h)
	return out
}

// copyHeader copies the headers that do not concern the connection.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !isConnectionHeader(src, name) {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // keeps net/http from guessing one
	}
}

func isConnectionHeader(h http.Header, name string) bool {
	for _, c := range connectionHeaders {
		if name == c {
			return true
		}
	}
	for _, listed := range h["Connection"] {
		for _, c := range strings.Split(listed, ",") {
			if strings.EqualFold(strings.TrimSpace(c), name) {
				return true
			}
		}
	}
	return false
}
