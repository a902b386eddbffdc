package httpconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
)

func TestHeadCost(t *testing.T) {
	for text, want := range map[string]int64{
		"":                          0,
		"GET":                       3 * headFactor,
		"a:b\r\n":                   5*headFactor + fieldBytes,
		"a:b\r\n\r\nbody\nof lines": 3 * headFactor,
		"a:b\r\nc:d\r\n\r\n\n\n":    8*headFactor + fieldBytes,
	} {
		if got := headCost([]byte(text)); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
}

func TestHeadsWithoutMemoryAreClosedUnread(t *testing.T) {
	memory := bytebudget.New(1 << 20)
	tracker, addr := startLimited(t, 0, memory, func(http.ResponseWriter, *http.Request) {})
	half := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000)
	for range 8 {
		_, _ = io.WriteString(dial(t, addr), half) // fails if the connection is refused before the end
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, refused := tracker.Shed(); refused > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no connection was refused")
		}
	}
	awaitServed(t, addr)
	if used := memory.Used(); used > 1<<20 {
		t.Errorf("%d bytes charged", used)
	}
}

func TestMemoryOfHeadsIsReleased(t *testing.T) {
	memory := bytebudget.New(0)
	charged := make(chan int64, 1)
	_, addr := startLimited(t, 0, memory, func(http.ResponseWriter, *http.Request) { charged <- memory.Used() })
	c := dial(t, addr)
	sendRequest(t, c)
	if n := <-charged; n == 0 {
		t.Error("a request in progress is not charged for its head")
	}
	for end := time.Now().Add(10 * time.Second); memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are charged after the end of the request", memory.Used())
		}
	}
	sendRequest(t, c)
	<-charged
	c.Close()
	for end := time.Now().Add(10 * time.Second); memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are charged after the end of the connection", memory.Used())
		}
	}
}
