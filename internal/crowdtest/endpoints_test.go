package crowdtest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// faultyEndpoints is the number of endpoints of each service that answer without an end, all at once.
const faultyEndpoints = 20

// endpointConfig is the configuration with a route for streams of engines.
var endpointConfig = strings.NewReplacer(`"version":1`, `"version":2`,
	`"routes":[`, `"routes":[{"name":"s","host":"h.example","prefix":"/stream/","kind":"streaming","timeoutMs":10000,"goalMs":300,"gapGoalMs":200,"service":"llm","attempts":2,"resumable":true,"public":true},`,
	`"services":[`, `"services":[{"name":"llm","engine":{"slots":16,"kvTokens":60000,"hopMs":0.05,"stride":46,"step_ms":0.925,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048}},`,
).Replace(config)

// startWithEndpoints starts a gateway with a limit of descriptors and with faultyEndpoints plain endpoints and as many engines, which
// are prepared by prepare.
func startWithEndpoints(t *testing.T, descriptors int, prepare func(*standin.Replica)) (g *gateway, plain, engines []*standin.Replica) {
	t.Helper()
	g = startGateway(t, descriptors)
	g.store.Put("op/config", []byte(endpointConfig))
	start := func(service string, n int) (all []*standin.Replica) {
		for i := range n {
			r, err := standin.NewReplica(fmt.Sprintf("%s-more-%d", service, i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			all = append(all, r)
			g.store.Register(r.ID, service, r.Addr(), "ready")
		}
		return all
	}
	plain = append(start("desk", faultyEndpoints-len(g.replicas)), g.replicas...)
	engines = start("llm", faultyEndpoints)
	for _, r := range slices.Concat(plain, engines) {
		prepare(r)
	}
	eventually(t, "all endpoints and the routes are known", func() bool {
		log := g.wholeLog()
		return strings.Contains(log, fmt.Sprintf("endpoints=%d ", 2*faultyEndpoints)) &&
			strings.Contains(log, "detail=version=2 event=configuration-in-force")
	})
	g.calm += 2 * faultyEndpoints // a kept connection to each
	return g, plain, engines
}

func (g *gateway) streamHead() string {
	return strings.Replace(g.head(), "/safe/", "/stream/", 1) + "Token-Count: 400,100\r\nModel: m\r\nPrompt-Prefix: ab:400\r\n"
}

// testEndlessEndpoints lets all endpoints answer a crowd's requests with a fault.
func testEndlessEndpoints(t *testing.T, fault standin.Fault, stream bool, prepare func(*standin.Replica)) {
	g, plain, engines := startWithEndpoints(t, manyDescriptors, prepare)
	faulty, head := plain, g.head
	if stream {
		faulty, head = engines, g.streamHead
	}
	for _, r := range faulty {
		r.InjectFaults(slices.Repeat([]standin.Fault{fault}, 4*crowdSize)...)
	}
	members := make([]member, crowdSize)
	for i := range members {
		members[i] = member{[]byte(head() + "Content-Length: 0\r\n\r\n")}
	}
	leave := runCrowd(g, members)
	time.Sleep(endlessTime)
	g.checkBounds(memoryMB, manyDescriptors)
	runs := 0
	for _, r := range faulty {
		runs += len(r.Runs())
		r.ClearFaults()
	}
	t.Logf("%d answers without an end", runs)
	if runs == 0 {
		t.Error("no endpoint has answered without an end")
	}
	g.serveOrdinary()
	leave()
	g.serveLargestInCalm()
	g.checkBounds(memoryMB, manyDescriptors)
}

func TestEndlessAnswersOfManyEndpointsStayWithinMemory(t *testing.T) {
	for name, c := range map[string]struct {
		fault  standin.Fault
		stream bool
	}{
		"headers":         {standin.FaultEndlessHeaders, false},
		"interim answers": {standin.FaultEndlessInterim, false},
		"unframed body":   {standin.FaultEndlessUnframed, false},
		"announced body":  {standin.FaultEndlessLength, false},
		"small chunks":    {standin.FaultEndlessSmallChunks, false},
		"first event":     {standin.FaultEndlessFirstEvent, true},
		"tiny event":      {standin.FaultEndlessTinyEvent, true},
		"events":          {standin.FaultEndlessEvents, true},
	} {
		t.Run(name, func(t *testing.T) { testEndlessEndpoints(t, c.fault, c.stream, func(*standin.Replica) {}) })
	}
}

// TestAnswersThatStopShortOfTheirBoundStayWithinMemory has answers of nearly as much as is held for an answer, which
// go on slowly.
func TestAnswersThatStopShortOfTheirBoundStayWithinMemory(t *testing.T) {
	for name, c := range map[string]struct {
		fault  standin.Fault
		stream bool
	}{
		"unframed body": {standin.FaultEndlessUnframed, false},
		"chunks":        {standin.FaultEndlessChunks, false},
		"first event":   {standin.FaultEndlessFirstEvent, true},
		"second event":  {standin.FaultEndlessSecondEvent, true},
	} {
		t.Run(name, func(t *testing.T) {
			testEndlessEndpoints(t, c.fault, c.stream, func(r *standin.Replica) {
				r.FastBytes, r.ByteInterval = 1000<<10, 100*time.Millisecond
			})
		})
	}
}

func TestEndlessReportsAndOrdersOfManyEndpointsStayWithinMemory(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"headers": standin.FaultEndlessHeaders, "interim answers": standin.FaultEndlessInterim,
		"unframed body": standin.FaultEndlessUnframed, "announced body": standin.FaultEndlessLength,
	} {
		t.Run(name, func(t *testing.T) {
			g, _, engines := startWithEndpoints(t, manyDescriptors, func(r *standin.Replica) { r.SetControlFault(fault) })
			members := make([]member, crowdSize)
			for i := range members {
				long := strings.Replace(g.streamHead(), "Token-Count: 400,100\r\n", "Token-Count: 70000,100\r\n", 1)
				long = strings.Replace(long, "ab:400", fmt.Sprintf("p%d:70000", i), 1)
				members[i] = member{[]byte(long + "Content-Length: 0\r\n\r\n")}
			}
			runCrowd(g, members)
			time.Sleep(endlessTime)
			g.checkBounds(memoryMB, manyDescriptors)
			orders := 0
			for _, r := range engines {
				orders += len(r.Orders())
			}
			t.Logf("%d orders answered without an end, reports too: %v", orders, strings.Contains(g.wholeLog(), "event=no-report"))
			g.serveOrdinary()
			g.checkBounds(memoryMB, manyDescriptors)
		})
	}
}

// TestEndpointsThatDoNotAnswerStayWithinDescriptors has requests that are sent to a second endpoint, so that each
// takes three connections.
func TestEndpointsThatDoNotAnswerStayWithinDescriptors(t *testing.T) {
	g, plain, _ := startWithEndpoints(t, fewDescriptors, func(*standin.Replica) {})
	for _, r := range plain {
		r.InjectFaults(slices.Repeat([]standin.Fault{standin.FaultHang}, 4*largeCrowdSize)...)
	}
	members := make([]member, largeCrowdSize)
	for i := range members {
		members[i] = member{[]byte(g.head() + "Content-Length: 0\r\n\r\n")}
	}
	leave := runCrowd(g, members)
	time.Sleep(endlessTime)
	g.checkBounds(memoryMB, fewDescriptors)
	for _, r := range plain {
		r.ClearFaults()
	}
	g.serveOrdinary()
	leave()
	g.serveLargestInCalm()
	g.checkBounds(memoryMB, fewDescriptors)
}

// TestKeptConnectionsToEndpointsStayWithinDescriptors has as many callers as connections are allowed to, who behave.
func TestKeptConnectionsToEndpointsStayWithinDescriptors(t *testing.T) {
	const callers = 90
	g, _, _ := startWithEndpoints(t, fewDescriptors, func(r *standin.Replica) { r.Size, r.SendDuration = 1000, 10*time.Millisecond })
	stop := time.Now().Add(endlessTime)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for time.Now().Before(stop) {
				g.send(strings.NewReader("an ordinary body"))
			}
		})
	}
	running.Wait()
	g.checkBounds(memoryMB, fewDescriptors)
	g.serveOrdinary()
}
