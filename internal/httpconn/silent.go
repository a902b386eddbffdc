package httpconn

import (
	"net"
	"syscall"
)

// OpenAndSilent reports whether the other side of an idle TCP connection has neither closed
// it nor sent data that has not been read.
func OpenAndSilent(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
