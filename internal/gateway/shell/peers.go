package shell

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/storecopy"
)

const (
	// maxDatagram is the size in bytes of the buffer for a received message.
	maxDatagram = 8 << 10
	// copyPath is the path at which other gateways fetch the cached copy of a prefix.
	copyPath = "/copy"
	// maxCopyBytes bounds a cached copy fetched from a peer, copyMemory those that are read at
	// once, and maxCopyHead the head of the response, in bytes.
	maxCopyBytes = storecopy.MaxCopyBytes
	copyMemory   = 2 * maxCopyBytes
	maxCopyHead  = 64 << 10
	// maxCopiesServed is the number of copies that a gateway sends at once. A large
	// configuration takes 0.1 s on the link of a small VM; if a whole cell fetched it from
	// the first gateway that has it, all would time out. Those that are turned away ask
	// another one that has it meanwhile.
	maxCopiesServed = 3
	// maxCopyTries bounds the tries of one fetch, copyTimeout each of them,
	// copyHeadTimeout the time until the copy begins to arrive, and copyPauseTimeout the time
	// for which nothing more of it arrives: a gateway that is gone or frozen, or a connection that
	// falls silent, must not hold up a fetch as long as a large copy over a slow link does.
	// busyPause is about how long a gateway waits between two tries.
	maxCopyTries     = 8
	copyTimeout      = 4 * time.Second
	copyHeadTimeout  = 700 * time.Millisecond
	copyPauseTimeout = time.Second
	busyPause        = 80 * time.Millisecond
	// maxNewestPeers bounds the gateways that are remembered to have the newest copy.
	maxNewestPeers = 6
	// peerReadPause is the delay after a failed read of the socket.
	peerReadPause = 50 * time.Millisecond
)

// peerSocket sends and receives datagrams between gateways.
type peerSocket struct {
	conn   *net.UDPConn
	last   *gateway.PeerMessage // the last message sent, whose encoding is buf
	buf    []byte
	failed func(err error) // called with errors of send
}

// listenPeers opens the UDP socket at addr.
func listenPeers(addr netip.AddrPort, failed func(error)) (*peerSocket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peer datagrams")
	}
	return &peerSocket{conn: conn, failed: failed}, nil
}

// send sends a message. Consecutive sends of the same message encode it once. It is
// not safe for concurrent use.
func (s *peerSocket) send(out *gateway.ToPeer) {
	if out.Msg != s.last {
		buf, err := cbor.Marshal(out.Msg)
		if err != nil {
			s.failed(errors.Wrapf(err, "encode message to gateway %s", out.Addr))
			return
		}
		s.last, s.buf = out.Msg, buf
	}
	if _, err := s.conn.WriteToUDPAddrPort(s.buf, out.Addr); err != nil {
		s.failed(errors.Wrapf(err, "send message to gateway %s", out.Addr))
	}
}

// newestPeers holds the gateways that have announced the newest copies, the latest
// last. It is safe for concurrent use.
type newestPeers struct {
	mu    sync.Mutex
	peers []newestPeer
}

type newestPeer struct {
	addr     netip.AddrPort
	versions gateway.Versions
}

// add records that a gateway has announced versions that the own process lacks.
// Gateways that lack changes of these versions are forgotten.
func (n *newestPeers) add(addr netip.AddrPort, v gateway.Versions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = slices.DeleteFunc(n.peers, func(p newestPeer) bool {
		return p.addr == addr || p.versions.Active < v.Active ||
			p.versions.Config.Behind(v.Config) || p.versions.Registrations.Behind(v.Registrations) ||
			p.versions.Evacuations.Behind(v.Evacuations)
	})
	n.peers = append(n.peers, newestPeer{addr, v})
	n.peers = slices.Delete(n.peers, 0, max(len(n.peers)-maxNewestPeers, 0))
}

// pick returns a random one of the gateways that have been asked the fewest times, so that
// not all fetch from the first that has a new version, and none is asked again before each
// other one.
func (n *newestPeers) pick(asked map[netip.AddrPort]int) (netip.AddrPort, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) == 0 {
		return netip.AddrPort{}, false
	}
	fewest := slices.MinFunc(n.peers, func(a, b newestPeer) int { return cmp.Compare(asked[a.addr], asked[b.addr]) })
	next := slices.DeleteFunc(slices.Clone(n.peers), func(p newestPeer) bool { return asked[p.addr] > asked[fewest.addr] })
	return next[rand.IntN(len(next))].addr, true
}

// remove forgets a gateway from which nothing can be fetched.
func (n *newestPeers) remove(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = slices.DeleteFunc(n.peers, func(p newestPeer) bool { return p.addr == addr })
}

// receive passes messages of other gateways to the core until ctx ends.
func (g *Gateway) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.peers.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				g.peerFailed(err)
				time.Sleep(peerReadPause)
			}
			continue
		}
		m := new(gateway.PeerMessage)
		if err := cbor.Unmarshal(buf[:n], m); err != nil {
			g.peerFailed(errors.Wrapf(err, "decode message from gateway %s", from))
			continue
		}
		m.From = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		g.tick(gateway.Input{Peer: m})
	}
}

// peerFailed logs a failed exchange with another gateway.
func (g *Gateway) peerFailed(err error) {
	g.log.Warn().Str("event", "gateway-message-failed").Err(err).Send()
}

// serveCopy sends another gateway the cached copy of the prefix in the query, or its
// changes after the revision in the parameter after of the era in the parameter era.
func (g *Gateway) serveCopy(w http.ResponseWriter, r *http.Request) {
	s := g.syncer(r.URL.Query().Get("prefix"))
	if s == nil {
		http.Error(w, "no such prefix", http.StatusNotFound)
		return
	}
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	era, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("era"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "era is not a number", http.StatusBadRequest)
		return
	}
	select {
	case g.copyServing <- struct{}{}:
		defer func() { <-g.copyServing }()
	default:
		http.Error(w, "busy", http.StatusTooManyRequests)
		return
	}
	listing, known := s.Shared(storecopy.Version{Revision: after, Era: era})
	if !known {
		http.Error(w, "no copy yet", http.StatusServiceUnavailable)
		return
	}
	// The connection may fall silent, or the other gateway be gone.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(copyTimeout)); err != nil {
		g.log.Warn().Str("event", "no-write-deadline").Err(err).Send()
	}
	if err := cbor.NewEncoder(w).Encode(listing); err != nil {
		g.peerFailed(errors.Wrapf(err, "send cached copy to %s", r.RemoteAddr))
	}
}

// syncer returns the syncer of a prefix; nil if there is none.
func (g *Gateway) syncer(prefix string) *storecopy.Syncer {
	switch prefix {
	case g.cfg.Decoder.ConfigPrefix():
		return g.configSyncer
	case g.cfg.Decoder.RegistrationPrefix():
		return g.registrationSyncer
	case g.cfg.Decoder.EvacuationPrefix():
		return g.evacuationSyncer
	}
	return nil
}

// fetchCopy fetches the cached copy of a prefix, or its changes since a version if that
// is not zero, from one of the gateways that have announced the newest copy. Without
// such a gateway the listing is zero.
func (g *Gateway) fetchCopy(ctx context.Context, prefix string, since storecopy.Version) (storecopy.Listing, error) {
	var failed error
	asked := make(map[netip.AddrPort]int)
	for range maxCopyTries {
		addr, ok := g.newest.pick(asked)
		if !ok {
			break
		}
		asked[addr]++
		l, err := g.fetchCopyFrom(ctx, addr, prefix, since)
		if err == nil {
			return l, nil
		}
		failed = err
		if !errors.Is(err, errPeerBusy) && !errors.Is(err, bytebudget.ErrShort) {
			g.newest.remove(addr)
		}
		sleep.For(ctx, busyPause/2+rand.N(busyPause))
	}
	return storecopy.Listing{}, failed
}

// errPeerBusy is returned by fetchCopyFrom if the peer is sending other copies.
var errPeerBusy = errors.New("the gateway is sending other copies")

// fetchCopyFrom fetches from one gateway.
func (g *Gateway) fetchCopyFrom(ctx context.Context, addr netip.AddrPort, prefix string, since storecopy.Version) (storecopy.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	u := "http://" + addr.String() + copyPath + "?prefix=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatUint(since.Revision, 10) + "&era=" + strconv.FormatUint(since.Era, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return storecopy.Listing{}, errors.Wrap(err, "fetch copy")
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return storecopy.Listing{}, errors.Wrap(err, "fetch copy")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return storecopy.Listing{}, errors.Wrapf(errPeerBusy, "fetch copy from %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return storecopy.Listing{}, errors.Errorf("fetch copy: gateway %s responded with status %s", addr, resp.Status)
	}
	body := readWithin(resp.Body, copyPauseTimeout, cancel)
	defer body.stop()
	memory := peerCopies.Open()
	defer memory.Close()
	memory.Evictable(cancel)
	raw, err := memory.ReadAll(body, maxCopyBytes+1, false)
	if err == nil && len(raw) > maxCopyBytes {
		err = errors.Errorf("copy is larger than %d bytes", maxCopyBytes)
	}
	if err != nil {
		return storecopy.Listing{}, errors.Wrapf(err, "fetch copy: read response of gateway %s", addr)
	}
	var l storecopy.Listing
	if err := cbor.Unmarshal(raw, &l); err != nil {
		return storecopy.Listing{}, errors.Wrapf(err, "decode copy from %s", addr)
	}
	return l, nil
}

// pauseReader calls a function once nothing has been read for a time.
type pauseReader struct {
	io.Reader
	pause time.Duration
	timer *time.Timer
}

// readWithin returns a reader that calls paused once nothing has been read from r for a time,
// until stop is called.
func readWithin(r io.Reader, pause time.Duration, paused func()) *pauseReader {
	return &pauseReader{Reader: r, pause: pause, timer: time.AfterFunc(pause, paused)}
}

// Read implements io.Reader.
func (r *pauseReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.timer.Reset(r.pause)
	return n, err
}

func (r *pauseReader) stop() { r.timer.Stop() }

// peerCopies accounts for the copies that are read at once.
var peerCopies = bytebudget.New(copyMemory)

// peerClient fetches cached copies. That is rare, so it keeps no idle connections.
var peerClient = &http.Client{Transport: httpconn.NewStrict(&http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: copyHeadTimeout}).DialContext, ResponseHeaderTimeout: copyHeadTimeout,
	MaxResponseHeaderBytes: maxCopyHead,
})}
