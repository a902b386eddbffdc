package shell

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"trefoilpath.org/trefoilpath/internal/agent"
)

// Parameters of the timers' exponentially decaying samples, as in the library's
// NewTimer.
const (
	reservoirSize  = 1028  // samples
	reservoirAlpha = 0.015 // decay factor; higher values favour newer samples
)

// meters are the metrics of an agent.
type meters struct {
	registry metrics.Registry
	inputs   metrics.Counter
	ticks    metrics.Timer // duration of ticks of the core

	bodiesRefused metrics.Counter // bodies for which the agent had no room
}

func newMeters() *meters {
	m := &meters{
		registry: metrics.NewRegistry(),
		inputs:   metrics.NewCounter(),
		ticks:    metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)), metrics.NewMeter()),

		bodiesRefused: metrics.NewCounter(),
	}
	_ = m.registry.Register("core.inputs", m.inputs) // the names are distinct
	_ = m.registry.Register("core.tick", m.ticks)
	_ = m.registry.Register("bodies.refused", m.bodiesRefused)
	return m
}

func (m *meters) tick(inputs int, took time.Duration) {
	m.inputs.Inc(int64(inputs))
	m.ticks.Update(took)
}

// count counts an event of the core.
func (m *meters) count(e *agent.Event) {
	name := "events." + string(e.Kind)
	if e.Kind == agent.EventRefused || e.Kind == agent.EventFailed {
		name += "." + e.Reason
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// gauges sets the gauges from the state of the core.
func (m *meters) gauges(d *agent.Dump) {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, m.registry).Update(value)
	}
	set("memory.capacity_tokens", d.Memory.Capacity)
	set("memory.reserved_tokens", d.Memory.Reserved)
	set("attempts.queued", int64(d.Engine.Queued))
	set("attempts.running", int64(d.Engine.Running))
	set("entries.up", int64(d.EntriesUp()))
	set("engine.up", boolGauge(d.Engine.Up))
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
