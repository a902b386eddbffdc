package crowdtest

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func TestLargeChunksOneByteShortStayWithinMemory(t *testing.T) {
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return chunked(g, largeChunks) })
}

func TestTinyChunksOneByteShortStayWithinMemory(t *testing.T) {
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return chunked(g, tinyChunks) })
}

func TestAnnouncedBodiesOneByteShortStayWithinMemory(t *testing.T) {
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return announced(g, bodyLimit, almostBody) })
}

func TestAnnouncedBodiesThatDoNotComeStayWithinMemory(t *testing.T) {
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return announced(g, bodyLimit, nil) })
}

func TestAnnouncedBodiesFarOverTheLimitStayWithinMemory(t *testing.T) {
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return announced(g, len(farTooLong), farTooLong) })
}

func TestChunkedBodiesFarOverTheLimitStayWithinMemory(t *testing.T) {
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return chunked(g, farTooMany) })
}

func TestHalfHeadsOfManyFieldsStayWithinMemory(t *testing.T) {
	fields := manyFields(2 * headLimit)
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member { return member{[]byte(g.head() + fields)} })
}

func TestHeadsOfManyFieldsBeforeShortBodiesStayWithinMemory(t *testing.T) {
	fields := manyFields(headLimit - 200)
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member {
		return member{[]byte(g.head() + fields + "Content-Length: 2\r\n\r\nx")}
	})
}

func TestConnectionsThatSendNothingStayWithinDescriptors(t *testing.T) {
	testCrowd(t, fewDescriptors, largeCrowdSize, func(*gateway, int) member { return nil })
}

func TestHalfHeadsStayWithinDescriptors(t *testing.T) {
	testCrowd(t, fewDescriptors, largeCrowdSize, func(*gateway, int) member { return member{[]byte("POST /safe/x HTTP/1.1\r\nHost: h.exa")} })
}

func TestAnnouncedBodiesThatDoNotComeStayWithinDescriptors(t *testing.T) {
	testCrowd(t, fewDescriptors, largeCrowdSize, func(g *gateway, _ int) member { return announced(g, bodyLimit, nil) })
}

func TestHeadsThatDeclareManyTrailersStayWithinMemory(t *testing.T) {
	var names strings.Builder
	for i := 0; names.Len() < headLimit-200; i++ {
		fmt.Fprintf(&names, "%x,", 0x100+i)
	}
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member {
		return member{[]byte(g.head() + "Trailer: " + names.String() + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nx")}
	})
}

// No route matches, so that the requests are answered without their bodies.
func TestBodiesThatAreNotNeededAndDoNotComeStayWithinDescriptors(t *testing.T) {
	const text = "POST /nowhere HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\n"
	testCrowd(t, fewDescriptors, largeCrowdSize, func(*gateway, int) member { return member{[]byte(text)} })
}

// The answers are as large as those that the gateway holds until they are complete.
func TestCallersThatDoNotReadStayWithinMemory(t *testing.T) {
	const (
		answerBytes = 1000 << 10
		pipelined   = 8 // the buffers of the sockets take the first answers
	)
	testCrowd(t, manyDescriptors, crowdSize, func(g *gateway, _ int) member {
		for _, r := range g.replicas {
			r.Size = answerBytes
		}
		var requests bytes.Buffer
		for range pipelined {
			requests.WriteString(g.head() + "Content-Length: 0\r\n\r\n")
		}
		return member{requests.Bytes()}
	})
}

func TestCrowdOfAllKindsStaysWithinMemoryAndDescriptors(t *testing.T) {
	fields := manyFields(2 * headLimit)
	testCrowd(t, fewDescriptors, largeCrowdSize, func(g *gateway, i int) member {
		return []member{
			chunked(g, largeChunks), chunked(g, tinyChunks), chunked(g, farTooMany), announced(g, bodyLimit, almostBody),
			announced(g, bodyLimit, nil), announced(g, len(farTooLong), farTooLong), {[]byte(g.head() + fields)}, nil,
		}[i%8]
	})
}
