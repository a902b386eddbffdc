package gateway

import "time"

// fromPeer takes a message of another gateway.
func (c *Core) fromPeer(m *PeerMessage) {
	if m.From == c.cfg.Addr {
		return
	}
	p := c.peer(m.From)
	if p.incarnation != m.Incarnation {
		c.dropWorks(p)
		p.incarnation = m.Incarnation
	}
	if !p.known {
		p.known, p.greet = true, true
		c.log(Event{Name: "gateway-heard", Detail: "addr=" + p.addr.String(), Count: c.Gateways()})
		c.share.joined(c)
	}
	p.heard, p.leaving = c.now, m.Leaving
	for _, id := range m.Ended {
		c.peerWaits(p, id)
		if w := p.works[id]; w != nil {
			delete(p.works, id)
			c.removeWork(w)
		}
	}
	for _, row := range m.Waiting {
		p.waiting[row.Request] = &waiting{
			service: row.Service, prompt: row.Prompt, output: row.Output, refreshed: c.now,
			due:      c.now + time.Duration(row.DueUS)*time.Microsecond,
			handicap: time.Duration(row.LaterMS) * time.Millisecond,
		}
	}
	for i := range m.Rows {
		c.peerRow(p, &m.Rows[i])
	}
	for _, addr := range m.Known {
		if addr != c.cfg.Addr {
			c.peer(addr)
		}
	}
	c.peerPaces(m.Paces)
	c.peerVersions(p, m)
}

// peerVersions asks for a peer's copy if it is newer than the own one.
func (c *Core) peerVersions(p *peer, m *PeerMessage) {
	if m.Versions == nil {
		return
	}
	if c.versions.Config.Behind(m.Versions.Config) || c.versions.Registrations.Behind(m.Versions.Registrations) {
		c.emit(Output{Newer: &Newer{Peer: p.addr, Versions: *m.Versions}})
	}
}

// peerWaits notes that a request of another gateway waits no longer.
func (c *Core) peerWaits(p *peer, row uint64) {
	if id := row >> 8; p.waiting[id] != nil {
		delete(p.waiting, id)
		c.place = true
	}
}

// peerRow adds or updates a work of another gateway. Endpoints that this
// gateway does not know yet are left out; a later full message names them again.
func (c *Core) peerRow(p *peer, row *PeerRow) {
	c.peerWaits(p, row.Request)
	if old := p.works[row.Request]; old != nil {
		old.refreshed = c.now
		if row.Writing && old.phase == workReading {
			old.begin()
			c.place = true
		}
		return
	}
	if len(row.At) == 0 {
		return
	}
	w := &work{
		key: workKey{p.addr, row.Request}, phase: workReading,
		prompt: row.Prompt, output: row.Output,
		part:  time.Duration(row.PartUS) * time.Microsecond,
		pause: time.Duration(row.PauseMS) * time.Millisecond,
		sent:  c.now - time.Duration(row.AgeMS)*time.Millisecond, refreshed: c.now,
	}
	if row.Writing {
		w.phase = workWriting
	}
	for i, hash := range row.At {
		e := c.byHash[hash]
		if e == nil {
			if i == 0 {
				return
			}
			continue
		}
		w.at = append(w.at, e)
		if len(row.Held) == len(row.At) {
			w.held = append(w.held, row.Held[i])
		}
	}
	p.works[row.Request] = w
	c.addWork(w)
}

// forgetPeers drops gateways that are silent, and the work of which no gateway
// has spoken for a while.
func (c *Core) forgetPeers() {
	stale := staleFactor * c.fullEvery()
	for p := range c.peers.Values() {
		for id, w := range p.works {
			if c.now-w.refreshed > stale {
				delete(p.works, id)
				c.removeWork(w)
			}
		}
		for id, w := range p.waiting {
			if c.now-w.refreshed > stale {
				delete(p.waiting, id)
				c.place = true
			}
		}
		silence := stale
		if !p.near {
			silence = farSilence
		}
		if p.known && c.now-p.heard > silence {
			p.known = false
			c.log(Event{Name: "gateway-silent", Detail: "addr=" + p.addr.String(), Took: c.now - p.heard})
		}
		limit := max(forgetPeer, silence)
		if p.heard == 0 {
			limit = tryPeer
		}
		if !p.seed && c.now-max(p.heard, p.added) > limit {
			c.peers.Delete(p.addr)
		}
	}
}

func (c *Core) dropWorks(p *peer) {
	for id, w := range p.works {
		delete(p.works, id)
		c.removeWork(w)
	}
	clear(p.waiting)
}
