package shell

import (
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"trefoilpath.org/trefoilpath/internal/entry"
)

// Parameters of the timers' exponentially decaying samples, as in the library's
// NewTimer.
const (
	reservoirSize  = 1028  // samples
	reservoirAlpha = 0.015 // decay factor; higher values favour newer samples
)

// meters are the metrics of an entry.
type meters struct {
	registry metrics.Registry
	inputs   metrics.Counter
	ticks    metrics.Timer // duration of ticks of the core
	first    metrics.Timer // time to first token

	bodiesRefused    metrics.Counter // requests refused since there was no memory for their bodies
	bodiesIncomplete metrics.Counter // bodies that did not arrive whole in time
	answersCut       metrics.Counter // answers broken off since their callers did not take them
	connectionsShed  metrics.Counter // connections closed for lack of a place
}

func newMeters() *meters {
	m := &meters{
		registry: metrics.NewRegistry(), inputs: metrics.NewCounter(), ticks: newTimer(), first: newTimer(),
		bodiesRefused: metrics.NewCounter(), bodiesIncomplete: metrics.NewCounter(), connectionsShed: metrics.NewCounter(),
		answersCut: metrics.NewCounter(),
	}
	_ = m.registry.Register("core.inputs", m.inputs) // the names are distinct
	_ = m.registry.Register("core.tick", m.ticks)
	_ = m.registry.Register("requests.first_token", m.first)
	_ = m.registry.Register("callers.bodies_refused", m.bodiesRefused)
	_ = m.registry.Register("callers.bodies_incomplete", m.bodiesIncomplete)
	_ = m.registry.Register("callers.answers_cut", m.answersCut)
	_ = m.registry.Register("connections.shed", m.connectionsShed)
	return m
}

func newTimer() metrics.Timer {
	return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)), metrics.NewMeter())
}

func (m *meters) tick(inputs int, took time.Duration) {
	m.inputs.Inc(int64(inputs))
	m.ticks.Update(took)
}

// count counts an event of the core.
func (m *meters) count(e *entry.Event) {
	name := "events." + string(e.Kind)
	if e.Kind == entry.EventFinished || e.Kind == entry.EventRefused {
		name += "." + e.Outcome.String() + "." + e.Code.String()
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	if e.Kind == entry.EventFinished && e.TTFT > 0 {
		m.first.Update(e.TTFT)
	}
}

// gauges sets the gauges from the state of the core.
func (m *meters) gauges(d *entry.Dump) {
	up := 0
	for i := range d.Endpoints {
		if d.Endpoints[i].Up {
			up++
		}
	}
	metrics.GetOrRegisterGauge("endpoints.up", m.registry).Update(int64(up))
	metrics.GetOrRegisterGauge("requests.in_flight", m.registry).Update(int64(len(d.Requests)))
	metrics.GetOrRegisterGauge("declarations.revision", m.registry).Update(int64(d.Revision))
}

func (e *Entry) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if d, err := e.Dump(r.Context()); err == nil {
		e.meters.gauges(&d)
	}
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(e.meters.registry, w)
}
