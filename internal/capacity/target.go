package capacity

// Target is the size that the design has to carry in two years, as the users
// state it.
type Target struct {
	Entries       float64 // nodes in front of the replicas
	Replicas      float64
	Requests      float64 // a second
	Tokens        float64 // generated a second
	Accounts      float64
	Regions       float64
	Domains       float64
	ChangesPerDay float64
	InForceS      float64 // seconds
	ControlCPU    float64 // part of a core
	ControlMemory float64 // bytes
	ControlBytes  float64 // a second and node
	Restarts      float64 // VMs a day
	Failures      float64 // VMs a day
}

// TwoYears is the users' target.
var TwoYears = Target{
	Entries: 430, Replicas: 12_000, Requests: 29_000, Tokens: 13e6, Accounts: 8_100, Regions: 4, Domains: 11,
	ChangesPerDay: 16_000, InForceS: 12, ControlCPU: 0.037, ControlMemory: 128e6, ControlBytes: 2_000,
	Restarts: 3_900, Failures: 120,
}

// Assumptions are the choices on which the sums rest besides slopes and target.
type Assumptions struct {
	StreamsPerAgent float64 // entries that an agent keeps streams to, at the target's subset size
	RequestSeconds  float64 // mean time in flight
	KeyedShare      float64 // part of the requests that are at-most-once calls
	HintBytes       float64 // a cached prefix block at an entry
	HintsPerAgent   float64
	StoreReads      float64 // a second, of the platform's store
	StoreWrites     float64 // a second
	LoadSeconds     float64 // one model load, by the engine stand-in
	LoadSlots       float64 // loads at a time in a failure domain
	RackReplicas    float64 // endpoints behind one rack or switch
	HeartbeatBytes  float64 // a second for heartbeats at an entry
	RuntimeBytes    float64 // of a process without state
	DecisionsASec   float64 // most placement plans a second
}

// Defaults are the assumptions of the page.
var Defaults = Assumptions{
	StreamsPerAgent: 6, RequestSeconds: 15, KeyedShare: 1.0 / 12, HintBytes: 48, HintsPerAgent: 2_048,
	StoreReads: 2_000, StoreWrites: 500, LoadSeconds: 40, LoadSlots: 4, RackReplicas: 40,
	HeartbeatBytes: 512, RuntimeBytes: 30e6, DecisionsASec: 2,
}
