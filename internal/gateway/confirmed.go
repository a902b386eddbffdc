package gateway

import "time"

// Only a few gateways of a large fleet watch the store. The others can't tell that nothing has
// changed from the loss of all that would tell them. So gateways tell each other how long ago
// the store has confirmed their copies, and one that knows of no recent confirmation lists the
// store itself.

// announceConfirmedAfter is the age of the latest known confirmation from which on a new one is
// sent at once, so that the other gateways, which lack one too, don't all list the store.
const announceConfirmedAfter = time.Second

// confirmations are the times, on the own clock, at which the store held no change that the
// cached copies lacked; 0: unknown.
type confirmations [copyKinds]time.Duration

// ConfirmedRow tells how old the latest confirmation is that the sender knows of.
type ConfirmedRow struct {
	Copy  CopyKind `cbor:"1,keyasint,omitempty"`
	AgeMS int64    `cbor:"2,keyasint,omitempty"`
}

// ConfirmedAt returns when a cached copy is known to have had all changes in the store, on the
// clock of Tick; 0: never.
func (c *Core) ConfirmedAt(kind CopyKind) time.Duration { return c.confirmed[kind] }

// copyConfirmed records a listing of this gateway.
func (c *Core) copyConfirmed(in *Confirmed) {
	if in.At-c.confirmed[in.Copy] > announceConfirmedAfter {
		c.outbox.fullDue = true
	}
	c.confirmed[in.Copy] = max(c.confirmed[in.Copy], in.At)
}

// confirmedRows returns the ages of the known confirmations.
func (c *Core) confirmedRows() []ConfirmedRow {
	var rows []ConfirmedRow
	for kind, at := range c.confirmed {
		if at > 0 {
			rows = append(rows, ConfirmedRow{CopyKind(kind), (c.now - at).Milliseconds()})
		}
	}
	return rows
}

// mergeConfirmed applies what another gateway knows of confirmations of copies that are not
// ahead of the own ones.
func (c *Core) mergeConfirmed(m *PeerMessage) {
	for _, row := range m.Confirmed {
		if row.Copy >= copyKinds || row.AgeMS < 0 || row.AgeMS > c.now.Milliseconds() {
			continue
		}
		own := c.versions.of(row.Copy)
		if own.Revision == 0 || own.Behind(m.Versions.of(row.Copy)) {
			continue
		}
		at := c.now - transitTime - time.Duration(row.AgeMS)*time.Millisecond
		c.confirmed[row.Copy] = max(c.confirmed[row.Copy], at)
	}
}
