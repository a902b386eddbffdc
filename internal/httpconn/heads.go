package httpconn

import "bytes"

const (
	// headFactor is the memory that a head takes, relative to its bytes: they are buffered, and
	// copied into the fields of the request.
	headFactor = 2
	// fieldBytes is the memory in bytes that each header field takes in addition.
	fieldBytes = 128
)

var headEnd = []byte("\r\n\r\n")

// headCost returns the memory in bytes that a part of a head takes until the end of its request.
// Bytes after the end of the head are not counted.
func headCost(part []byte) int64 {
	if end := bytes.Index(part, headEnd); end >= 0 {
		part = part[:end]
	}
	return int64(headFactor*len(part) + fieldBytes*bytes.Count(part, []byte("\n")))
}

// chargeHead charges a part of a head that has been read, and reports whether there is memory for
// it.
func (c *trackedConn) chargeHead(part []byte) bool {
	if c.memory == nil || !c.inHead() {
		return true
	}
	c.memory.Progress()
	return c.memory.Grow(headCost(part)) == nil
}

// headState tells how much of the next request's head has been read.
type headState int

const (
	headNone    headState = iota // nothing, or all of it
	headBegun                    // a part
	headAwaited                  // a part, and the server reads on
)

// inHead reports whether the connection waits for a request or for the rest of its head.
func (c *trackedConn) inHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits
}

// awaitRest lets the account evict the connection while it waits for the rest of a head.
func (c *trackedConn) awaitRest() {
	if c.memory != nil && c.startsAwaitingRest() {
		c.memory.Evictable(func() { c.end(func(connWait) bool { return true }) })
	}
}

func (c *trackedConn) startsAwaitingRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	starts := c.head == headBegun
	if starts {
		c.head = headAwaited
	}
	return starts
}
