package shell

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

const (
	// reserveHold is how long a reservation lasts without a renewal. Memory that
	// nobody uses must be free four seconds after its request has ended, also if
	// the gateway has died.
	reserveHold = 3 * time.Second
	// reserveRenew is the time between renewals; one may be lost.
	reserveRenew = 1100 * time.Millisecond
	// orderTimeout bounds one order. Engines answer at once.
	orderTimeout = 400 * time.Millisecond
)

// reserve sets memory aside at the helpers that are to hold a part of the prompt,
// all or none, and renews it until the returned function is called.
func (g *Gateway) reserve(ctx context.Context, d *gateway.Dispatch) (release func(), err error) {
	var made []gateway.Helper
	for _, h := range d.Helpers {
		if h.Ticket == "" {
			continue
		}
		made = append(made, h) // also if its answer is lost
		if err := g.order(ctx, h, g.cfg.Translator.Reserve(h.Ticket, h.Tokens, reserveHold)); err != nil {
			g.releaseAll(made)
			return nil, err
		}
	}
	if len(made) == 0 {
		return func() {}, nil
	}
	renewing, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { g.renew(renewing, made) })
	return func() {
		stop()
		wg.Wait()
		g.releaseAll(made)
	}, nil
}

// renew keeps reservations until ctx ends.
func (g *Gateway) renew(ctx context.Context, made []gateway.Helper) {
	ticker := time.NewTicker(reserveRenew)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range made {
			if err := g.order(ctx, h, g.cfg.Translator.Reserve(h.Ticket, h.Tokens, reserveHold)); err != nil && ctx.Err() == nil {
				g.logOrder("reservation-not-renewed", h, err)
			}
		}
	}
}

// releaseAll frees reservations. One whose release is lost ends by itself.
func (g *Gateway) releaseAll(made []gateway.Helper) {
	for _, h := range made {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		if err := g.order(ctx, h, g.cfg.Translator.Release(h.Ticket)); err != nil {
			g.logOrder("reservation-not-released", h, err)
		}
		cancel()
	}
}

func (g *Gateway) logOrder(event string, h gateway.Helper, err error) {
	g.log.Warn().Str("event", event).Str("endpoint", string(h.Endpoint)).Str("ticket", h.Ticket).Err(err).Send()
}

// order sends an order to an endpoint. The error is nil only if the endpoint has
// carried it out.
func (g *Gateway) order(ctx context.Context, h gateway.Helper, o Order) error {
	_, err := g.query(ctx, question{
		method: http.MethodPost, target: o.Target, header: o.Header, body: o.Body,
		endpoint: string(h.Endpoint), addr: h.Addr,
	})
	return errors.Wrap(err, "order")
}
