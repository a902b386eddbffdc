package shell

import (
	"net/netip"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Settings are the settings of one gateway process.
type Settings struct {
	Node          string // name of the node in logs
	FailureDomain string
	CallerAddr    netip.AddrPort   // listens for callers
	ReadyAddr     netip.AddrPort   // listens for the balancer's readiness checks
	PeerAddr      netip.AddrPort   // listens for other gateways: datagrams over UDP, cached copies over TCP
	MetricsAddr   netip.AddrPort   // listens for metrics and dumps; zero: none
	StoreAddr     string           // HOST:PORT
	Seeds         []netip.AddrPort // PeerAddr of other gateways
	MemoryBytes   int64            // memory limit of the process; 0: unlimited
	Descriptors   int              // limit of open files; 0: unlimited
	LinkMbps      float64          // network bandwidth
	CPUShare      float64          // number of cores, may be a fraction
	Grace         time.Duration    // from SIGTERM to SIGKILL
	RetryRatio    float64          // allowed retries per request in the fleet
	RetrySlack    float64          // allowed retries in the fleet per RetryWindow, in addition to the ratio
	RetryWindow   time.Duration
	ColdRatio     float64 // requests to a cold endpoint in any one second, relative to its service's cold rate
	ColdSlack     float64 // requests to a cold endpoint in any one second, in addition to the ratio

	// Evacuations is set if the operator may take failure domains out of use in the store.
	Evacuations bool
	Regions     map[wire.FailureDomain]string // of the failure domains
}
