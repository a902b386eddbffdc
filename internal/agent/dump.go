package agent

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Dump is the state of a Core for operators.
type Dump struct {
	Now          time.Duration     `json:"now_ns"`
	Endpoint     wire.EndpointID   `json:"endpoint"`
	Incarnation  wire.Incarnation  `json:"incarnation"`
	Revision     uint64            `json:"revision"`
	Engine       DumpEngine        `json:"engine"`
	Memory       DumpMemory        `json:"memory"`
	Leaving      bool              `json:"leaving"`
	Drained      bool              `json:"drained"`
	Attempts     []DumpAttempt     `json:"attempts"`
	Accounts     []DumpAccount     `json:"accounts"`
	Reservations []DumpReservation `json:"reservations"`
	Orders       []DumpOrder       `json:"orders"`
	Entries      []DumpEntry       `json:"entries"`
	Tombstones   int               `json:"tombstones"`
}

// DumpEngine is the core's view of its endpoint.
type DumpEngine struct {
	Up          bool            `json:"up"`
	Have        wire.Assignment `json:"have"`
	Loading     bool            `json:"loading"`
	Draining    bool            `json:"draining"` // running work ends before the next load; for the endpoint's draining see Dump.Leaving
	Running     int             `json:"running"`
	Queued      int             `json:"queued"`
	PrefillRate float64         `json:"prefill_tokens_per_second"`
	DecodeRate  float64         `json:"decode_tokens_per_second"`
	CacheHashes int             `json:"cache_hashes"`
	Fence       uint64          `json:"fence"`
}

// DumpMemory is the engine memory in KV cache tokens.
type DumpMemory struct {
	Total    int64 `json:"total"`
	Capacity int64 `json:"capacity"`
	Reserved int64 `json:"reserved"`
}

// DumpAttempt is one row of the Attempts table.
type DumpAttempt struct {
	ID       string         `json:"id"`
	Request  string         `json:"request"`
	Account  wire.AccountID `json:"account"`
	State    string         `json:"state"`
	Band     string         `json:"band"`
	Prompt   int64          `json:"prompt_tokens"`
	Output   int64          `json:"output_tokens"`
	Age      time.Duration  `json:"age_ns"`
	TimeLeft time.Duration  `json:"time_left_ns"`
	Adopted  bool           `json:"adopted,omitempty"`
}

// DumpAccount is one row of the Accounts table.
type DumpAccount struct {
	ID           wire.AccountID `json:"id"`
	Weight       float64        `json:"weight"`
	Queued       int            `json:"queued"`
	QueuedTokens int64          `json:"queued_tokens"`
	Active       int            `json:"active"`
	Served       int64          `json:"served_tokens"`
	VirtualLead  float64        `json:"behind"` // virtual start time minus the queue's virtual time; the larger, the later it is dispatched
}

// DumpReservation is one row of the Reservations table.
type DumpReservation struct {
	ID     string        `json:"id"`
	Group  bool          `json:"group,omitempty"`
	Tokens int64         `json:"tokens"`
	Lease  time.Duration `json:"lease_ns,omitempty"`
	Handle string        `json:"handle,omitempty"`
}

// DumpOrder is one row of the Orders table.
type DumpOrder struct {
	ID      uint64          `json:"id"`
	Fence   uint64          `json:"fence"`
	From    wire.NodeID     `json:"from"`
	Want    wire.Assignment `json:"want"`
	Age     time.Duration   `json:"age_ns"`
	Loading bool            `json:"loading"`
}

// DumpEntry is one row of the Entries table.
type DumpEntry struct {
	ID          wire.NodeID      `json:"id"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Up          bool             `json:"up"` // the entry has sent something on an open stream
	StoreDown   bool             `json:"store_down"`
	Outcomes    int              `json:"outcomes"` // kept for sending again on a new stream
	Reports     uint64           `json:"reports"`
}

// EntriesUp returns the number of entries whose Up is set.
func (d *Dump) EntriesUp() int {
	n := 0
	for i := range d.Entries {
		if d.Entries[i].Up {
			n++
		}
	}
	return n
}

// Dump returns the state of the core.
func (c *Core) Dump() Dump {
	d := Dump{
		Now:         c.now,
		Endpoint:    c.cfg.Endpoint,
		Incarnation: c.cfg.Incarnation,
		Revision:    c.revision,
		Engine: DumpEngine{
			Up:          c.engine.up,
			Have:        c.engine.assignment,
			Loading:     c.engine.loading,
			Draining:    c.orderTracker.drainingForLoad,
			Running:     c.engine.running,
			Queued:      c.queue.queued,
			PrefillRate: c.engine.prefillRate,
			DecodeRate:  c.engine.decodeRate,
			CacheHashes: len(c.cache.addPosition),
			Fence:       c.orderTracker.highestFence,
		},
		Memory:     DumpMemory{Total: c.memory.total, Capacity: c.memory.capacity, Reserved: c.memory.reserved},
		Leaving:    c.leaving.active,
		Drained:    c.leaving.drained,
		Tombstones: c.tombstones.Len(),
	}
	c.dumpWork(&d)
	c.dumpPeers(&d)
	return d
}

func (c *Core) dumpWork(d *Dump) {
	c.attempts.Each(func(id wire.AttemptID, a *attempt) bool {
		d.Attempts = append(d.Attempts, DumpAttempt{
			ID:       id.String(),
			Request:  a.dispatch.RequestID,
			Account:  a.dispatch.Account,
			State:    a.state.String(),
			Band:     a.band.String(),
			Prompt:   a.promptTokens,
			Output:   a.outputTokens,
			Age:      c.now - a.arrivedAt,
			TimeLeft: a.deadline - c.now,
			Adopted:  a.adopted,
		})
		return true
	})
	c.accounts.Each(func(id wire.AccountID, acc *account) bool {
		d.Accounts = append(d.Accounts, DumpAccount{
			ID:           id,
			Weight:       acc.weight,
			Queued:       acc.queued,
			QueuedTokens: acc.waitingTokens,
			Active:       acc.running,
			Served:       acc.servedTokens,
			VirtualLead:  acc.virtualStart - c.queue.virtualTime,
		})
		return true
	})
	c.reservations.Each(func(id wire.AttemptID, r *reservation) bool {
		row := DumpReservation{ID: id.String(), Group: r.kind == reservationGroup, Tokens: r.tokens, Handle: r.handle}
		if r.expiresAt != never {
			row.Lease = r.expiresAt - c.now
		}
		d.Reservations = append(d.Reservations, row)
		return true
	})
}

func (c *Core) dumpPeers(d *Dump) {
	c.orders.Each(func(_ orderKey, o *order) bool {
		d.Orders = append(d.Orders, DumpOrder{
			ID:      o.ID,
			Fence:   o.Fence,
			From:    o.from,
			Want:    o.Want,
			Age:     c.now - o.receivedAt,
			Loading: o.state == orderLoading,
		})
		return true
	})
	c.entries.Each(func(id wire.NodeID, e *entryRow) bool {
		d.Entries = append(d.Entries, DumpEntry{
			ID:          id,
			Incarnation: e.incarnation,
			Up:          e.up && e.confirmed,
			StoreDown:   e.storeDown,
			Outcomes:    len(e.recentOutcomes),
			Reports:     e.reportCount,
		})
		return true
	})
}
