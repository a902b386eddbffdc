package shell

import (
	"crypto/tls"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/tlsconfig"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config configures an Entry.
type Config struct {
	Core      entry.Config
	StoreURL  string            // empty: no store
	VMListURL string            // empty: no VM list
	TLS       *tlsconfig.Source // between processes; nil: plain text, on loopback
	Limits    settings.EntryLimits
	// Declarations take effect at the start, for runs without a store.
	Declarations *declaration.Snapshot
	OperatorKey  settings.Credential
	CallersTLS   *tls.Config // nil: plain text
	// OperatorsTLS serves operators with TLS too, so that their key is never sent
	// in clear text.
	OperatorsTLS bool
	DrainWait    time.Duration // longest wait of a graceful shutdown
	Log          zerolog.Logger
}

// FromSettings converts the settings of a process to a Config. It fails if the TLS
// files can't be loaded.
func FromSettings(s settings.Entry, incarnation wire.Incarnation, log zerolog.Logger) (Config, error) {
	cfg := Config{
		Core: entry.Config{
			Self:          s.Node,
			Incarnation:   incarnation,
			Address:       s.PeerAddress(),
			Region:        s.Region,
			FailureDomain: s.FailureDomain,
			Rand:          rand.New(rand.NewPCG(uint64(incarnation), rand.Uint64())),
			NoStore:       s.StoreURL == "",
			ListLag:       vmListLag + vmListInterval,
			Weights:       entry.Weights{FirstToken: s.Routing.FirstTokenWeight, ShortSlowdown: s.Routing.ShortSlowdownWeight},
			BalancerLag:   time.Duration(s.BalancerLagMS) * time.Millisecond,
		},
		StoreURL:    s.StoreURL,
		VMListURL:   s.VMListURL,
		Limits:      s.Limits,
		OperatorKey: s.OperatorKey,
		DrainWait:   time.Duration(s.DrainWaitMS) * time.Millisecond,
		Log:         log,
	}
	if !s.TLS.Enabled() {
		return cfg, nil
	}
	source, err := tlsconfig.Load(tlsconfig.Files{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile, CA: s.TLS.CAFile})
	cfg.TLS = source
	cfg.OperatorsTLS = true
	return cfg, err
}
