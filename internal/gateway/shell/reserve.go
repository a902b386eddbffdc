package shell

import (
	"context"
	"net/http"
	"slices"
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
	// releasePollInterval is the time between two looks at the releases that are on their way.
	releasePollInterval = 5 * time.Millisecond
)

// reserve reserves memory at the helpers that are to hold a part of the prompt,
// which are those with a ticket, at all of them or none. It renews the reservations
// until release is called, which does not wait for the helpers.
func (g *Gateway) reserve(ctx context.Context, d *gateway.Dispatch) (release func(), err error) {
	holders := slices.DeleteFunc(slices.Clone(d.Helpers), func(h gateway.Helper) bool { return h.Reservation == "" })
	if len(holders) == 0 {
		return func() {}, nil
	}
	if err := g.reserveAll(ctx, d, holders); err != nil {
		g.releaseLater(holders, func() {}) // all of them, since an order may take effect although its response is lost
		return nil, err
	}
	renewing, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { g.renew(renewing, holders) })
	return func() {
		stop()
		g.releaseLater(holders, wg.Wait)
	}, nil
}

// reserveAll reserves memory at all holders and returns the error of one that failed. It
// reports to the core which of them did not answer.
func (g *Gateway) reserveAll(ctx context.Context, d *gateway.Dispatch, holders []gateway.Helper) error {
	var failed error
	for i, err := range g.sendOrders(ctx, holders, g.reserveOrder) {
		if err == nil {
			continue
		}
		failed = err
		if ctx.Err() == nil && !isClientError(err) {
			g.tick(gateway.Input{HelperFailed: &gateway.HelperFailed{ID: d.ID, Attempt: d.Attempt, Helper: holders[i].Endpoint}})
		}
	}
	return failed
}

// renew renews reservations until ctx ends.
func (g *Gateway) renew(ctx context.Context, holders []gateway.Helper) {
	ticker := time.NewTicker(reservationRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, err := range g.sendOrders(ctx, holders, g.reserveOrder) {
			if err != nil && ctx.Err() == nil {
				g.logOrder("reservation-not-renewed", holders[i], err)
			}
		}
	}
}

// releaseLater releases reservations in the background, once renewed has returned.
func (g *Gateway) releaseLater(holders []gateway.Helper, renewed func()) {
	g.releasing.Add(1)
	go func() {
		defer g.releasing.Add(-1)
		renewed()
		g.releaseAll(holders)
	}()
}

// awaitReleases waits until no release is on its way, at most until a time on the gateway's
// clock.
func (g *Gateway) awaitReleases(until time.Duration) {
	for g.releasing.Load() > 0 && g.now() < until {
		time.Sleep(releasePollInterval)
	}
}

// releaseAll releases reservations. If a release is lost, the reservation expires
// after reservationTTL.
func (g *Gateway) releaseAll(holders []gateway.Helper) {
	for i, err := range g.sendOrders(context.Background(), holders, g.releaseOrder) {
		if err != nil {
			g.logOrder("reservation-not-released", holders[i], err)
		}
	}
}

func (g *Gateway) reserveOrder(h gateway.Helper) Order {
	return g.cfg.Translator.Reserve(h.Reservation, h.Tokens, reservationTTL)
}

func (g *Gateway) releaseOrder(h gateway.Helper) Order {
	return g.cfg.Translator.Release(h.Reservation)
}

// logOrder logs a failed order to a helper.
func (g *Gateway) logOrder(event string, h gateway.Helper, err error) {
	g.log.Warn().Str("event", event).Str("endpoint", string(h.Endpoint)).Str("ticket", h.Reservation).Err(err).Send()
}

// sendOrders sends an order to each helper, to all at the same time, and returns the errors
// of sendOrder in the order of the helpers.
func (g *Gateway) sendOrders(ctx context.Context, helpers []gateway.Helper, order func(gateway.Helper) Order) []error {
	errs := make([]error, len(helpers))
	var wg sync.WaitGroup
	for i, h := range helpers {
		wg.Go(func() { errs[i] = g.sendOrder(ctx, h, order(h)) })
	}
	wg.Wait()
	return errs
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
