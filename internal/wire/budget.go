package wire

// The budget for control messages at one entry, and how reports divide it. Agents
// pace their reports by it, and entries judge by it how long an agent may be
// silent.
const (
	ControlBudget = 2048 // bytes a second
	ReportShare   = 0.75 // part of the budget that reports and cache deltas may use
	ReportBytes   = 128  // encoded size of a typical Report
	IdleReports   = 4    // report intervals between reports without news
)
