package capacity

// Target is a size that the design has to carry, and the bounds that it must keep
// there.
type Target struct {
	Entries         float64 // processes that accept callers' requests
	Replicas        float64
	Requests        float64 // per second
	Tokens          float64 // generated per second
	Accounts        float64
	Regions         float64
	Domains         float64
	ChangesPerDay   float64 // configuration changes
	ConvergeSeconds float64 // bound on the seconds until a change is active everywhere
	ControlCPU      float64 // bound on the processor time of control per node, in cores
	ControlMemory   float64 // bound on the memory of control per node, in bytes
	ControlBytes    float64 // bound on control traffic, bytes per second and node
	Restarts        float64 // VMs that restart per day
	Failures        float64 // VMs that fail per day; not used by Compute
}

// TwoYears is the target that the users set for two years from now.
var TwoYears = Target{
	Entries: 430, Replicas: 12_000, Requests: 29_000, Tokens: 13e6, Accounts: 8_100, Regions: 4, Domains: 11,
	ChangesPerDay: 16_000, ConvergeSeconds: 12, ControlCPU: 0.037, ControlMemory: 128e6, ControlBytes: 2_000,
	Restarts: 3_900, Failures: 120,
}

// Assumptions are the inputs of the computation besides slopes and target.
type Assumptions struct {
	StreamsPerAgent float64 // entries to which an agent keeps a stream at the target's size; the default setting differs
	RequestSeconds  float64 // mean time that a request is in flight
	KeyedShare      float64 // fraction of requests that are at-most-once calls
	HintBytes       float64 // bytes per cached prefix block that an entry knows of
	HintsPerAgent   float64 // cached prefix blocks that an entry knows of, per agent
	StoreReads      float64 // bound on reads per second of the platform's store
	StoreWrites     float64 // bound on its writes per second
	LoadSeconds     float64 // duration of one model load, as in the engine stand-in
	LoadSlots       float64 // concurrent model loads in a failure domain
	RackReplicas    float64 // endpoints behind one rack or switch
	HeartbeatBytes  float64 // bytes per second of heartbeats that an entry sends
	RuntimeBytes    float64 // memory of a process without state
	PlansPerSecond  float64 // bound on placement plans per second
}

// Defaults are the assumptions of docs/CAPACITY.md.
var Defaults = Assumptions{
	StreamsPerAgent: 6, RequestSeconds: 15, KeyedShare: 1.0 / 12, HintBytes: 48, HintsPerAgent: 2_048,
	StoreReads: 2_000, StoreWrites: 500, LoadSeconds: 40, LoadSlots: 4, RackReplicas: 40,
	HeartbeatBytes: 512, RuntimeBytes: 30e6, PlansPerSecond: 2,
}
