// Package gateway is the deterministic core of an entry that reaches endpoints
// directly and passes requests and answers through unchanged.
//
// Tick(now, inputs) returns outputs; the core reads no clock and does no I/O. It
// holds tables of endpoints, requests, work items (attempts that run at endpoints, its
// own and those of other gateways), and gateways. Each tick processes the tables in
// a fixed order: ingest, expire, place, send to peers.
//
//	ingest.go    applies inputs to the tables
//	configure.go configuration and registrations
//	evacuation.go failure domains that the operator takes out of use
//	regions.go   regions in which requests may run
//	work.go      work items at an endpoint, and predictions from them
//	pass.go      forecast of an engine's passes
//	prediction.go errors of predicted first events, and the margin for them
//	place.go     selects the endpoints for a request to an engine
//	streamset.go the set of engines for short streams
//	plain.go     selects the endpoint for a request to a plain service (its endpoints are no engines)
//	plan.go      the plan for long prompts that all gateways share
//	planorder.go order of that plan, and announcements of waiting prompts
//	order.go     what the order of waiting requests depends on
//	admission.go work ahead of a request, refusals as too late, and returns after a refusal
//	queue.go     waiting requests, dispatch and refusals
//	outcome.go   what follows an attempt: done, a retry, or an error
//	silence.go   endpoints that fall silent before or inside an answer
//	health.go    ejection and return of endpoints
//	crash.go     engines that end while they answer
//	poison.go    prompts with parts that crash engines
//	limit.go     endpoints that name a limit of requests a second
//	permits.go   permits to send requests to these, which one gateway gives out
//	probe.go     reports of engines on their pace
//	peers.go     messages to other gateways
//	receive.go   messages from other gateways, and removal of silent ones
//	cells.go     division of a large fleet into cells that share their state
package gateway
