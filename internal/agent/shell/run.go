package shell

import (
	"context"
	"runtime/debug"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/incarnation"
	"trefoilpath.org/trefoilpath/internal/settings"
)

// memoryLimitFraction of the process's memory is the garbage collector's limit.
const memoryLimitFraction = 0.6

// Run runs an agent process with the given settings. When ctx ends, the agent
// drains; Run returns when no work is in flight any more, or after the drain wait.
func Run(ctx context.Context, s settings.Agent, log zerolog.Logger) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryBytes)))
	cfg, err := FromSettings(s, incarnation.For(ctx, s.StoreURL, incarnation.RoleAgent, string(s.Endpoint), log), log)
	if err != nil {
		return err
	}
	a, err := New(cfg)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, a.Leave)
	defer stop()
	return a.Run(context.WithoutCancel(ctx))
}
