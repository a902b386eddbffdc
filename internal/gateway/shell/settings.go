package shell

import (
	"net/netip"
	"time"
)

// Settings are what a gateway process is told about itself.
type Settings struct {
	Node          string
	FailureDomain string
	CallerAddr    netip.AddrPort // for callers
	ReadyAddr     netip.AddrPort // for the balancer's questions
	PeerAddr      netip.AddrPort // for other gateways: datagrams, and copies over TCP
	MetricsAddr   netip.AddrPort // for counters and dumps; zero: none
	StoreAddr     string
	Seeds         []netip.AddrPort // of other gateways, in the form of PeerAddr
	MemoryBytes   int64            // of the process; 0: unlimited
	Descriptors   int              // open files; 0: unlimited
	LinkMbps      float64
	CPUShare      float64       // of a core
	Grace         time.Duration // from SIGTERM to SIGKILL
	RetryRatio    float64       // repeats for each request, in the fleet
	RetrySlack    float64       // repeats besides, in the fleet, for each window
	RetryWindow   time.Duration
}
