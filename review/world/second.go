package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { scenarios["second-answer"] = secondAnswer }

const (
	// secondRatio is the part of its answers that the faulty replica gives a second time.
	secondRatio = 0.05
	// restarts of the replica are apart by restartEvery, and it is down for downFor.
	restarts     = 48
	restartEvery = 2 * time.Second
	downFor      = 300 * time.Millisecond
)

// secondAnswer lets one replica of the plain service crash and start again at its address under a
// new ID, again and again. Its former entry lapses three heartbeats after the last one; until then
// requests for the former instance get 421. Some of these answers come a second time, where the
// next answer on the connection is expected.
func secondAnswer(w *world) int {
	const engines, plains = 6, 3
	if err := w.build(engines, plains, 5); err != nil {
		return w.fail(err)
	}
	r := w.replicas[engines]
	w.traffic(1, w.stop)
	time.Sleep(4 * time.Second)
	for range restarts {
		if !w.trouble {
			time.Sleep(restartEvery)
			continue
		}
		addr, former := r.addr(), r.id
		r.exit()
		w.note("trouble   %s at %s crashes", former, addr)
		lapse := 3*heartbeat - time.Duration(rand.Int64N(int64(heartbeat)))
		time.AfterFunc(lapse, func() { w.store.remove("servers/" + former) })
		time.Sleep(downFor)
		n, err := w.newReplicaAt(addr, desk, 0, false)
		if err != nil {
			return w.fail(err)
		}
		n.doubles = func() bool { return rand.Float64() < secondRatio }
		n.register("ready")
		w.note("trouble   %s starts at %s", n.id, addr)
		r = n
		time.Sleep(restartEvery - downFor)
	}
	close(w.stop)
	w.wg.Wait()
	return w.checkTwice()
}

// checkTwice applies rule TWICE: a request that isn't idempotent runs once at most.
func (w *world) checkTwice() int {
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
	text := fmt.Sprintf("%d calls, %d served; %d findings", len(w.calls), served, len(found))
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
