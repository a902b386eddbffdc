package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

func init() { scenarios["stray-answer"] = strayAnswer }

const (
	// The dose of garble: the share of a service's replicas, the part of their answers and the
	// length. It comes again after a pause.
	strayShare = 0.6
	strayRatio = 0.03
	strayFor   = 5 * time.Second
	strayPause = 2 * time.Second
	strayTimes = 12
)

// strayAnswer lets replicas of both services send additional bytes after some complete answers,
// which come where the next answer is expected: an answer to a health check, which bears no ID.
func strayAnswer(w *world) int {
	const engines, plains = 6, 3
	if err := w.build(engines, plains, 5); err != nil {
		return w.fail(err)
	}
	var faulty atomic.Bool
	for i, r := range w.replicas {
		n, of := i, engines
		if !r.engine {
			n, of = i-engines, plains
		}
		if n >= int(strayShare*float64(of)) {
			continue
		}
		r.strays = func() bool { return faulty.Load() && rand.Float64() < strayRatio }
	}
	w.traffic(1, w.stop)
	time.Sleep(4 * time.Second)
	for range strayTimes {
		faulty.Store(w.trouble)
		time.Sleep(strayFor)
		faulty.Store(false)
		time.Sleep(strayPause)
	}
	close(w.stop)
	w.wg.Wait()
	return w.checkMixed()
}

// checkMixed applies rule MIXED: a success bears the replica's seal and its whole body.
func (w *world) checkMixed() int {
	found := w.findings()
	w.mu.Lock()
	defer w.mu.Unlock()
	served := 0
	for _, c := range w.calls {
		if c.err == nil && c.status == 200 {
			served++
		}
	}
	for _, f := range found {
		w.noteLocked("broken    %s", f)
	}
	text := fmt.Sprintf("%d calls, %d with status 200; %d successes were not the replica's answer", len(w.calls), served, len(found))
	fmt.Println(text)
	w.noteLocked("result    %s", text)
	switch {
	case served < len(w.calls)/2:
		return unable
	case len(found) > 0:
		return broken
	}
	return held
}
