package declaration

import (
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Lists is the pair of lists that operators edit.
type Lists struct {
	Plans        PlanList
	Entitlements EntitlementList
}

// PlanList is the content of plans.json.
type PlanList struct {
	Plans    []Plan          `json:"plans" cbor:"1,keyasint,omitempty"`
	Accounts []ClientAccount `json:"accounts" cbor:"2,keyasint,omitempty"`
}

// Plan holds the limits and objectives that a set of client accounts shares.
type Plan struct {
	Name            string      `json:"name" cbor:"1,keyasint"`
	Weight          float64     `json:"weight" cbor:"2,keyasint"` // share of service relative to other accounts
	Limits          PlanLimits  `json:"limits" cbor:"3,keyasint"`
	DeadlineMS      BandsMillis `json:"deadline_ms" cbor:"4,keyasint"`
	FirstTokenMS    BandsMillis `json:"first_token_ms" cbor:"5,keyasint"`  // TTFT objective
	ServiceTimeMS   int64       `json:"service_time_ms" cbor:"6,keyasint"` // deadline of plain service calls
	MaxPriority     int32       `json:"max_priority" cbor:"7,keyasint,omitempty"`
	MaxPromptTokens int64       `json:"max_prompt_tokens" cbor:"8,keyasint"`
	MaxOutputTokens int64       `json:"max_output_tokens" cbor:"9,keyasint"`
}

// PlanLimits bounds what each client account of a plan may use across all entries.
type PlanLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second" cbor:"1,keyasint"`
	TokensPerSecond   float64 `json:"tokens_per_second" cbor:"2,keyasint"` // prompt and output tokens
	BurstSeconds      float64 `json:"burst_seconds" cbor:"3,keyasint"`     // bucket depth as seconds of the rate
	Concurrency       int64   `json:"concurrency" cbor:"4,keyasint"`       // requests in flight
}

// BandsMillis is a duration in milliseconds for each length band of requests.
type BandsMillis struct {
	Short  int64 `json:"short" cbor:"1,keyasint"`
	Medium int64 `json:"medium" cbor:"2,keyasint"`
	Long   int64 `json:"long" cbor:"3,keyasint"`
	Huge   int64 `json:"huge" cbor:"4,keyasint"`
}

// ClientAccount is one client account. It may hold several keys, so that a key
// can be replaced without an interruption.
type ClientAccount struct {
	ID        wire.AccountID  `json:"id" cbor:"1,keyasint"`
	Plan      string          `json:"plan" cbor:"2,keyasint"`
	KeySHA256 []KeyHash       `json:"key_sha256" cbor:"3,keyasint"`
	Limits    *LimitOverrides `json:"limits,omitempty" cbor:"4,keyasint,omitempty"`
}

// LimitOverrides replaces some of the plan's limits for one client account.
type LimitOverrides struct {
	RequestsPerSecond *float64 `json:"requests_per_second,omitempty" cbor:"1,keyasint,omitempty"`
	TokensPerSecond   *float64 `json:"tokens_per_second,omitempty" cbor:"2,keyasint,omitempty"`
	BurstSeconds      *float64 `json:"burst_seconds,omitempty" cbor:"3,keyasint,omitempty"`
	Concurrency       *int64   `json:"concurrency,omitempty" cbor:"4,keyasint,omitempty"`
	Weight            *float64 `json:"weight,omitempty" cbor:"5,keyasint,omitempty"`
}

// EntitlementList is the content of entitlements.json.
type EntitlementList struct {
	Models       []ModelEntry   `json:"models" cbor:"1,keyasint,omitempty"`
	Services     []ServiceEntry `json:"services" cbor:"2,keyasint,omitempty"`
	Entitlements []Entitlement  `json:"entitlements" cbor:"3,keyasint,omitempty"`
}

// ModelEntry is one model that the deployment runs.
type ModelEntry struct {
	Name                        string   `json:"name" cbor:"1,keyasint"`
	Version                     string   `json:"version" cbor:"2,keyasint"`
	Adapters                    []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	MinReplicasPerFailureDomain int      `json:"min_replicas_per_failure_domain" cbor:"4,keyasint,omitempty"`
	MaxReplicas                 int      `json:"max_replicas,omitempty" cbor:"5,keyasint,omitempty"` // over the whole deployment; 0: no bound
	Weight                      float64  `json:"weight" cbor:"6,keyasint"`                           // share of the replicas beyond the minimum, before demand
	MaxGroups                   int      `json:"max_groups,omitempty" cbor:"7,keyasint,omitempty"`   // concurrent groups of engines, each for one request too large for a single engine; 0 counts as 1
	WeightBytes                 int64    `json:"weight_bytes" cbor:"8,keyasint"`
}

// ServiceEntry is one plain service, which endpoints serve without an engine.
type ServiceEntry struct {
	Name              string   `json:"name" cbor:"1,keyasint"`
	IdempotentMethods []string `json:"idempotent_methods,omitempty" cbor:"2,keyasint,omitempty"`
	KeyTTLSeconds     int64    `json:"key_ttl_s" cbor:"3,keyasint"` // how long an idempotency record lasts
}

// Entitlement is what the client accounts of one plan may use.
type Entitlement struct {
	Plan     string               `json:"plan" cbor:"1,keyasint"`
	Models   []ModelEntitlement   `json:"models,omitempty" cbor:"2,keyasint,omitempty"`
	Services []ServiceEntitlement `json:"services,omitempty" cbor:"3,keyasint,omitempty"`
}

// ModelEntitlement allows a model together with some of its adapters.
type ModelEntitlement struct {
	Model    string   `json:"model" cbor:"1,keyasint"`
	Adapters []string `json:"adapters,omitempty" cbor:"2,keyasint,omitempty"`
}

// ServiceEntitlement allows a plain service. Without methods it allows all.
type ServiceEntitlement struct {
	Service string   `json:"service" cbor:"1,keyasint"`
	Methods []string `json:"methods,omitempty" cbor:"2,keyasint,omitempty"`
}
