package httpconn

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/rawserver"
)

// testTLS returns the configurations of a server and of a client that trusts it.
func testTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	s := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	return &tls.Config{Certificates: s.TLS.Certificates}, &tls.Config{RootCAs: roots}
}

// forEachScheme runs a test with and without TLS.
func forEachScheme(t *testing.T, test func(t *testing.T, server *tls.Config, client *http.Client)) {
	server, trust := testTLS(t)
	for name, config := range map[string]*tls.Config{"http": nil, "https": server} {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: NewStrict(&http.Transport{TLSClientConfig: trust})}
			t.Cleanup(client.CloseIdleConnections)
			test(t, config, client)
		})
	}
}

// read sends a request with a body and returns the body of the response.
func read(t *testing.T, client *http.Client, url string, body []byte) (string, error) {
	t.Helper()
	resp, err := client.Post(url, "text/plain", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestStrictFailsForBrokenHeads guards against a response, the first or a later one of a connection, with a line in
// a head or among its trailers that is no field.
func TestStrictFailsForBrokenHeads(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n"
	for name, broken := range map[string]string{
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Trace: 1\r\nContent-Length: 6\r\n\r\nbroken",
		"blank after a name":  "HTTP/1.1 200 OK\r\nContent-Length : 6\r\nContent-Length: 6\r\n\r\nbroken",
		"blank before a name": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n X-Trace: 1\r\n\r\nbroken",
		"control byte":        "HTTP/1.1 200 OK\r\nX\x01Trace: 1\r\nContent-Length: 6\r\n\r\nbroken",
		"interim response":    "HTTP/1.1 103 Early Hints\r\nX Trace: 1\r\n\r\n" + sound,
		"trailers":            chunked + "X Trace: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			forEachScheme(t, func(t *testing.T, server *tls.Config, client *http.Client) {
				url := rawserver.Start(t, server, func(c net.Conn, r *http.Request) bool {
					text := map[string]string{"/sound": sound, "/interim": "HTTP/1.1 103 \r\nA: b\r\n\r\n" + sound, "/trailers": chunked + "A: b\r\n\r\n"}[r.URL.Path]
					if text == "" {
						text = broken
					}
					_, err := io.WriteString(c, text)
					return err == nil
				})
				for _, path := range []string{"/broken", "/sound", "/interim", "/trailers", "/broken", "/sound"} {
					body, err := read(t, client, url+path, nil)
					if (err != nil) != (path == "/broken") || err == nil && body != "sound" {
						t.Errorf("%s: %q, %v", path, body, err)
					}
				}
			})
		})
	}
}

// TestStrictFailsForAResetDuringTheRequest guards against a part of a response without a length that looks whole, since
// the write of the request has seen the reset first.
func TestStrictFailsForAResetDuringTheRequest(t *testing.T) {
	const orders = 200
	forEachScheme(t, func(t *testing.T, server *tls.Config, client *http.Client) {
		url := rawserver.Start(t, server, func(c net.Conn, r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart") // fails only if the client has ended
			time.Sleep(time.Duration(r.ContentLength%20) * 50 * time.Microsecond)
			if over, ok := c.(*tls.Conn); ok {
				c = over.NetConn()
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return false
		})
		for i := range orders {
			if body, err := read(t, client, url, make([]byte, moreThanBuffers+i)); err == nil {
				t.Errorf("order %d: a whole response %q", i, body)
			}
		}
	})
}

// TestStrictReadsAResponseBeforeAReset guards against a whole response that is taken for a broken one, since the connection
// was reset after the server had ended it.
func TestStrictReadsAResponseBeforeAReset(t *testing.T) {
	const orders = 200
	forEachScheme(t, func(t *testing.T, server *tls.Config, client *http.Client) {
		url := startEarly(t, server)
		lost := 0
		for i := range orders {
			if body, err := read(t, client, url, make([]byte, moreThanBuffers+i)); err != nil || body != "whole" {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("the response was lost in %d of %d orders", lost, orders)
		}
	})
}

// startEarly starts a server that ends a response and then the connection, without having read the request.
func startEarly(t *testing.T, config *tls.Config) (url string) {
	t.Helper()
	return rawserver.Start(t, config, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole") // fails only if the client has ended
		time.Sleep(time.Duration(r.ContentLength%20) * 50 * time.Microsecond)
		_ = c.(interface{ CloseWrite() error }).CloseWrite()
		return false
	})
}
