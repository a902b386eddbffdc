package settings

import (
	"os"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/strictjson"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Entry is the settings of an entry process.
type Entry struct {
	Node            wire.NodeID        `json:"node"`
	Region          wire.Region        `json:"region"`
	FailureDomain   wire.FailureDomain `json:"failure_domain"`
	ListenCallers   string             `json:"listen_callers"`
	ListenOperators string             `json:"listen_operators"`
	ListenPeers     string             `json:"listen_peers"`    // for peers and agents
	AdvertisePeers  string             `json:"advertise_peers"` // address that peers and agents dial; empty: listen_peers
	StoreURL        string             `json:"store_url"`
	VMListURL       string             `json:"vm_list_url"`
	TLS             TLSFiles           `json:"tls"`
	CallersTLS      ServerTLSFiles     `json:"callers_tls"`
	OperatorKey     Credential         `json:"operator_key_sha256"`
	Limits          EntryLimits        `json:"limits"`
	Routing         Routing            `json:"routing"`
	BalancerLagMS   int64              `json:"balancer_lag_ms"` // how long the balancer still sends requests after readiness fails
	DrainWaitMS     int64              `json:"drain_wait_ms"`   // longest wait for requests in flight at shutdown
	LogLevel        string             `json:"log_level"`
}

// EntryLimits bounds the memory and descriptors that callers can make an entry use.
type EntryLimits struct {
	MemoryBytes          int64 `json:"memory_bytes"`    // of the process; a part of it is for what callers make it hold
	MaxDescriptors       int64 `json:"max_descriptors"` // of the process; 0: RLIMIT_NOFILE
	MaxBodyBytes         int64 `json:"max_body_bytes"`
	MaxHeaderBytes       int64 `json:"max_header_bytes"`
	MaxStreams           int64 `json:"max_streams"` // requests held at once
	MaxStreamsPerAccount int64 `json:"max_streams_per_account"`
	ReadHeaderTimeoutMS  int64 `json:"read_header_timeout_ms"`
	ReadBodyTimeoutMS    int64 `json:"read_body_timeout_ms"`
}

// Routing weighs time to first token against the slowdown of short requests.
type Routing struct {
	FirstTokenWeight    float64 `json:"first_token_weight"`
	ShortSlowdownWeight float64 `json:"short_slowdown_weight"`
}

// DefaultEntry returns the settings that hold for fields left out of the file.
func DefaultEntry() Entry {
	return Entry{
		Limits: EntryLimits{
			MemoryBytes:          4 << 30,
			MaxBodyBytes:         16 << 20,
			MaxHeaderBytes:       64 << 10,
			MaxStreams:           20_000,
			MaxStreamsPerAccount: 5_000,
			ReadHeaderTimeoutMS:  10_000,
			ReadBodyTimeoutMS:    60_000,
		},
		Routing:       Routing{FirstTokenWeight: 1, ShortSlowdownWeight: 1},
		BalancerLagMS: 5_000,
		DrainWaitMS:   600_000,
		LogLevel:      "info",
	}
}

// ParseEntry decodes and checks the settings of an entry. The error is of type
// strictjson.Mistakes.
func ParseEntry(file string, data []byte) (Entry, error) {
	s := DefaultEntry()
	c := checker{doc: strictjson.Decode(file, data, &s)}
	if !c.doc.Broken() {
		s.check(&c)
	}
	return s, c.doc.Err()
}

// LoadEntry reads the settings of an entry from a file.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings")
	}
	return ParseEntry(path, data)
}

// PeerAddress returns the address that peers and agents dial.
func (s *Entry) PeerAddress() string {
	if s.AdvertisePeers != "" {
		return s.AdvertisePeers
	}
	return s.ListenPeers
}

func (s *Entry) check(c *checker) {
	c.name("node", string(s.Node))
	c.name("region", string(s.Region))
	c.name("failure_domain", string(s.FailureDomain))
	c.address("listen_callers", s.ListenCallers)
	c.address("listen_operators", s.ListenOperators)
	c.address("listen_peers", s.ListenPeers)
	if s.AdvertisePeers != "" {
		c.dialable("advertise_peers", s.AdvertisePeers)
	} else if s.ListenPeers != "" {
		c.dialable("listen_peers", s.ListenPeers)
	}
	c.url("store_url", s.StoreURL)
	c.url("vm_list_url", s.VMListURL)
	c.tlsFiles("tls", s.TLS, s.ListenPeers, s.ListenOperators)
	c.serverTLSFiles("callers_tls", s.CallersTLS)
	c.credential("operator_key_sha256", s.OperatorKey)
	s.Limits.check(c)
	s.Routing.check(c)
	c.integer("balancer_lag_ms", s.BalancerLagMS, 0, maxWaitMS)
	c.integer("drain_wait_ms", s.DrainWaitMS, 0, maxWaitMS)
	c.level("log_level", s.LogLevel)
}

func (r *Routing) check(c *checker) {
	c.weight("routing.first_token_weight", r.FirstTokenWeight)
	c.weight("routing.short_slowdown_weight", r.ShortSlowdownWeight)
	if r.FirstTokenWeight == 0 && r.ShortSlowdownWeight == 0 {
		c.doc.Add("routing", "both weights are zero")
	}
}

func (l *EntryLimits) check(c *checker) {
	c.integer("limits.memory_bytes", l.MemoryBytes, minMemoryBytes, maxMemoryBytes)
	c.descriptors("limits.max_descriptors", l.MaxDescriptors)
	c.body("limits.max_body_bytes", l.MaxBodyBytes, l.MemoryBytes)
	c.integer("limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.integer("limits.max_streams", l.MaxStreams, 1, maxStreams)
	c.integer("limits.max_streams_per_account", l.MaxStreamsPerAccount, 1, maxStreams)
	c.integer("limits.read_header_timeout_ms", l.ReadHeaderTimeoutMS, 1, maxWaitMS)
	c.integer("limits.read_body_timeout_ms", l.ReadBodyTimeoutMS, 1, maxWaitMS)
}
