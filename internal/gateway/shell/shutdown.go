package shell

import (
	"context"
	"net/http"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

const (
	// balancerLag is how long callers still arrive after this process has become
	// unready: two readiness checks of the balancer, one per second, and a request on
	// a connection that was forwarded just before.
	balancerLag = 2600 * time.Millisecond
	// graceMargin is how long before the end of Settings.Grace the remaining requests
	// are ended.
	graceMargin = 400 * time.Millisecond
	// finalAnswerTime is how long the answers of the remaining requests may take to be
	// written then.
	finalAnswerTime = graceMargin / 2
	// drainedTime is how long no request must have been in flight before the process exits:
	// a caller may send its next one as soon as it has an answer.
	drainedTime = 100 * time.Millisecond
	// shutdownRetryAfter is the Retry-After of responses of a process that is about to exit:
	// other gateways serve the callers.
	shutdownRetryAfter = 50 * time.Millisecond
)

// shutDown ends the process gracefully. It fails readiness and, for the duration lag, in
// which the balancer notices, serves all requests that still arrive. After that it closes
// idle connections, serves requests that end before the process does, and refuses others,
// also those that arrived before and wait for an endpoint.
// It returns when no request is in flight, or ends those that remain at graceMargin before
// the end of Settings.Grace.
//
// The servers are closed last. http.Server.Shutdown would not do: a server that is shutting
// down closes connections from which it has just read a request, without a response.
func (g *Gateway) shutDown(servers []*http.Server, lag time.Duration) {
	exitAt := g.now() + g.cfg.Settings.Grace - graceMargin
	g.leaving.Store(true)
	g.tick(gateway.Input{Shutdown: &gateway.Shutdown{}})
	g.log.Info().Str("event", "stopping").Int("in_flight", g.inFlight()).Send()
	time.Sleep(lag)
	g.exitAt.Store(int64(exitAt))
	g.tick(gateway.Input{Draining: &gateway.Draining{ExitAt: exitAt}})
	closed := g.conns.CloseIdle()
	g.log.Info().Str("event", "draining").Int("in_flight", g.inFlight()).Int("connections_closed", closed).Send()
	drained := g.awaitIdle(exitAt)
	if drained {
		g.exitAt.Store(int64(g.now())) // refuses what still arrives
		drained = g.awaitDrained(exitAt, 0)
	}
	if !drained {
		g.log.Warn().Str("event", "grace-over").Int("in_flight", g.inFlight()).Send()
		g.tick(gateway.Input{Exit: &gateway.Exit{}})
	}
	g.awaitReleases(exitAt + finalAnswerTime)
	if !g.awaitDrained(exitAt+finalAnswerTime, 0) {
		g.log.Warn().Str("event", "answers-cut").Int("connections", g.conns.Busy()).Send()
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			g.log.Warn().Str("event", "close-failed").Err(err).Send()
		}
	}
}

// awaitIdle waits until no connection of a caller has carried a request for drainedTime and no
// release is on its way, and returns false if that is not so by a time on the gateway's clock.
func (g *Gateway) awaitIdle(until time.Duration) bool {
	for g.awaitDrained(until, drainedTime) {
		if g.releasing.Load() == 0 {
			return true
		}
		g.awaitReleases(until) // requests may arrive meanwhile
	}
	return false
}

// awaitDrained waits until no connection of a caller has carried a request for a duration,
// and returns false if that is not so by a time on the gateway's clock.
func (g *Gateway) awaitDrained(until, duration time.Duration) bool {
	ctx, cancel := context.WithDeadline(context.Background(), g.start.Add(until))
	defer cancel()
	return g.conns.AwaitQuiet(ctx, duration)
}

// endsBeforeExit reports whether a request with a deadline ends before the process does.
func (g *Gateway) endsBeforeExit(deadline time.Duration) bool {
	exitAt := time.Duration(g.exitAt.Load())
	return exitAt == 0 || deadline <= exitAt
}
