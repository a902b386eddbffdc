package shell

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/storecopy"
)

const (
	// maxDatagram is the size in bytes of the buffer for a received message.
	maxDatagram = 8 << 10
	// copyPath is the path at which other gateways fetch the cached copy of a prefix.
	copyPath = "/copy"
	// maxCopyBytes bounds a cached copy fetched from a peer.
	maxCopyBytes = 16 << 20
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
	listing, known := s.Shared(storecopy.Version{Revision: after, Era: era})
	if !known {
		http.Error(w, "no copy yet", http.StatusServiceUnavailable)
		return
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
	}
	return nil
}

// fetchCopy fetches the cached copy of a prefix, or its changes since a version if that
// is not zero, from the gateway that has announced the newest copy. Without such a
// gateway the listing is zero.
func (g *Gateway) fetchCopy(ctx context.Context, prefix string, since storecopy.Version) (storecopy.Listing, error) {
	addr := g.newestPeer.Load()
	if addr == nil {
		return storecopy.Listing{}, nil
	}
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
	if resp.StatusCode != http.StatusOK {
		return storecopy.Listing{}, errors.Errorf("fetch copy: gateway %s responded with status %s", addr, resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyBytes))
	if err != nil {
		return storecopy.Listing{}, errors.Wrapf(err, "fetch copy: read response of gateway %s", addr)
	}
	var l storecopy.Listing
	return l, errors.Wrapf(cbor.Unmarshal(raw, &l), "decode copy from %s", addr)
}

// peerClient fetches cached copies. That is rare, so it keeps no idle connections.
var peerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
