package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
)

//go:embed slopes.json
var slopesJSON []byte

// Slope is one measured cost with the command that measured it.
type Slope struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	What    string  `json:"what"`  // description of the cost
	Sizes   string  `json:"sizes"` // sizes at which it was measured
	Command string  `json:"command"`
}

// Slopes returns the measured costs in the order of docs/CAPACITY.md.
func Slopes() ([]Slope, error) {
	var list []Slope
	if err := json.Unmarshal(slopesJSON, &list); err != nil {
		return nil, errors.Wrap(err, "slopes.json")
	}
	return list, nil
}

// Verdict says whether a value stays within its bound.
type Verdict string

// Values of Verdict.
const (
	Fits    Verdict = "fits"
	TooMuch Verdict = "**does not fit**"
	NoBound Verdict = ""
)

// Line is one computed value of docs/CAPACITY.md.
type Line struct {
	Role      string
	Item      string
	Sum       string // the arithmetic as text
	Value     float64
	Unit      string
	Bound     float64 // 0: none
	Mechanism string  // what in the design carries the load or keeps it low
	State     string  // of the mechanism: "runs" (implemented) or "designed", with a remark where needed
}

// Verdict compares the value with the bound.
func (l Line) Verdict() Verdict {
	switch {
	case l.Bound == 0:
		return NoBound
	case l.Value <= l.Bound:
		return Fits
	}
	return TooMuch
}

// capacitySums computes the lines.
type capacitySums struct {
	target      Target
	assumptions Assumptions
	slopes      map[string]float64 // values by name
	lines       []Line
	err         error // first unknown slope
}

// slope returns a measured cost. An unknown name is recorded as the error of Compute.
func (m *capacitySums) slope(name string) float64 {
	v, ok := m.slopes[name]
	if !ok && m.err == nil {
		m.err = errors.Errorf("slopes.json has no slope %q", name)
	}
	return v
}

// add appends a line with its arithmetic formatted as Sum.
func (m *capacitySums) add(l Line, format string, args ...any) {
	l.Sum = fmt.Sprintf(format, args...)
	m.lines = append(m.lines, l)
}

// Compute returns all lines for a target. It returns an error if a slope is missing.
func Compute(t Target, a Assumptions, slopes []Slope) ([]Line, error) {
	m := &capacitySums{target: t, assumptions: a, slopes: make(map[string]float64, len(slopes))}
	for _, s := range slopes {
		m.slopes[s.Name] = s.Value
	}
	m.entry()
	m.agent()
	m.placement()
	m.store()
	m.failures()
	return m.lines, m.err
}

// secondsPerDay converts rates per day.
const secondsPerDay = 86_400

// agentsPerEntry returns the number of agents with a stream to one entry.
func (m *capacitySums) agentsPerEntry() float64 {
	return m.target.Replicas * m.assumptions.StreamsPerAgent / m.target.Entries
}

// changesPerSecond returns the number of configuration changes per second.
func (m *capacitySums) changesPerSecond() float64 { return m.target.ChangesPerDay / secondsPerDay }

func (m *capacitySums) entry() {
	t, a := m.target, m.assumptions
	seen := m.agentsPerEntry()
	m.add(Line{Role: "entry", Item: "agents seen", Value: seen, Unit: "agents", Mechanism: "rendezvous subset of entries for each agent, 4 of its failure domain and 2 others", State: "runs (8 and 8 by default; a setting)"},
		"%.0f replicas × %.0f streams / %.0f entries", t.Replicas, a.StreamsPerAgent, t.Entries)
	perEntry := t.Requests / t.Entries
	m.add(Line{Role: "entry", Item: "requests", Value: perEntry, Unit: "requests/s", Mechanism: "the platform's balancer", State: "runs"},
		"%.0f / %.0f", t.Requests, t.Entries)
	m.add(Line{Role: "entry", Item: "tokens passed on", Value: t.Tokens / t.Entries, Unit: "tokens/s", Mechanism: "frames gathered into batches", State: "runs"},
		"%.0f / %.0f", t.Tokens, t.Entries)
	reportBytes := m.slope("control_b") // B/s of reports and prefix hints
	sent := m.slope("limits_b") + m.slope("spread_b") + a.HeartbeatBytes
	m.add(Line{Role: "entry", Item: "control received", Value: reportBytes + m.slope("limits_b") + m.slope("spread_b"), Unit: "B/s", Bound: t.ControlBytes, Mechanism: "agents divide the entry's budget (Heartbeat.Agents)", State: "runs"},
		"%.0f reports and hints + %.0f limits + %.0f declarations", reportBytes, m.slope("limits_b"), m.slope("spread_b"))
	m.add(Line{Role: "entry", Item: "control sent", Value: sent, Unit: "B/s", Bound: t.ControlBytes, Mechanism: "heartbeats rarer with more agents; limits by session; differences", State: "runs"},
		"%.0f limits + %.0f declarations + %.0f heartbeats", m.slope("limits_b"), m.slope("spread_b"), a.HeartbeatBytes)
	// The cost of prefix hints is computed as if all these bytes were reports.
	cpu := (m.slope("resolve_ns")*m.changesPerSecond() + m.slope("report_ns")*reportBytes/wire.ReportBytes + m.slope("admit_ns")*perEntry) / 1e9
	m.add(Line{Role: "entry", Item: "processor time for control", Value: cpu, Unit: "cores", Bound: t.ControlCPU, Mechanism: "ticks cost what is due", State: "runs"},
		"(%.2f ms × %.3f changes/s + %.0f ns × %.0f reports/s + %.0f ns × %.0f admissions/s) in seconds", m.slope("resolve_ns")/1e6, m.changesPerSecond(), m.slope("report_ns"), reportBytes/wire.ReportBytes, m.slope("admit_ns"), perEntry)
	m.add(Line{Role: "entry", Item: "processor time of decisions on requests", Value: m.slope("request_ns") * perEntry / 1e9, Unit: "cores", Mechanism: "one core loop", State: "runs"},
		"%.1f us × %.0f requests/s", m.slope("request_ns")/1e3, perEntry)
	inFlight := perEntry * a.RequestSeconds
	memory := a.RuntimeBytes + seen*(m.slope("endpoint_b")+a.HintBytes*a.HintsPerAgent) + 2*m.slope("lists_b") + m.slope("account_b")*t.Accounts/t.Regions + inFlight*m.slope("request_b")
	m.add(Line{Role: "entry", Item: "memory for control", Value: memory / 1e6, Unit: "MB", Bound: t.ControlMemory / 1e6, Mechanism: "bounded prefix hints; only accounts in use cost", State: "runs"},
		"%.0f MB process + %.0f × (%.0f B + %.0f × %.0f B hints) + 2 × %.1f MB lists + %.0f × %.0f B accounts + %.0f × %.0f B requests", a.RuntimeBytes/1e6, seen, m.slope("endpoint_b"), a.HintsPerAgent, a.HintBytes, m.slope("lists_b")/1e6, t.Accounts/t.Regions, m.slope("account_b"), inFlight, m.slope("request_b"))
}

func (m *capacitySums) agent() {
	t, a := m.target, m.assumptions
	perAgent := t.Requests / t.Replicas
	m.add(Line{Role: "agent", Item: "attempts", Value: perAgent, Unit: "attempts/s", Mechanism: "late binding adds refused ones", State: "runs"},
		"%.0f / %.0f, before refusals", t.Requests, t.Replicas)
	m.add(Line{Role: "agent", Item: "processor time", Value: perAgent * m.slope("attempt_ns") / 1e9, Unit: "cores", Bound: t.ControlCPU, Mechanism: "ticks cost what is due", State: "runs"},
		"%.1f us × %.1f attempts/s", m.slope("attempt_ns")/1e3, perAgent)
	sent := m.slope("control_b") / m.agentsPerEntry() * a.StreamsPerAgent
	m.add(Line{Role: "agent", Item: "control sent", Value: sent, Unit: "B/s", Bound: t.ControlBytes, Mechanism: "one budget an entry, divided", State: "runs"},
		"%.0f B/s an entry / %.0f agents × %.0f streams", m.slope("control_b"), m.agentsPerEntry(), a.StreamsPerAgent)
}

func (m *capacitySums) placement() {
	t, a := m.target, m.assumptions
	engines := t.Replicas / t.Domains
	m.add(Line{Role: "placement duty", Item: "endpoints of a failure domain", Value: engines, Unit: "endpoints", Mechanism: "one holder a failure domain, all its agents keep a stream to the two candidates", State: "runs"},
		"%.0f / %.0f", t.Replicas, t.Domains)
	m.add(Line{Role: "placement duty", Item: "state", Value: engines * m.slope("placed_b") / 1e6, Unit: "MB", Bound: t.ControlMemory / 1e6, Mechanism: "the endpoints' reports are its only memory", State: "runs"},
		"%.0f × %.0f B", engines, m.slope("placed_b"))
	m.add(Line{Role: "placement duty", Item: "processor time", Value: m.slope("plan_ns") * a.PlansPerSecond / 1e9, Unit: "cores", Bound: t.ControlCPU, Mechanism: "at most one plan in half a second", State: "runs"},
		"%.2f ms × %.0f plans/s", m.slope("plan_ns")/1e6, a.PlansPerSecond)
	m.add(Line{Role: "placement duty", Item: "age of an unchanged report at a candidate", Value: engines * wire.ReportBytes * wire.IdleReportIntervals / (wire.ControlBudget * wire.ReportShare), Unit: "s", Mechanism: "changes are reported at once; a slower rate for placement alone", State: "designed (docs/design/043)"},
		"%.0f agents × %d B × %d / %.0f B/s", engines, wire.ReportBytes, wire.IdleReportIntervals, wire.ControlBudget*wire.ReportShare)
}

// batchSeconds is the interval at which an entry would write its batched records.
const batchSeconds = 2

func (m *capacitySums) store() {
	t, a := m.target, m.assumptions
	reads := m.slope("change_reads")*m.changesPerSecond() + m.slope("spread_reads") + m.slope("lease_reads")*t.Domains
	m.add(Line{Role: "store", Item: "reads", Value: reads, Unit: "reads/s", Bound: a.StoreReads, Mechanism: "two watchers a failure domain; peers carry the rest", State: "runs"},
		"%.0f reads × %.3f changes/s + %.1f watchers + %.3f × %.0f duties", m.slope("change_reads"), m.changesPerSecond(), m.slope("spread_reads"), m.slope("lease_reads"), t.Domains)
	writes := m.slope("change_writes")*m.changesPerSecond() + m.slope("lease_writes")*t.Domains + t.Restarts/secondsPerDay
	m.add(Line{Role: "store", Item: "writes without at-most-once records", Value: writes, Unit: "writes/s", Bound: a.StoreWrites, Mechanism: "one root by compare-and-swap; one lease a failure domain", State: "runs"},
		"%.0f × %.3f changes/s + %.3f × %.0f duties + %.0f restarts a day", m.slope("change_writes"), m.changesPerSecond(), m.slope("lease_writes"), t.Domains, t.Restarts)
	// The texts of the next two lines state KeyedShare as / 12 and batchSeconds as
	// 2 s; they do not follow a change of these values.
	keyed := t.Requests * a.KeyedShare
	m.add(Line{Role: "store", Item: "writes of at-most-once records, one a record", Value: keyed * m.slope("record_writes"), Unit: "writes/s", Bound: a.StoreWrites, Mechanism: "one record a call", State: "runs"},
		"%.0f requests/s / 12 × %.0f writes", t.Requests, m.slope("record_writes"))
	m.add(Line{Role: "store", Item: "the same, batched by entry", Value: t.Entries / batchSeconds * m.slope("record_writes"), Unit: "writes/s", Bound: a.StoreWrites, Mechanism: "each entry gathers the records of a second or two in one value by compare-and-swap; adds up to two seconds to such a call", State: "designed (docs/design/042)"},
		"%.0f entries × one batch in 2 s × %.0f writes", t.Entries, m.slope("record_writes"))
	m.add(Line{Role: "store", Item: "a change in force everywhere", Value: m.slope("converge_s"), Unit: "s", Bound: t.ConvergeSeconds, Mechanism: "announcements and differences between peers", State: "runs"},
		"measured at %.0f entries", t.Entries)
}

func (m *capacitySums) failures() {
	t, a := m.target, m.assumptions
	m.add(Line{Role: "weight store", Item: "loads on an ordinary day", Value: t.Restarts / secondsPerDay * a.LoadSeconds, Unit: "loads at a time", Bound: a.LoadSlots * t.Domains, Mechanism: "slots of each failure domain", State: "runs"},
		"%.0f restarts a day × %.0f s a load", t.Restarts, a.LoadSeconds)
	m.add(Line{Role: "weight store", Item: "a rack returns", Value: a.RackReplicas * a.LoadSeconds / a.LoadSlots, Unit: "s", Mechanism: "models below their minimum first", State: "runs"},
		"%.0f replicas × %.0f s / %.0f slots", a.RackReplicas, a.LoadSeconds, a.LoadSlots)
	m.add(Line{Role: "weight store", Item: "a failure domain returns", Value: t.Replicas / t.Domains * a.LoadSeconds / a.LoadSlots / 3600, Unit: "hours", Mechanism: "needs more slots than the default: a setting of the weight store's rate", State: "runs, too slow by default"},
		"%.0f replicas × %.0f s / %.0f slots", t.Replicas/t.Domains, a.LoadSeconds, a.LoadSlots)
	m.add(Line{Role: "fleet", Item: "capacity without one failure domain", Value: 100 * (t.Domains - 1) / t.Domains, Unit: "% of the fleet", Mechanism: "spill-over by cost between failure domains", State: "runs"},
		"(%.0f − 1) / %.0f", t.Domains, t.Domains)
	m.add(Line{Role: "fleet", Item: "reconnects after one entry is lost", Value: m.agentsPerEntry(), Unit: "streams", Mechanism: "jittered; each agent opens at most two new streams", State: "runs"},
		"the agents seen by one entry")
	m.add(Line{Role: "fleet", Item: "reconnects after a failure domain is lost", Value: t.Entries / t.Domains * m.agentsPerEntry(), Unit: "streams", Mechanism: "jittered over seconds; spread over the remaining entries", State: "runs"},
		"%.0f entries × %.0f streams", t.Entries/t.Domains, m.agentsPerEntry())
	m.add(Line{Role: "fleet", Item: "regions apart: part of each limit in a region", Value: 100 / t.Regions, Unit: "% of the limit", Mechanism: "limits are divided among regions, so that nothing has to be agreed across them", State: "runs; an hour apart was not run"},
		"1 / %.0f", t.Regions)
}
