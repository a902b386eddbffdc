package shell

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/tlsconfig"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config configures an Agent.
type Config struct {
	Core        agent.Config
	EndpointURL string
	// Entries are dialled in addition to those of the VM list.
	Entries        []membership.EntryNode
	VMListURL      string                // empty: Entries only
	Subset         membership.SubsetSize // entries to connect to; zero: membership.DefaultSubsetSize
	TLS            *tlsconfig.Source     // nil: plain text, on loopback
	EndpointClient *http.Client          // nil: a new one
	// ListenOperators is the address of the operators' HTTP; empty: none.
	ListenOperators string
	OperatorKey     settings.Credential
	MemoryBytes     int64         // of the process; a part of it is for bodies and answers; 0: unlimited
	MaxBodyBytes    int64         // of one attempt
	MaxBodies       int64         // bodies held at once
	DrainWait       time.Duration // longest drain after Leave
	Log             zerolog.Logger
}

// Defaults of Config.
const (
	defaultMaxBodyBytes = 16 << 20
	defaultMaxBodies    = 4096
	defaultDrainWait    = 10 * time.Minute
)

func (c *Config) setDefaults() {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.MaxBodies == 0 {
		c.MaxBodies = defaultMaxBodies
	}
	if c.DrainWait == 0 {
		c.DrainWait = defaultDrainWait
	}
	if c.Subset == (membership.SubsetSize{}) {
		c.Subset = membership.DefaultSubsetSize
	}
}

// FromSettings converts the settings of a process to a Config. It fails if the TLS
// files can't be loaded.
func FromSettings(s settings.Agent, incarnation wire.Incarnation, log zerolog.Logger) (Config, error) {
	cfg := Config{
		Core: agent.Config{
			Endpoint:      s.Endpoint,
			FailureDomain: s.FailureDomain,
			Kind:          s.WireKind(),
			Service:       s.Service,
			Incarnation:   incarnation,
			Weights:       agent.Weights{FirstToken: s.Routing.FirstTokenWeight, ShortSlowdown: s.Routing.ShortSlowdownWeight},
		},
		EndpointURL:     s.EndpointURL,
		VMListURL:       s.VMListURL,
		ListenOperators: s.ListenOperators,
		OperatorKey:     s.OperatorKey,
		MemoryBytes:     s.Limits.MemoryBytes,
		MaxBodyBytes:    s.Limits.MaxBodyBytes,
		MaxBodies:       s.Limits.MaxStreams,
		DrainWait:       time.Duration(s.DrainWaitMS) * time.Millisecond,
		Log:             log,
	}
	if s.Kind == settings.KindEngine && !s.ChecksFence() {
		cfg.Core.Fence = agent.FenceIgnored
	}
	if !s.TLS.Enabled() {
		return cfg, nil
	}
	source, err := tlsconfig.Load(tlsconfig.Files{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile, CA: s.TLS.CAFile})
	cfg.TLS = source
	return cfg, err
}
