package httpconn

import (
	"io"
	"time"
)

// writePiece is the number of bytes that a client must take within Limits.WriteTimeout.
const writePiece = 64 << 10

// Write implements net.Conn. It fails if the client doesn't take a piece in time.
func (c *trackedConn) Write(b []byte) (int, error) {
	timeout := c.tracker.limits.WriteTimeout
	if timeout <= 0 {
		return c.TCPConn.Write(b)
	}
	written := 0
	for written < len(b) {
		if err := c.TCPConn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(b[written:min(written+writePiece, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadFrom implements io.ReaderFrom, so that a copy to the connection goes through Write.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
