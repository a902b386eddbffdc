package main

import (
	"fmt"
	"time"
)

func init() {
	scenarios["foreign-entry"] = foreignEntry
	scenarios["foreign-service"] = foreignService
}

// foreignWrites is how often another writer writes an entry.
const foreignWrites = 8

// incompleteEntry writes an entry of a replica as another writer: version, slots, coldLeftMs,
// sequence and born are missing.
func (w *world) incompleteEntry(r *replica, service string) {
	w.store.put("servers/"+r.id, map[string]any{"service": service, "addr": r.addr(), "zone": r.zone, "state": "ready"})
}

// foreignEntry lets replicas of the plain service leave in turn. When the time for which they may
// get requests is long over, another writer writes an incomplete entry under the ID of each.
func foreignEntry(w *world) int {
	if err := w.build(6, 3, 5); err != nil {
		return w.fail(err)
	}
	w.traffic(1, w.stop)
	time.Sleep(4 * time.Second)
	for i := range foreignWrites {
		var r *replica
		for _, x := range w.current() {
			if !x.engine {
				r = x
				break
			}
		}
		at := r.leaveSilently()
		w.note("planned   %s of %s leaves: its entry is removed, acknowledged at %.4f", r.id, r.service, at.Sub(w.start).Seconds())
		time.Sleep(drain + time.Second)
		if w.trouble {
			w.incompleteEntry(r, r.service)
			w.note("trouble   another writer writes an entry of %s with service, addr, zone and state only", r.id)
		}
		time.Sleep(4 * time.Second)
		if w.trouble {
			w.store.remove("servers/" + r.id)
		}
		r.exit()
		w.note("planned   %s exits", r.id)
		n, err := w.newReplica(desk, i, false)
		if err != nil {
			return w.fail(err)
		}
		n.register("ready")
		time.Sleep(4 * time.Second)
	}
	close(w.stop)
	w.wg.Wait()
	return w.checkDrain(nil)
}

// foreignService lets another writer write an incomplete entry under the ID of a replica of the
// model service, which names the plain service. The replica writes its own entry again with its
// next heartbeat.
func foreignService(w *world) int {
	if err := w.build(6, 3, 5); err != nil {
		return w.fail(err)
	}
	w.traffic(1, w.stop)
	time.Sleep(4 * time.Second)
	for i := range foreignWrites {
		r := w.replicas[i%6]
		if w.trouble {
			w.incompleteEntry(r, desk)
			w.note("trouble   another writer writes an entry of %s, a replica of %s, with service %s, addr, zone and state only", r.id, llm, desk)
		}
		time.Sleep(heartbeat)
		r.register("ready")
		time.Sleep(5 * time.Second)
	}
	close(w.stop)
	w.wg.Wait()
	return w.checkRoute()
}

// checkRoute applies rule ROUTE: no request is run by a service to which no configuration allows
// it to go.
func (w *world) checkRoute() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	service := map[string]string{}
	for _, r := range w.replicas {
		service[r.id] = r.service
	}
	wrong, served := 0, 0
	for _, x := range w.runs {
		c := w.calls[x.attempt]
		want := desk
		if c.kind.streaming {
			want = llm
		}
		if x.ran && service[x.replica] != want {
			wrong++
			w.noteLocked("broken    ROUTE: %s (%s), which only %s may run, was run by %s of %s; its client got %d, sealed %v", x.attempt, c.kind.name, want, x.replica, service[x.replica], c.status, c.sealed)
		}
	}
	for _, c := range w.calls {
		if c.err == nil && c.status == 200 {
			served++
		}
	}
	text := fmt.Sprintf("%d calls, %d served; %d requests were run by a service to which no configuration allows them to go", len(w.calls), served, wrong)
	fmt.Println(text)
	w.noteLocked("result    %s", text)
	switch {
	case served < len(w.calls)/2:
		return unable
	case wrong > 0:
		return broken
	}
	return held
}
