package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// Interval between the state queries of Watch, and the timeout of each.
const (
	StateInterval = 500 * time.Millisecond
	StateTimeout  = 5 * time.Second
)

// Watch passes the engine's cache events and its polled state to the handler. It
// returns nil when ctx ends, and an error as soon as a call to the engine fails.
func (c *Client) Watch(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watchCache(gctx) })
	g.Go(func() error { return c.pollState(gctx) })
	err := g.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (c *Client) watchCache(ctx context.Context) error {
	resp, err := c.call(ctx, http.MethodGet, "/v1/cache-events", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("engine answered %s to GET /v1/cache-events", resp.Status)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, initialLineBytes), MaxLineBytes)
	for sc.Scan() {
		var ev engine.Cache
		if err := json.Unmarshal(sc.Bytes(), &ev); err != nil {
			return errors.Wrap(err, "engine cache events: decode line")
		}
		c.handler.Event(engine.Event{Cache: &ev})
	}
	if err := sc.Err(); err != nil {
		return errors.Wrap(err, "engine cache events")
	}
	return errors.New("engine cache events: stream ended")
}

func (c *Client) pollState(ctx context.Context) error {
	ticker := time.NewTicker(StateInterval)
	defer ticker.Stop()
	for {
		st, err := c.stateWithin(ctx, StateTimeout)
		if err != nil {
			return err
		}
		c.handler.Event(engine.Event{State: &st})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *Client) stateWithin(ctx context.Context, limit time.Duration) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.State(ctx)
}
