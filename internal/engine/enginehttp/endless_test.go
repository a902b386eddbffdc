package enginehttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// serveRaw starts an engine that answers each call with begin, at least size bytes of repeat, and end.
// A size of 0 is without an end.
func serveRaw(t *testing.T, begin, repeat, end string, size int) (url string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	block := strings.Repeat(repeat, 16<<10/len(repeat))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, begin)
				for sent := 0; err == nil && (size == 0 || sent < size); sent += len(block) {
					_, err = io.WriteString(c, block)
				}
				_, _ = io.WriteString(c, end)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// callBytes is the memory that one call may allocate in all.
const callBytes = 32 << 20

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// finalEvents receives the final events of sequences.
type finalEvents chan engine.Event

func (f finalEvents) Text(engine.SequenceID, int, []byte) {}

func (f finalEvents) Event(ev engine.Event) {
	if ev.Finished != nil || ev.Failed != nil {
		f <- ev
	}
}

func TestEndlessAnswerOfTheEngineIsGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, a := range map[string]struct{ begin, repeat string }{
		"status line":  {"HTTP/1.1 200 ", "x"},
		"header line":  {ok + "X-Line: ", "x"},
		"headers":      {ok, "X-Line: x\r\n"},
		"interim":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"line":         {ok + "\r\n", " "},
		"text":         {ok + "\r\n{\"text\":\"", "x"},
		"held":         {ok + "\r\n{\"Held\":[{}", ",{}"},
		"cache events": {ok + "\r\n{\"Add\":[1", ",1"},
	} {
		url := serveRaw(t, a.begin, a.repeat, "", 0)
		ended := make(finalEvents, 1)
		c := New(url, ended, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		for call, f := range map[string]func() error{
			"state":  func() error { _, err := c.State(ctx); return err },
			"cancel": func() error { return c.Cancel(ctx, "a") },
			"watch":  func() error { return c.watchCache(ctx) },
			"submit": func() error {
				c.Submit(ctx, engine.Submit{ID: "a"}, nil)
				if ev := <-ended; ev.Failed != nil {
					return io.ErrUnexpectedEOF
				}
				return nil
			},
		} {
			var err error
			if n := allocated(func() { err = f() }); err == nil || n > callBytes || ctx.Err() != nil {
				t.Errorf("%s, %s: error %v, %d KB allocated, %v, want an error and at most %d KB", name, call, err, n>>10, ctx.Err(), callBytes>>10)
			}
		}
		cancel()
	}
}

// TestStateOfCountlessSequencesIsGivenUp has a complete answer, of few bytes a sequence.
func TestStateOfCountlessSequencesIsGivenUp(t *testing.T) {
	c := New(serveRaw(t, "HTTP/1.1 200 OK\r\n\r\n{\"Held\":[{}", ",{}", "]}", 2<<20), make(finalEvents, 1), nil)
	var err error
	var st engine.State
	if n := allocated(func() { st, err = c.State(context.Background()) }); err == nil || n > callBytes {
		t.Errorf("%d sequences, error %v, %d KB allocated, want an error and at most %d KB", len(st.Held), err, n>>10, callBytes>>10)
	}
}

func TestAnswerWithALargeHeadIsGivenUp(t *testing.T) {
	for size, valid := range map[int]bool{4 << 10: true, 512 << 10: false} {
		c := New(serveRaw(t, "HTTP/1.1 200 OK\r\nX-Line: ", "x", "\r\n\r\n{\"Capacity\":7}", size), make(finalEvents, 1), nil)
		if st, err := c.State(context.Background()); (err == nil && st.Capacity == 7) != valid {
			t.Errorf("head of more than %d bytes: %+v, %v, want it read: %v", size, st, err, valid)
		}
	}
}
