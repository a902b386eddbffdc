package entry

// Code classifies an answer for callers, logs and metrics.
type Code uint8

// The codes of an answer.
const (
	CodeOK             Code = 0
	CodeUnknownModel   Code = 1
	CodeUnknownService Code = 2
	CodeNotEntitled    Code = 3
	CodeRateLimited    Code = 4
	CodeConcurrency    Code = 5
	CodeOverloaded     Code = 6 // can't finish or start in time
	CodeNoCapacity     Code = 7 // no endpoint for the model or service is up
	CodeDeadline       Code = 8
	CodeTooLarge       Code = 9
	CodeEndpointLost   Code = 10
	CodeStoreDown      Code = 11 // no at-most-once record can be written
	CodeKeyConflict    Code = 12 // same idempotency key, different request
	CodeOutcomeUnknown Code = 13
	CodeCallerGone     Code = 14
	CodeNotReady       Code = 15
	CodeInvalid        Code = 16
	CodeShutdown       Code = 17
	CodeAnswerBroken   Code = 18
)

var codeNames = [...]string{
	"ok", "unknown_model", "unknown_service", "not_entitled", "rate_limited",
	"concurrency_limit", "overloaded", "no_capacity", "deadline_exceeded",
	"too_large", "endpoint_lost", "store_unavailable", "idempotency_conflict",
	"outcome_unknown", "caller_gone", "not_ready", "invalid_request", "shutdown",
	"answer_broken",
}

// String returns the code as it appears in errors and logs.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unspecified"
}
