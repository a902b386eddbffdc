package load

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Defaults and bounds of Config.
const (
	DefaultMaxInFlight      = 2000
	DefaultProgressInterval = time.Second
	DefaultDrain            = 2 * time.Minute
)

// Config describes a load run.
type Config struct {
	Targets     []string                  // base URLs of entries, used in turn
	Keys        map[wire.AccountID]string // bearer keys
	Workload    workload.Config
	Duration    time.Duration // during which requests are due; 0: MaxRequests ends the run
	MaxRequests uint64        // 0: Duration ends the run
	MaxInFlight int           // further requests wait in the sender, their time running
	Drain       time.Duration // after the last request is due; then the rest is abandoned
	Client      *http.Client  // nil: a client of its own
	CheckAnswer bool          // compare answers with those of the engine stand-in

	Progress         io.Writer // nil: none
	ProgressInterval time.Duration
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Targets) == 0 {
		return c, errors.New("load: no target")
	}
	if c.Duration <= 0 && c.MaxRequests == 0 {
		return c, errors.New("load: neither a duration nor a number of requests bounds the run")
	}
	for _, a := range c.Workload.Accounts {
		if c.Keys[a.ID] == "" {
			return c, errors.Errorf("load: no key for client account %q", a.ID)
		}
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Drain <= 0 {
		c.Drain = DefaultDrain
	}
	if c.ProgressInterval <= 0 {
		c.ProgressInterval = DefaultProgressInterval
	}
	return c, nil
}
