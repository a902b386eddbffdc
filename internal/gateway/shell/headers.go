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
	options := connectionOptions(src)
	for name, values := range src {
		if !options[name] {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // stops net/http from sniffing the content type
	}
}

// connectionOptions returns the names of the headers of h that are hop-by-hop: those in
// connectionHeaders, and those that its Connection header lists.
func connectionOptions(h http.Header) map[string]bool {
	options := make(map[string]bool, len(connectionHeaders))
	for _, name := range connectionHeaders {
		options[name] = true
	}
	for _, listed := range h["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
