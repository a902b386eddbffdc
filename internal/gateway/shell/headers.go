package shell

import (
	"net/http"
	"strings"
)

// connectionHeaders are hop-by-hop: they apply to one connection and are not
// forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// maxAddedHeaders is how many headers Translator.Forward adds at most.
const maxAddedHeaders = 6

// forwardedHeaders returns a copy of h without hop-by-hop headers.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+maxAddedHeaders)
	copyHeader(out, h)
	return out
}

// copyHeader copies all but the hop-by-hop headers.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !isConnectionHeader(src, name) {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // stops net/http from sniffing the content type
	}
}

// isConnectionHeader reports whether the header name is hop-by-hop: listed in
// connectionHeaders or in the Connection header of h.
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
