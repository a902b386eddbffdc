package wire

// Budget of one entry for control messages, and its use by reports. Agents compute
// their report interval from it, and entries the time after which an agent without
// reports counts as silent.
const (
	ControlBudget       = 2048 // bytes per second
	ReportShare         = 0.75 // fraction of ControlBudget for reports and cache deltas
	ReportBytes         = 128  // encoded size of a typical Report
	IdleReportIntervals = 4    // report intervals after which an unchanged report is repeated
)
