package shell

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// halfMemory is the size in bytes of a body of which tightMemory has room for one.
const halfMemory = 7 << 20

func tightMemory(c *Config) { c.Limits.MemoryBytes, c.Limits.MaxBodyBytes = 64<<20, halfMemory }

func TestBodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	r := startRig(t, tightMemory)
	a := r.service(&fakeAgent{hold: true})
	go func() { // ends with the entry
		req, err := http.NewRequest(http.MethodPost, r.base+"/services/orders/x", strings.NewReader(strings.Repeat("x", halfMemory)))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		if resp, err := r.client.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	r.until(func() bool { return a.dispatches() == 1 })
	got := r.post("/services/orders/x", strings.Repeat("x", halfMemory))
	if got.status != http.StatusServiceUnavailable || got.outcome != "not-run" || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want 503, not-run and Retry-After", got)
	}
	if n := a.dispatches(); n != 1 {
		t.Errorf("%d dispatches, want 1", n)
	}
}

func TestStalledBodyIsEvictedForAnother(t *testing.T) {
	r := startRig(t, tightMemory)
	r.service(&fakeAgent{brief: true})
	c, err := net.Dial("tcp", strings.TrimPrefix(r.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	head := fmt.Sprintf("POST /services/orders/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", testKey, halfMemory)
	if _, err := io.WriteString(c, head+strings.Repeat("x", halfMemory-1)); err != nil {
		t.Fatal(err)
	}
	r.until(func() bool { return r.entry.memory.Used() >= halfMemory-1 })
	r.until(func() bool {
		return r.post("/services/orders/x", strings.Repeat("x", halfMemory)).status == http.StatusCreated
	})
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get(HeaderOutcome) != "not-run" || !resp.Close {
		t.Errorf("the stalled caller got %s with outcome %q, want 408, not-run and the end of the connection", resp.Status, resp.Header.Get(HeaderOutcome))
	}
}
