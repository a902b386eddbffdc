package httpconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// endPeer accepts a connection, reads a little, sends a part of an answer, waits and ends the connection by a reset. With
// closeFirst it has closed its side before.
func endPeer(l net.Listener, wait time.Duration, closeFirst bool) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	c := conn.(*net.TCPConn)
	_, _ = c.Read(make([]byte, 1)) // as do the calls below, it fails only if the test has ended
	_, _ = io.WriteString(c, "part")
	if closeFirst {
		_ = c.CloseWrite()
	}
	for end := time.Now().Add(wait); time.Now().Before(end); {
	}
	_ = c.SetLinger(0)
	_ = c.Close()
}

// moreThanBuffers is a size in bytes that the buffers of a connection do not take.
const moreThanBuffers = 16 << 20

// readDuringWrite reads from a peer that ends the connection during a write, and returns the error of the read.
func readDuringWrite(t *testing.T, wait time.Duration, closeFirst bool) error {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go endPeer(l, wait, closeFirst)
	raw, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c := NewClientConn(raw)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, moreThanBuffers))
		written <- err
	}()
	_, err = io.ReadAll(c)
	if werr := <-written; werr == nil {
		t.Error("the write has succeeded")
	}
	return err
}

// endOrders is the number of orders of events that are played of the end of a connection.
const endOrders = 300

func orderWait(i int) time.Duration { return time.Duration(i%50) * 10 * time.Microsecond }

// TestResetThatAWriteHasSeenIsNoEndOfInput guards against io.EOF from a connection that was reset.
func TestResetThatAWriteHasSeenIsNoEndOfInput(t *testing.T) {
	failed := 0
	for i := range endOrders {
		if readDuringWrite(t, orderWait(i), false) == nil {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("io.EOF in %d of %d orders", failed, endOrders)
	}
}

// TestCloseBeforeAResetIsTheEndOfInput guards against an error in place of io.EOF from a connection whose other side was
// closed before it was reset.
func TestCloseBeforeAResetIsTheEndOfInput(t *testing.T) {
	for i := range endOrders {
		if err := readDuringWrite(t, orderWait(i), true); err != nil {
			t.Fatalf("order %d: %v", i, err)
		}
	}
}

// TestEndOfInputEndsAWriteThatWaits guards against a write that waits for as long as the other side keeps the connection
// open after it has ended its answer.
func TestEndOfInputEndsAWriteThatWaits(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := NewClientConn(raw)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, moreThanBuffers))
		written <- err
	}()
	if _, err := io.WriteString(peer, "answer"); err != nil {
		t.Fatal(err)
	}
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(c); err != nil || string(text) != "answer" {
		t.Errorf("read %q, %v, want the answer", text, err)
	}
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Error("the write waits")
	}
}

// TestHeldWriteEndsWithTheConnection guards against a failed write that waits for a read that nobody makes.
func TestHeldWriteEndsWithTheConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go endPeer(l, 0, false)
	raw, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := NewClientConn(raw)
	c.holdWrites()
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, moreThanBuffers))
		written <- err
	}()
	select {
	case err := <-written:
		t.Errorf("the write has ended before a read: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-written:
		if err == nil {
			t.Error("the write has succeeded")
		}
	case <-time.After(10 * time.Second):
		t.Error("the write waits")
	}
}
