package httpconn

import (
	"bufio"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestConnectionsBelowTLSAreBounded(t *testing.T) {
	issuer := httptest.NewUnstartedServer(nil)
	issuer.StartTLS()
	cert := issuer.TLS.Certificates[0]
	issuer.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker()
	tracker.SetLimits(Limits{Connections: 4})
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: tracker.OnStateChange}
	go func() {
		_ = srv.Serve(tls.NewListener(tracker.Listener(l), &tls.Config{Certificates: []tls.Certificate{cert}}))
	}()
	t.Cleanup(func() { srv.Close() })
	for range 8 {
		dial(t, l.Addr().String()) // sends nothing
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := tls.Dial("tcp4", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			continue
		}
		served := exchange(c, bufio.NewReader(c))
		c.Close()
		if served {
			return
		}
	}
	t.Fatal("no request is served")
}
