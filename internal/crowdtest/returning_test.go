package crowdtest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// runReturningCrowd lets each member send on a connection, wait until the gateway closes it, and come
// back at once on another, until the returned function is called.
func runReturningCrowd(g *gateway, size int, newMember func(g *gateway, i int) member) (leave func()) {
	stop := make(chan struct{})
	var mu sync.Mutex
	open := make(map[net.Conn]bool) // nil: the crowd has left
	var members sync.WaitGroup
	enter := func(c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		if open != nil {
			open[c] = true
		}
		return open != nil
	}
	visit := func(i int) {
		c, err := net.Dial("tcp4", g.addr)
		if err != nil {
			return // turned away
		}
		defer c.Close()
		if !enter(c) {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection
		for _, part := range newMember(g, i) {
			if _, err := c.Write(part); err != nil {
				break // refused
			}
		}
		_, _ = io.Copy(io.Discard, c) // ends when the gateway or leave closes the connection
		mu.Lock()
		delete(open, c)
		mu.Unlock()
	}
	for i := range size {
		members.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					visit(i)
				}
			}
		})
	}
	leave = sync.OnceFunc(func() {
		close(stop)
		mu.Lock()
		for c := range open {
			c.Close()
		}
		open = nil
		mu.Unlock()
		members.Wait()
	})
	g.t.Cleanup(leave)
	return leave
}

func TestCrowdThatComesBackStaysWithinMemoryAndDescriptors(t *testing.T) {
	fields := manyFields(2 * headLimit)
	g := startGateway(t, fewDescriptors)
	leave := runReturningCrowd(g, largeCrowdSize, func(g *gateway, i int) member {
		return []member{chunked(g, largeChunks), announced(g, bodyLimit, almostBody), announced(g, bodyLimit, nil), {[]byte(g.head() + fields)}, nil}[i%5]
	})
	time.Sleep(2 * stay)
	g.checkBounds(memoryMB, fewDescriptors)
	g.serveOrdinary()
	leave()
	g.serveLargestInCalm()
	g.checkBounds(memoryMB, fewDescriptors)
}
