package crowdtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	core "trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/storecopy"
)

const (
	// endlessTime is how long a peer answers without an end.
	endlessTime = 4 * time.Second
	// endlessPeers is the number of other gateways that do.
	endlessPeers = 6
	endlessBlock = 32 << 10
)

// endlessAnswer is an answer that begins in a way and then repeats bytes without an end.
type endlessAnswer struct{ begin, repeat string }

const ok = "HTTP/1.1 200 OK\r\n"

var endlessAnswers = map[string]endlessAnswer{
	"status line":      {"HTTP/1.1 200 ", "x"},
	"header line":      {ok + "X-Line: ", "x"},
	"headers":          {ok, "X-Line: x\r\n"},
	"interim answers":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"body":             {ok + "\r\n", "\x00"},
	"announced body":   {ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
	"chunks":           {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk extension":  {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	"empty items":      {ok + "\r\n{\"items\":[{}", ",{}"},
	"items of a watch": {ok + "\r\n{\"events\":[{}", ",{}"},
	"value":            {ok + "\r\n{\"items\":[{\"value\":\"", "AAAA"},
}

// send sends the answer until the other side closes the connection.
func (a endlessAnswer) send(c net.Conn) {
	_, err := io.WriteString(c, a.begin)
	for block := strings.Repeat(a.repeat, endlessBlock/len(a.repeat)); err == nil; {
		_, err = io.WriteString(c, block)
	}
}

func TestEndlessAnswersOfTheStoreStayWithinMemory(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, manyDescriptors)
			g.store.SetAnswer(func(c net.Conn, _ *http.Request) { answer.send(c) })
			time.Sleep(endlessTime)
			g.checkBounds(memoryMB, manyDescriptors)
			g.serveOrdinary()
			g.store.SetAnswer(nil)
			g.serveLargestInCalm()
			g.checkBounds(memoryMB, manyDescriptors)
		})
	}
}

// TestCountlessItemsOfTheStoreStayWithinMemory has complete answers of more items than a page has.
func TestCountlessItemsOfTheStoreStayWithinMemory(t *testing.T) {
	g := startGateway(t, manyDescriptors)
	items := strings.Repeat(",{}", 1<<20)
	g.store.SetAnswer(func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, ok+"\r\n{\"items\":[{}"+items+"],\"events\":[{}"+items+"]}")
	})
	time.Sleep(endlessTime)
	g.store.SetAnswer(nil)
	g.checkBounds(memoryMB, manyDescriptors)
	g.serveOrdinary()
}

func TestPagesOfTheStoreWithoutAnEndStayWithinMemory(t *testing.T) {
	g := startGateway(t, manyDescriptors)
	value := strings.Repeat("AAAA", 200<<10)
	g.store.SetAnswer(func(c net.Conn, r *http.Request) {
		key := r.URL.Query().Get("after") + "z"
		_, _ = io.WriteString(c, ok+"\r\n{\"items\":[{\"key\":\""+key+"\",\"revision\":150,\"value\":\""+value+"\"}],\"hasMore\":true,\"currentRev\":200}")
	})
	time.Sleep(endlessTime)
	g.store.SetAnswer(nil)
	g.serveOrdinary()
	g.checkBounds(memoryMB, manyDescriptors)
}

// startPeer starts another gateway that announces newer copies than all others, and answers those
// who fetch them with serve.
func startPeer(t *testing.T, g *gateway, serve func(net.Conn)) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	addr := netip.MustParseAddrPort(l.Addr().String())
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.Close() })
	newer := storecopy.Version{Revision: 1 << 40, Digest: 1, Era: 1}
	message, err := cbor.Marshal(&core.PeerMessage{Incarnation: 1, Versions: &core.Versions{
		Config: newer, Registrations: newer, Evacuations: newer, Active: 1,
	}})
	if err != nil {
		t.Fatal(err)
	}
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(g.peerAddr))
	go func() {
		for {
			if _, err := u.WriteTo(message, to); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c)
				}
			}()
		}
	}()
}

// copyOfManyKeys is the head of a copy in CBOR, which is followed by keys without an end.
const copyOfManyKeys = "\xa2\x01\x19\x01\x00\x02\x9f"

func TestEndlessCopiesOfOtherGatewaysStayWithinMemory(t *testing.T) {
	answers := map[string]endlessAnswer{
		"empty keys": {ok + "\r\n" + copyOfManyKeys, "\xa0"},
		"values":     {ok + "\r\n" + copyOfManyKeys, "\xa1\x65Value\x58\x20" + strings.Repeat("x", 32)},
	}
	for _, name := range []string{"header line", "headers", "interim answers", "body", "announced body", "chunks"} {
		answers[name] = endlessAnswers[name]
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, manyDescriptors)
			for range endlessPeers {
				startPeer(t, g, answer.send)
			}
			time.Sleep(endlessTime)
			eventually(t, "a copy is given up", func() bool {
				return strings.Contains(g.wholeLog(), "event=gateway-message-failed")
			})
			g.checkBounds(memoryMB, manyDescriptors)
			g.serveOrdinary()
		})
	}
}
