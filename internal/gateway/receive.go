package gateway

import "time"

// receivePeerMessage applies a message of another gateway.
func (c *Core) receivePeerMessage(m *PeerMessage) {
	if m.From == c.cfg.Addr {
		return
	}
	p := c.peer(m.From)
	if p.incarnation != m.Incarnation {
		c.removePeerWork(p)
		p.incarnation, p.heardFull = m.Incarnation, false
		c.outbox.peerJoined(c)
	}
	if !p.live {
		p.live, p.sendPending = true, true
		c.log(Event{Name: "gateway-heard", Detail: "addr=" + p.addr.String(), Count: c.Gateways()})
		c.outbox.peerJoined(c)
	}
	p.lastSeen, p.leaving = c.now, m.Leaving
	for _, id := range m.Ended {
		c.peerStoppedWaiting(p, id)
		if w := p.workItems[id]; w != nil {
			delete(p.workItems, id)
			c.removeWork(w)
			if w.phase == workDecoding {
				w.answering().observePassEnd(c.now - peerReportTime)
			}
		}
	}
	for _, row := range m.Waiting {
		p.waiting[row.Request] = &remoteWaiting{
			service: row.Service, prompt: row.Prompt, output: row.Output, demand: row.demand(c.now), lastSeen: c.now, regions: row.Regions,
		}
	}
	for i := range m.Rows {
		c.applyPeerRow(p, &m.Rows[i])
	}
	for _, addr := range m.Known {
		if addr != c.cfg.Addr {
			c.peer(addr)
		}
	}
	c.mergeRefusals(m.Refusals)
	c.mergeNoHelp(m.NoHelp)
	c.applyPeerPaces(m.Paces)
	c.mergeParts(m.PartsService, m.Parts)
	c.mergeLimits(m.Limits)
	c.mergeCold(m.Cold)
	for i := range m.Demands {
		c.permitsDemanded(p, &m.Demands[i])
	}
	for i := range m.Grants {
		c.permitsGranted(p, &m.Grants[i])
	}
	p.heardFull = p.heardFull || m.Versions != nil
	c.comparePeerVersions(p, m)
}

// comparePeerVersions records whether the peer reaches the store, and emits a Newer output
// if the peer's copy of the store's keys or its configuration in force is newer than the
// own one.
func (c *Core) comparePeerVersions(p *peer, m *PeerMessage) {
	if m.Versions == nil {
		return
	}
	p.storeLost = m.Versions.StoreLost
	c.mergeConfirmed(m)
	if c.versions.Config.Behind(m.Versions.Config) || c.versions.Registrations.Behind(m.Versions.Registrations) ||
		c.cfg.Evacuations && c.versions.Evacuations.Behind(m.Versions.Evacuations) ||
		m.Versions.Active > c.activeVersion() {
		c.emit(Output{Newer: &PeerHasNewer{Peer: p.addr, Versions: *m.Versions}})
	}
}

// peerStoppedWaiting removes a request that no longer waits at another gateway.
func (c *Core) peerStoppedWaiting(p *peer, row uint64) {
	if id := row >> 8; p.waiting[id] != nil {
		delete(p.waiting, id)
		c.placementDue = true
	}
}

// applyPeerRow adds or updates a work item of another gateway. It ignores a new item whose
// answering endpoint is not registered here yet, and leaves out helpers that are not; a
// later full message repeats the item.
func (c *Core) applyPeerRow(p *peer, row *PeerRow) {
	c.peerStoppedWaiting(p, row.Request)
	if len(row.At) == 0 {
		return
	}
	if old := p.workItems[row.Request]; old != nil && old.helpersMissing > c.unregisteredHelpers(row) {
		c.removeWork(old) // to be added with the helpers that have registered since
	} else if old != nil {
		old.lastSeen = c.now
		if row.Decoding && old.phase == workPrefilling {
			old.startDecode()
			old.answering().observeFirst(old, c.now-peerReportTime)
			c.placementDue = true
		}
		return
	}
	w := &workItem{
		key: workKey{p.addr, row.Request}, phase: workPrefilling,
		prompt: row.Prompt, output: row.Output,
		partTime:     time.Duration(row.PartUS) * time.Microsecond,
		gapLimit:     time.Duration(row.GapLimitMS) * time.Millisecond,
		dispatchedAt: c.now - time.Duration(row.AgeMS)*time.Millisecond, lastSeen: c.now,
	}
	if row.Decoding {
		w.phase = workDecoding
	}
	for i, hash := range row.At {
		e := c.endpointsByHash[hash]
		if e == nil {
			if i == 0 {
				return
			}
			w.helpersMissing++
			continue
		}
		w.endpoints = append(w.endpoints, e)
		if len(row.Reserved) == len(row.At) {
			w.reserved = append(w.reserved, row.Reserved[i])
		}
	}
	p.workItems[row.Request] = w
	c.addWork(w)
}

// unregisteredHelpers returns the number of helpers of row that are not registered here.
func (c *Core) unregisteredHelpers(row *PeerRow) int {
	n := 0
	for _, hash := range row.At[1:] {
		n += bit(c.endpointsByHash[hash] == nil)
	}
	return n
}

// removeSilentPeers marks gateways as not live after a silence, removes them, except
// seeds, after a longer one, and removes work items and waiting requests that no message
// has named for staleIntervals full message intervals.
func (c *Core) removeSilentPeers() {
	stale := staleIntervals * c.fullMessageInterval()
	for p := range c.peers.Values() {
		for id, w := range p.workItems {
			if c.now-w.lastSeen > stale {
				delete(p.workItems, id)
				c.removeWork(w)
			}
		}
		for id, w := range p.waiting {
			if c.now-w.lastSeen > stale {
				delete(p.waiting, id)
				c.placementDue = true
			}
		}
		silence := stale
		if !p.inCell {
			silence = otherCellTimeout
		}
		if p.live && c.now-p.lastSeen > silence {
			p.live = false
			c.log(Event{Name: "gateway-silent", Detail: "addr=" + p.addr.String(), Took: c.now - p.lastSeen})
		}
		limit := max(silentPeerRetention, silence)
		if p.lastSeen == 0 {
			limit = unseenPeerRetention
		}
		if !p.seed && c.now-max(p.lastSeen, p.addedAt) > limit {
			c.peers.Delete(p.addr)
		}
	}
}

func (c *Core) removePeerWork(p *peer) {
	for id, w := range p.workItems {
		delete(p.workItems, id)
		c.removeWork(w)
	}
	clear(p.waiting)
}
