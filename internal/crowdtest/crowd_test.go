package crowdtest

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdSize is the number of connections of a crowd against manyDescriptors, largeCrowdSize of one
// against fewDescriptors.
const (
	crowdSize      = 200
	largeCrowdSize = 300
)

const (
	// sendTimeout bounds how long a member of a crowd tries to send.
	sendTimeout = 10 * time.Second
	// stay is how long a crowd keeps its connections open after it has sent: the gateway reads meanwhile.
	stay = 2 * time.Second
)

// member is what one connection of a crowd sends.
type member [][]byte

// runCrowd opens a connection for each member, all at once, lets each send what it can, and leaves
// the connections open until the end of the test or of the returned function.
func runCrowd(g *gateway, members []member) (leave func()) {
	g.t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var sending sync.WaitGroup
	for _, m := range members {
		sending.Go(func() {
			c, err := net.Dial("tcp4", g.addr)
			if err != nil {
				return // turned away
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection
			for _, part := range m {
				if _, err := c.Write(part); err != nil {
					return // refused
				}
			}
		})
	}
	sending.Wait()
	leave = sync.OnceFunc(func() {
		for _, c := range conns {
			c.Close()
		}
	})
	g.t.Cleanup(leave)
	return leave
}

// testCrowd plays a crowd against a gateway, and checks its bounds and that it serves ordinary
// requests while the connections stay open, and the largest request when they are closed.
func testCrowd(t *testing.T, descriptors, size int, newMember func(g *gateway, i int) member) {
	g := startGateway(t, descriptors)
	members := make([]member, size)
	for i := range members {
		members[i] = newMember(g, i)
	}
	leave := runCrowd(g, members)
	time.Sleep(stay)
	g.checkBounds(memoryMB, descriptors)
	g.serveOrdinary()
	leave()
	g.serveLargestInCalm()
	g.checkBounds(memoryMB, descriptors)
}

// chunks returns a chunked body of the given size in chunks of one size, without its last byte and end.
func chunks(size, chunk int) []byte {
	var b bytes.Buffer
	for size > 0 {
		n := min(size, chunk)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
		size -= n
	}
	return b.Bytes()[:b.Len()-len("x\r\n")]
}

var (
	largeChunks = chunks(bodyLimit, 256<<10)
	tinyChunks  = chunks(bodyLimit, 16)
	farTooLong  = bytes.Repeat([]byte("x"), 16*bodyLimit)
	farTooMany  = chunks(16*bodyLimit, 64<<10)
	almostBody  = bytes.Repeat([]byte("x"), bodyLimit-1)
)

func chunked(g *gateway, body []byte) member {
	return member{[]byte(g.head() + "Transfer-Encoding: chunked\r\n\r\n"), body}
}

func announced(g *gateway, size int, body []byte) member {
	return member{[]byte(g.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), body}
}

// manyFields returns header lines of a total size, as many as fit.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
