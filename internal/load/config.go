package load

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Defaults of Config.
const (
	DefaultMaxInFlight      = 2000
	DefaultProgressInterval = time.Second
	DefaultDrainTimeout     = 2 * time.Minute
)

// Config describes a load run.
type Config struct {
	Targets      []string                  // base URLs of entries, used round-robin
	Keys         map[wire.AccountID]string // bearer key of each account in Workload
	Workload     workload.Config
	Duration     time.Duration // requests due after this are not sent; 0: MaxRequests ends the run
	MaxRequests  uint64        // 0: Duration ends the run
	MaxInFlight  int           // further requests are held back; their times still count from when they were due
	DrainTimeout time.Duration // wait for requests in flight after the last was sent; then they are abandoned
	Client       *http.Client  // nil: Run creates one
	CheckAnswer  bool          // compare answers with those of the engine stand-in

	Progress         io.Writer // receives a line at each ProgressInterval; nil: no progress is written
	ProgressInterval time.Duration
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Targets) == 0 {
		return c, errors.New("load: no target URL")
	}
	if c.Duration <= 0 && c.MaxRequests == 0 {
		return c, errors.New("load: neither Duration nor MaxRequests is set, so the run would not end")
	}
	for _, a := range c.Workload.Accounts {
		if c.Keys[a.ID] == "" {
			return c, errors.Errorf("load: no bearer key for client account %q", a.ID)
		}
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.DrainTimeout <= 0 {
		c.DrainTimeout = DefaultDrainTimeout
	}
	if c.ProgressInterval <= 0 {
		c.ProgressInterval = DefaultProgressInterval
	}
	return c, nil
}
