package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Dump is the state of an entry for operators. It holds no prompt and no key.
type Dump struct {
	Node        wire.NodeID      `json:"node"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Now         time.Duration    `json:"now_ns"`
	Revision    uint64           `json:"revision"`
	Ready       bool             `json:"ready"`
	NotReady    string           `json:"not_ready,omitempty"`
	Draining    bool             `json:"draining"`
	StoreDown   bool             `json:"store_down"`
	Counts      Counts           `json:"counts"`
	Requests    []RequestDump    `json:"requests"`
	Endpoints   []EndpointDump   `json:"endpoints"`
	Models      []ModelDump      `json:"models"`
}

// RequestDump is one request in flight.
type RequestDump struct {
	ID           string          `json:"id"`
	Account      wire.AccountID  `json:"client_account"`
	Band         string          `json:"band"`
	Phase        string          `json:"phase"`
	Endpoint     wire.EndpointID `json:"endpoint,omitempty"`
	PromptTokens int64           `json:"prompt_tokens"`
	Attempts     int             `json:"attempts"`
	Refusals     int             `json:"refusals"`
	Age          time.Duration   `json:"age_ns"`
	TimeLeft     time.Duration   `json:"time_left_ns"`
}

// EndpointDump is one endpoint.
type EndpointDump struct {
	Endpoint      wire.EndpointID    `json:"endpoint"`
	FailureDomain wire.FailureDomain `json:"failure_domain"`
	Incarnation   wire.Incarnation   `json:"incarnation"`
	Up            bool               `json:"up"`
	Leaving       bool               `json:"leaving"`
	Health        string             `json:"health"`
	InFlight      int                `json:"in_flight"`
	Prefixes      int                `json:"prefixes"`
	ReportAge     time.Duration      `json:"report_age_ns"`
	Report        wire.Report        `json:"report"`
}

// ModelDump is one model.
type ModelDump struct {
	Model     string  `json:"model"`
	Endpoints int     `json:"endpoints"`
	Waiting   int     `json:"waiting"`
	Groups    int     `json:"groups"`
	Demand    float64 `json:"demand_tokens_per_second"`
}

// Dump returns the state of the entry. It costs time in proportion to the state.
func (c *Core) Dump() Dump {
	d := Dump{
		Node: c.cfg.Self, Incarnation: c.cfg.Incarnation, Now: c.now, Revision: c.revision(),
		Ready: c.ready.ok, NotReady: c.ready.reason, Draining: c.drain.started, StoreDown: c.fleet.storeDown(), Counts: c.counts,
	}
	c.requests.Each(func(_ RequestID, r *request) bool {
		d.Requests = append(d.Requests, c.dumpRequest(r))
		return true
	})
	c.endpoints.Each(func(_ wire.EndpointID, e *endpoint) bool {
		d.Endpoints = append(d.Endpoints, c.dumpEndpoint(e))
		return true
	})
	c.models.Each(func(_ string, m *modelState) bool {
		d.Models = append(d.Models, ModelDump{m.name, len(m.endpoints), len(m.waiting), m.groups, m.demand})
		return true
	})
	return d
}

func (c *Core) dumpRequest(r *request) RequestDump {
	d := RequestDump{
		ID: r.in.ExternalID, Account: r.in.Account, Band: r.band.String(), Phase: r.phase.String(),
		PromptTokens: r.promptTokens, Attempts: r.attempts, Refusals: r.refusals, Age: c.now - r.arrivedAt, TimeLeft: r.deadline - c.now,
	}
	if a := c.attempts.Get(r.currentAttempt); a != nil {
		d.Endpoint = a.endpoint
	}
	return d
}

func (c *Core) dumpEndpoint(e *endpoint) EndpointDump {
	return EndpointDump{
		Endpoint: e.id, FailureDomain: e.hello.FailureDomain, Incarnation: e.hello.Incarnation, Up: e.up,
		Leaving: e.leaving, Health: e.health.String(), InFlight: e.inFlight, Prefixes: len(e.prefixes.cached),
		ReportAge: c.now - e.lastReportAt, Report: e.report,
	}
}
