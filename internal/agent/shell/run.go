package shell

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Run runs an agent process with the given settings. When ctx ends, the endpoint
// leaves gracefully; Run returns when nothing is in flight any more.
func Run(ctx context.Context, s settings.Agent, log zerolog.Logger) error {
	cfg, err := FromSettings(s, incarnation(ctx, s, log), log)
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

func incarnation(ctx context.Context, s settings.Agent, log zerolog.Logger) wire.Incarnation {
	if s.StoreURL == "" {
		return fromClock()
	}
	hc := &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	defer hc.CloseIdleConnections()
	return TakeIncarnation(ctx, store.NewHTTPClient(s.StoreURL, hc), s.Endpoint, log)
}
