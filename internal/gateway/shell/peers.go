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
	// maxDatagram bounds a message between gateways.
	maxDatagram = 8 << 10
	// copyPath serves the copy of a prefix to other gateways.
	copyPath = "/copy"
	// maxCopyBytes bounds such a copy.
	maxCopyBytes = 16 << 20
	// peerReadPause is the pause after a failed read of the socket.
	peerReadPause = 50 * time.Millisecond
)

// peerSocket sends and receives the gateways' datagrams.
type peerSocket struct {
	conn   *net.UDPConn
	last   *gateway.PeerMessage // encoded in buf
	buf    []byte
	failed func(err error)
}

func listenPeers(addr netip.AddrPort, failed func(error)) (*peerSocket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for gateways")
	}
	return &peerSocket{conn: conn, failed: failed}, nil
}

// send sends a message. The same message to several gateways is encoded once.
func (s *peerSocket) send(out *gateway.ToPeer) {
	if out.Msg != s.last {
		buf, err := cbor.Marshal(out.Msg)
		if err != nil {
			s.failed(errors.Wrap(err, "encode message to a gateway"))
			return
		}
		s.last, s.buf = out.Msg, buf
	}
	if _, err := s.conn.WriteToUDPAddrPort(s.buf, out.Addr); err != nil {
		s.failed(errors.Wrap(err, "send to a gateway"))
	}
}

// receive hands messages of other gateways to the core until ctx ends.
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
			g.peerFailed(errors.Wrap(err, "decode message of a gateway"))
			continue
		}
		m.From = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		g.tick(gateway.Input{Peer: m})
	}
}

func (g *Gateway) peerFailed(err error) {
	g.log.Warn().Str("event", "gateway-message-failed").Err(err).Send()
}

// serveCopy answers another gateway that asks for the copy of a prefix, or for what
// has changed in it after a revision.
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
	listing, known := s.Shared(after)
	if !known {
		http.Error(w, "no copy yet", http.StatusServiceUnavailable)
		return
	}
	if err := cbor.NewEncoder(w).Encode(listing); err != nil {
		g.peerFailed(errors.Wrap(err, "send copy"))
	}
}

func (g *Gateway) syncer(prefix string) *storecopy.Syncer {
	switch prefix {
	case g.cfg.Decoder.ConfigPrefix():
		return g.config
	case g.cfg.Decoder.RegistrationPrefix():
		return g.servers
	}
	return nil
}

// fetchCopy asks the gateway that has announced the newest copy.
func (g *Gateway) fetchCopy(ctx context.Context, prefix string, after uint64) (storecopy.Listing, error) {
	addr := g.newest.Load()
	if addr == nil {
		return storecopy.Listing{}, nil
	}
	u := "http://" + addr.String() + copyPath + "?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10)
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
		return storecopy.Listing{}, errors.Errorf("fetch copy: %s answers %s", addr, resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyBytes))
	if err != nil {
		return storecopy.Listing{}, errors.Wrap(err, "fetch copy")
	}
	var l storecopy.Listing
	return l, errors.Wrap(cbor.Unmarshal(raw, &l), "decode copy")
}

// peerClient keeps no connections: copies are fetched seldom.
var peerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
