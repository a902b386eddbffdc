// Package gateway is the deterministic core of an entry that reaches endpoints
// directly and passes requests and answers through unchanged.
//
// Time and inputs go in, outputs come out: Tick(now, inputs) → outputs. The core
// holds tables of endpoints, requests, the work that runs at each endpoint (its
// own and that of other gateways), and gateways. Systems run over them in a
// fixed order on each tick: ingest, expire, place, share.
//
//	ingest.go    inputs to table changes
//	configure.go configuration and registrations
//	work.go      what runs at an endpoint, and predictions from it
//	place.go     the endpoints for a request to an engine
//	plain.go     the endpoint for a request to a plain service
//	order.go     the order of requests that wait
//	queue.go     requests that wait for room; refusals
//	outcome.go   what follows an attempt: done, another attempt, or an error
//	health.go    ejection and return of endpoints
//	peers.go     the view that gateways share: what is sent
//	receive.go   what is received, and what is forgotten of silent gateways
//	cells.go     parts of a large fleet, within which the view is shared
package gateway
