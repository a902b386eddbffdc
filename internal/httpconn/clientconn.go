package httpconn

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ClientConn is a client's connection, over TCP or TLS, that fails where broken answers may look whole. The connection
// below TLS has to be a ClientConn too. Create it with NewClientConn.
//
// Its Read returns io.EOF only if the other side has closed its side. The kernel reports a failure of a connection,
// such as a reset, to one call; if that is a Write, a Read returns io.EOF. An answer that ends with the connection would
// then look whole.
//
// Its Read fails with ErrFieldName in the head of a response that ExpectResponse has announced.
type ClientConn struct {
	net.Conn

	writing sync.Mutex // held during a write; guards failure
	failure error      // of the latest write; nil: none

	scanning sync.Mutex // guards head
	head     headScanner

	holdsWrites bool          // a failed Write waits for readEnded
	readEnded   chan struct{} // closed when Read has failed or the connection was closed
	endRead     func()        // closes readEnded
}

// NewClientConn returns a ClientConn on conn. Read and Write may be called at the same time.
func NewClientConn(conn net.Conn) *ClientConn {
	c := &ClientConn{Conn: conn, readEnded: make(chan struct{})}
	c.endRead = sync.OnceFunc(func() { close(c.readEnded) })
	return c
}

// holdWrites lets a Write that fails return only when Read has failed too, or the connection is closed. http.Transport gives
// up a response that it has not read when the write of its request fails.
func (c *ClientConn) holdWrites() { c.holdsWrites = true }

// Read implements net.Conn.
func (c *ClientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfInput()
	}
	if err != nil {
		c.endRead()
	}
	if failed := c.scan(p[:n]); failed != nil {
		c.endRead()
		return 0, failed
	}
	return n, err
}

// ExpectResponse lets Read check the next response and the interim ones before it. read are bytes of it that have been
// read already; the error is ErrFieldName if a line among them has no field name.
func (c *ClientConn) ExpectResponse(read []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.head.expect()
	return c.head.scan(read)
}

func (c *ClientConn) scan(p []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.head.scan(p)
}

// Write implements net.Conn.
func (c *ClientConn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && c.holdsWrites {
		<-c.readEnded
	}
	return n, err
}

func (c *ClientConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.failure = err
	return n, err
}

// Close implements net.Conn.
func (c *ClientConn) Close() error {
	c.endRead()
	return c.Conn.Close()
}

// WriteBuffers is net.Buffers.WriteTo on the connection.
func (c *ClientConn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.failure = err
	return n, err
}

// endOfInput returns io.EOF if the other side has closed its side, or else the failure that a write has seen. A write
// that waits is ended: its connection can carry no other answer. TLS says itself that the other side has ended, and
// the connection may be reset after that.
func (c *ClientConn) endOfInput() error {
	_ = c.SetWriteDeadline(pastDeadline) // fails only on a closed connection, on which no write waits
	c.writing.Lock()
	defer c.writing.Unlock()
	if _, overTLS := c.Conn.(*tls.Conn); overTLS || endedByPeer(c.failure) {
		return io.EOF
	}
	return errors.Wrap(c.failure, "connection failed")
}

// endedByPeer reports whether the other side has closed its side if a write ended with an error and a read with io.EOF.
// A write to a connection that is reset after that gets EPIPE.
func endedByPeer(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, os.ErrDeadlineExceeded)
}
