package shell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

const (
	// headerTimeout bounds the time to read a request's head, headerBytes its size,
	// and idleTimeout the wait for the next request, independently of the
	// configuration and before there is one. They are above the usual limits
	// of the platform's configurations, which callerConns and admit enforce.
	headerTimeout = 6 * time.Second
	headerBytes   = 32 << 10
	idleTimeout   = 20 * time.Second
	// memoryLimitFraction of the process's memory is the garbage collector's limit.
	memoryLimitFraction = 0.5
	// housekeepingInterval is how often housekeep runs.
	housekeepingInterval = 250 * time.Millisecond
	// suspensionThreshold is the growth of suspendedTime from which on the VM counts
	// as having been suspended.
	suspensionThreshold = 200 * time.Millisecond
)

// Run serves until ctx ends or the process gets SIGTERM or an interrupt. It then
// waits for the requests in flight, at most until Settings.Grace is over. It returns
// an error if the gateway can't start or can't continue.
func (g *Gateway) Run(ctx context.Context) error {
	// Before anything else: either signal ends a process that doesn't handle it.
	stop, hup := notify(syscall.SIGTERM, os.Interrupt), notify(syscall.SIGHUP)
	defer signal.Stop(stop)
	defer signal.Stop(hup)
	s := &g.cfg.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	defer g.logLines.close()
	g.log.Info().Str("event", "start").Int("pid", os.Getpid()).Str("callers", s.CallerAddr.String()).
		Str("gateways", s.PeerAddr.String()).Str("store", s.StoreAddr).Int("seeds", len(s.Seeds)).Send()
	if g.cfg.Disabled != 0 {
		g.log.Warn().Str("event", "mechanisms-disabled").Strs("detail", g.cfg.Disabled.Names()).Send()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.newSyncers()
	var err error
	if g.peers, err = listenPeers(s.PeerAddr, g.peerFailed); err != nil {
		return err
	}
	servers, err := g.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){g.runTimers, g.receive, g.housekeep} {
		wg.Go(func() { loop(ctx) })
	}
	for _, s := range g.syncers() {
		wg.Go(func() { s.Run(ctx) })
	}
	wg.Go(func() { g.reloadOnSignal(ctx, hup) })
	err = g.untilStopped(ctx, stop, servers)
	cancel()
	g.peers.conn.Close()
	wg.Wait()
	g.log.Info().Str("event", "stop").Err(err).Send()
	return err
}

// notify returns a channel that receives the signals. One that arrives while another waits
// there is dropped.
func notify(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// listen opens the ports of the process and starts serving them. The first server is
// that for callers.
func (g *Gateway) listen() ([]*http.Server, error) {
	s := &g.cfg.Settings
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", g.serveReady)
	peers := http.NewServeMux()
	peers.HandleFunc("GET "+copyPath, g.serveCopy)
	ports := []struct {
		addr    string
		handler http.Handler
		conns   int // of another server than that for callers
	}{
		{s.CallerAddr.String(), g, 0},
		{s.ReadyAddr.String(), ready, readyConns},
		{s.PeerAddr.String(), peers, peerConns},
	}
	if s.MetricsAddr.IsValid() {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.serveMetrics(w) })
		mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { g.serveDump(w) })
		ports = append(ports, struct {
			addr    string
			handler http.Handler
			conns   int
		}{s.MetricsAddr.String(), atMost(maxDumps, mux), metricsConns})
	}
	var servers []*http.Server
	for _, p := range ports {
		l, err := net.Listen("tcp4", p.addr)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		server := g.newServer(p.handler)
		if len(servers) == 0 { // the server for callers
			server.ConnState = g.conns.OnStateChange
			l = g.conns.Listener(l)
		} else {
			l = g.boundOther(server, l, p.conns)
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(l); err != http.ErrServerClosed {
				g.fatal <- errors.Wrapf(err, "serve %s", p.addr)
			}
		}()
	}
	return servers, nil
}

// serveReady responds 200 if the gateway is ready, else 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// untilStopped waits for the end of ctx, SIGTERM or an interrupt, and shuts down. A
// fatal error is returned at once, without a shutdown.
func (g *Gateway) untilStopped(ctx context.Context, stop <-chan os.Signal, servers []*http.Server) error {
	select {
	case <-ctx.Done():
		g.shutDown(servers, 0)
	case err := <-g.fatal:
		return err
	case <-stop:
		g.shutDown(servers, min(balancerLag, g.cfg.Settings.Grace/3))
	}
	return nil
}

func (g *Gateway) inFlight() int { return readCore(g, (*gateway.Core).InFlight) }

// housekeep runs periodic tasks until ctx ends: it closes idle connections, reloads
// changed settings, lists the store again after a suspension of the VM, and refills
// the log allowance.
func (g *Gateway) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	lastSuspended := suspendedTime()
	nextLogRefill := time.Now().Add(logPeriod)
	file := newWatchedFile(g.cfg.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pool.Sweep(now)
			g.sweepCallers(now)
			if file.changed() {
				g.reload("changed")
			}
			if suspended := suspendedTime(); suspended-lastSuspended > suspensionThreshold {
				g.log.Warn().Str("event", "resumed").Dur("suspended_ms", suspended-lastSuspended).Send()
				for _, s := range g.syncers() {
					s.Reconcile()
				}
				lastSuspended = suspended
			}
			if now.After(nextLogRefill) {
				nextLogRefill = now.Add(logPeriod)
				g.reportDroppedLines()
			}
		}
	}
}

// sweepCallers closes callers' connections that wait beyond the timeouts of the
// configuration, and logs those that were closed at the bound of connections.
func (g *Gateway) sweepCallers(now time.Time) {
	if closed, refused := g.conns.Shed(); closed+refused > 0 {
		g.meters.callersShed.Inc(int64(closed))
		g.meters.callersRefused.Inc(int64(refused))
		g.log.Warn().Str("event", "caller-connections-shed").Int("count", closed+refused).
			Str("detail", fmt.Sprintf("closed=%d refused=%d", closed, refused)).Send()
	}
	table := g.table.Load()
	if table == nil {
		return
	}
	if n := g.conns.Sweep(now, table.Limits().HeaderTimeout, table.Limits().IdleTimeout); n > 0 {
		g.log.Info().Str("event", "caller-connections-closed").Int("count", n).
			Str("detail", "no request within the configuration's limits").Send()
	}
}

// reportDroppedLines refills the log allowance and logs the number of dropped lines.
func (g *Gateway) reportDroppedLines() {
	if n := g.logLines.refill(); n > 0 {
		g.meters.logDrops.Inc(int64(n))
		g.log.Warn().Str("event", "log-lines-dropped").Uint64("count", n).Send()
	}
}

// suspendedTime returns how long the VM has been suspended since it booted: the
// difference of the clock that counts suspension and the one that does not.
func suspendedTime() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0 // without the clocks no suspension is detected; periodic listings continue
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// reloadOnSignal reloads the settings on SIGHUP, without interrupting requests.
// housekeep reloads them when the file has changed.
func (g *Gateway) reloadOnSignal(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			g.reload("signal")
		}
	}
}

// reload reads the settings again and passes the seeds to the core; other changes
// have no effect. why is logged.
func (g *Gateway) reload(why string) {
	s, err := g.cfg.Reload()
	if err != nil {
		g.log.Error().Str("event", "reload-failed").Err(err).Send()
		return
	}
	g.log.Info().Str("event", "reload").Str("detail", why).Int("seeds", len(s.Seeds)).Send()
	g.tick(gateway.Input{Seeds: s.Seeds})
}
