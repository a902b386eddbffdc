package httpconn

import (
	"context"
	"net"
	"time"
)

// shedInterval is the time between two reports of WatchShed.
const shedInterval = time.Second

// WatchShed calls report until ctx ends with the numbers that Shed returns, when there are any.
func (t *Tracker) WatchShed(ctx context.Context, report func(closed, refused int)) {
	ticker := time.NewTicker(shedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closed, refused := t.Shed(); closed+refused > 0 {
				report(closed, refused)
			}
		}
	}
}

// trackedOf returns the connection of a tracker's listener that c is, or that TLS runs on, or nil.
func trackedOf(c net.Conn) *trackedConn {
	if over, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = over.NetConn()
	}
	tracked, _ := c.(*trackedConn)
	return tracked
}
