package gateway

import (
	"testing"
	"time"
)

// forecastTolerance is the error that a forecast may have when the gateway has seen all
// prompts of an engine: messages have other delays than transitTime.
const forecastTolerance = 5 * time.Millisecond

// newStreamingEngine returns a simulation of one gateway and one engine that decodes a
// number of streams, at a time at which no prompt is in prefill.
func newStreamingEngine(t *testing.T, streams int) *simulation {
	s := newSimulationWith(t, 1, 1)
	s.run(time.Second)
	for range streams {
		s.submit(0, "short", 100, 1000)
		s.run(s.now + 200*time.Millisecond)
	}
	return s
}

// checkLastForecast compares the forecast for the prompt that was submitted last with the
// simulated engine.
func checkLastForecast(t *testing.T, s *simulation) {
	t.Helper()
	j := s.allJobs[len(s.allJobs)-1]
	if j.firstAt == 0 {
		t.Fatal("the prompt has no first event")
	}
	// The simulated time leaves out the way back to the gateway, as the forecast does.
	if err := j.firstAt - j.dispatchedAt - j.untilFirst; err < -forecastTolerance || err > forecastTolerance {
		t.Errorf("first event after %v, forecast %v", j.firstAt-j.dispatchedAt, j.untilFirst)
	}
}

// TestForecastMissesNoPartOfASharedPass submits prompts to an engine at many moments of
// its passes, several at once. The forecast must contain the rest of the running pass, all
// prompts of the next one, and its token steps.
func TestForecastMissesNoPartOfASharedPass(t *testing.T) {
	for _, atOnce := range []int{1, 2, 3} {
		s := newStreamingEngine(t, 8)
		for i := range 15 {
			s.run(s.now + 300*time.Millisecond + time.Duration(7*i)*time.Millisecond)
			if left := s.engineList[0].passEnd - s.now; left <= transitTime {
				s.run(s.now + transitTime) // a prompt might arrive before or after the end
			}
			for range atOnce {
				s.submit(0, "short", 2500, 1)
			}
			s.run(s.now + 290*time.Millisecond)
			checkLastForecast(t, s)
		}
	}
}

// TestForecastFollowsPromptsThatMissTheRunningPass submits a prompt while a pass prefills
// another one. It waits for that pass, and prompts that arrive meanwhile share the next.
func TestForecastFollowsPromptsThatMissTheRunningPass(t *testing.T) {
	s := newStreamingEngine(t, 4)
	for range 10 {
		s.submit(0, "short", 6000, 1)
		s.run(s.now + 60*time.Millisecond)
		s.submit(0, "short", 3000, 1)
		s.run(s.now + 15*time.Millisecond)
		s.submit(0, "short", 3000, 1)
		s.run(s.now + 400*time.Millisecond)
		checkLastForecast(t, s)
	}
}

// TestForecastOfAnIdleEngineAddsNoPass submits a prompt to an engine without work, and one
// that comes just behind another there.
func TestForecastOfAnIdleEngineAddsNoPass(t *testing.T) {
	s := newSimulationWith(t, 1, 1)
	s.run(time.Second)
	s.submit(0, "short", 5000, 1)
	s.run(s.now + time.Second)
	checkLastForecast(t, s)
	s.submit(0, "short", 5000, 5)
	s.run(s.now + 10*time.Millisecond)
	s.submit(0, "short", 5000, 5)
	s.run(s.now + time.Second)
	checkLastForecast(t, s)
}

// TestMissingFirstEventsDelayLaterPrompts lets a pass end without the first event that it
// should give. The engine must count as busy for longer.
func TestMissingFirstEventsDelayLaterPrompts(t *testing.T) {
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, "short"))
	e := c.endpoints.Get(d.Endpoint)
	c.now = time.Second + 800*time.Millisecond
	if o := c.occupancy(e); o.nextPass < overduePrefill {
		t.Errorf("the next pass begins in %v though the last one has not ended", o.nextPass)
	}
}

// TestForecastEndsWithoutPrefillTime sends a prompt without tokens, and so without prefill
// time, to an idle engine. The forecast must still reach the time of the next prompt.
func TestForecastEndsWithoutPrefillTime(t *testing.T) {
	c := newTestCore(t, 0, 1)
	r := testRoutes()["short"]
	for id := RequestID(1); id <= 2; id++ {
		if dispatchOf(c.Tick(time.Second, Input{Arrive: &Arrival{ID: id, RequestID: "empty", Route: r, Service: engineService, Deadline: 10 * time.Second}})) == nil {
			t.Errorf("prompt %d waits", id)
		}
	}
}
