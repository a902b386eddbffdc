package settings

import (
	"os"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/strictjson"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Agent is the settings of an agent process.
type Agent struct {
	Endpoint        wire.EndpointID    `json:"endpoint"`
	Region          wire.Region        `json:"region"`
	FailureDomain   wire.FailureDomain `json:"failure_domain"`
	Kind            string             `json:"kind"`         // KindEngine or KindService
	Service         string             `json:"service"`      // name of the plain service, for KindService
	EndpointURL     string             `json:"endpoint_url"` // of the engine or plain service
	Fence           string             `json:"fence"`        // FenceChecked or FenceIgnored, for KindEngine
	ListenOperators string             `json:"listen_operators"`
	StoreURL        string             `json:"store_url"`
	VMListURL       string             `json:"vm_list_url"`
	TLS             TLSFiles           `json:"tls"`
	OperatorKey     Credential         `json:"operator_key_sha256"`
	Limits          AgentLimits        `json:"limits"`
	Routing         Routing            `json:"routing"`
	DrainWaitMS     int64              `json:"drain_wait_ms"` // longest wait for attempts in flight at shutdown
	LogLevel        string             `json:"log_level"`
}

// The kinds of endpoint.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Values of Agent.Fence: whether the engine itself refuses loads and sequences with
// an outdated fencing token.
const (
	FenceChecked = "checked"
	FenceIgnored = "ignored"
)

// AgentLimits bounds the memory and descriptors that others can make an agent use.
type AgentLimits struct {
	MemoryBytes    int64 `json:"memory_bytes"`    // of the process; a part of it is for request bodies
	MaxDescriptors int64 `json:"max_descriptors"` // of the process; 0: RLIMIT_NOFILE
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	MaxStreams     int64 `json:"max_streams"` // request bodies held at once
}

// DefaultAgent returns the settings that hold for fields left out of the file.
func DefaultAgent() Agent {
	return Agent{
		Limits:      AgentLimits{MemoryBytes: 4 << 30, MaxBodyBytes: 16 << 20, MaxStreams: 4_096},
		Routing:     Routing{FirstTokenWeight: 1, ShortSlowdownWeight: 1},
		DrainWaitMS: 600_000,
		LogLevel:    "info",
	}
}

// ParseAgent decodes and checks the settings of an agent. The error is of type
// strictjson.Mistakes.
func ParseAgent(file string, data []byte) (Agent, error) {
	s := DefaultAgent()
	c := checker{doc: strictjson.Decode(file, data, &s)}
	if !c.doc.Broken() {
		s.check(&c)
	}
	return s, c.doc.Err()
}

// LoadAgent reads the settings of an agent from a file.
func LoadAgent(path string) (Agent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Agent{}, errors.Wrap(err, "read settings")
	}
	return ParseAgent(path, data)
}

// WireKind returns the kind of endpoint as messages carry it.
func (s *Agent) WireKind() wire.Kind {
	if s.Kind == KindService {
		return wire.KindService
	}
	return wire.KindEngine
}

// ChecksFence reports whether the engine itself refuses loads and sequences with an
// outdated fencing token.
func (s *Agent) ChecksFence() bool { return s.Fence == FenceChecked }

func (s *Agent) check(c *checker) {
	c.name("endpoint", string(s.Endpoint))
	c.name("region", string(s.Region))
	c.name("failure_domain", string(s.FailureDomain))
	c.oneOf("kind", s.Kind, KindEngine, KindService)
	s.checkKind(c)
	c.url("endpoint_url", s.EndpointURL)
	c.address("listen_operators", s.ListenOperators)
	c.url("store_url", s.StoreURL)
	c.url("vm_list_url", s.VMListURL)
	c.tlsFiles("tls", s.TLS, s.ListenOperators)
	c.credential("operator_key_sha256", s.OperatorKey)
	c.integer("limits.memory_bytes", s.Limits.MemoryBytes, minMemoryBytes, maxMemoryBytes)
	c.descriptors("limits.max_descriptors", s.Limits.MaxDescriptors)
	c.body("limits.max_body_bytes", s.Limits.MaxBodyBytes, s.Limits.MemoryBytes)
	c.integer("limits.max_streams", s.Limits.MaxStreams, 1, maxStreams)
	s.Routing.check(c)
	c.integer("drain_wait_ms", s.DrainWaitMS, 0, maxWaitMS)
	c.level("log_level", s.LogLevel)
}

func (s *Agent) checkKind(c *checker) {
	switch s.Kind {
	case KindEngine:
		c.oneOf("fence", s.Fence, FenceChecked, FenceIgnored)
		if s.Service != "" {
			c.doc.Add("service", "is for kind %q only", KindService)
		}
	case KindService:
		c.name("service", s.Service)
		if s.Fence != "" {
			c.doc.Add("fence", "is for kind %q only", KindEngine)
		}
	}
}
