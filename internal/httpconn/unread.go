package httpconn

import (
	"net/http"
	"time"
)

// unreadBodyTimeout bounds how long the rest of a body that is not needed is awaited, so that
// the client gets its response before the connection closes.
const unreadBodyTimeout = time.Second

// BoundUnreadBodies returns a handler that has the server wait for no body longer than
// unreadBodyTimeout, unless h sets another read deadline.
func BoundUnreadBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = ExpectNoBody(w)
		}
		h.ServeHTTP(w, r)
	})
}

// ExpectNoBody has the server wait for the rest of a request's body no longer than
// unreadBodyTimeout.
func ExpectNoBody(w http.ResponseWriter) error {
	return http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
