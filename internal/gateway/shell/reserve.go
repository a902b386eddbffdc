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
	// reservationTTL is how long a reservation lasts without a renewal. Reserved
	// memory must be free four seconds after its request has ended, also if the
	// gateway has crashed.
	reservationTTL = 3 * time.Second
	// reservationRenewInterval is the time between renewals. It is short enough that
	// one renewal may be lost before the reservation expires.
	reservationRenewInterval = 1100 * time.Millisecond
	// orderTimeout bounds a call to an endpoint in callEndpoint. Engines respond to
	// orders and report queries without queueing them.
	orderTimeout = 400 * time.Millisecond
)

// reserve reserves memory at the helpers that are to hold a part of the prompt,
// which are those with a ticket, at all of them or none. It renews the reservations
// until release is called.
func (g *Gateway) reserve(ctx context.Context, d *gateway.Dispatch) (release func(), err error) {
	var reserved []gateway.Helper
	for _, h := range d.Helpers {
		if h.Reservation == "" {
			continue
		}
		reserved = append(reserved, h) // before the order, which may take effect although its response is lost
		if err := g.sendOrder(ctx, h, g.cfg.Translator.Reserve(h.Reservation, h.Tokens, reservationTTL)); err != nil {
			if ctx.Err() == nil && !isClientError(err) {
				g.tick(gateway.Input{HelperFailed: &gateway.HelperFailed{ID: d.ID, Attempt: d.Attempt, Helper: h.Endpoint}})
			}
			g.releaseAll(reserved)
			return nil, err
		}
	}
	if len(reserved) == 0 {
		return func() {}, nil
	}
	renewing, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { g.renew(renewing, reserved) })
	return func() {
		stop()
		wg.Wait()
		g.releaseAll(reserved)
	}, nil
}

// renew renews reservations until ctx ends.
func (g *Gateway) renew(ctx context.Context, reserved []gateway.Helper) {
	ticker := time.NewTicker(reservationRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range reserved {
			if err := g.sendOrder(ctx, h, g.cfg.Translator.Reserve(h.Reservation, h.Tokens, reservationTTL)); err != nil && ctx.Err() == nil {
				g.logOrder("reservation-not-renewed", h, err)
			}
		}
	}
}

// releaseAll releases reservations. If a release is lost, the reservation expires
// after reservationTTL.
func (g *Gateway) releaseAll(reserved []gateway.Helper) {
	for _, h := range reserved {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		if err := g.sendOrder(ctx, h, g.cfg.Translator.Release(h.Reservation)); err != nil {
			g.logOrder("reservation-not-released", h, err)
		}
		cancel()
	}
}

// logOrder logs a failed order to a helper.
func (g *Gateway) logOrder(event string, h gateway.Helper, err error) {
	g.log.Warn().Str("event", event).Str("endpoint", string(h.Endpoint)).Str("ticket", h.Reservation).Err(err).Send()
}

// sendOrder sends an order to a helper. The error is nil only if the helper has
// carried it out, and names the helper otherwise.
func (g *Gateway) sendOrder(ctx context.Context, h gateway.Helper, o Order) error {
	_, err := g.callEndpoint(ctx, endpointRequest{
		method: http.MethodPost, target: o.Target, header: o.Header, body: o.Body,
		endpoint: string(h.Endpoint), addr: h.Addr,
	})
	return errors.Wrapf(err, "order to %s", h.Endpoint)
}

// isClientError reports whether an order failed because the helper itself has refused it, as
// for lack of memory, which is no fault of the helper.
func isClientError(err error) bool {
	var s *statusError
	return errors.As(err, &s) && s.code < http.StatusInternalServerError && s.code != http.StatusMisdirectedRequest
}
