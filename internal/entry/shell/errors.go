package shell

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// apiError is an error in the JSON format of the completions API, with the
// outcome of the request.
type apiError struct {
	Status      int           `json:"-"`
	RetryAfter  time.Duration `json:"-"`
	Message     string        `json:"message"`
	Type        string        `json:"type"`
	Code        string        `json:"code"`
	Param       *string       `json:"param"`
	Outcome     wire.Outcome  `json:"-"`
	OutcomeText string        `json:"outcome"` // text of Outcome; set by body
}

type errorBody struct {
	Error apiError `json:"error"`
}

func (a apiError) body() errorBody {
	if a.Outcome == wire.OutcomePending { // not set: the error came up before the request was submitted
		a.Outcome = wire.OutcomeNotRun
	}
	a.OutcomeText = a.Outcome.String()
	return errorBody{a}
}

// invalidRequest describes a malformed request, which is refused however often it
// is sent.
func invalidRequest(message string) apiError {
	return apiError{Status: http.StatusBadRequest, Type: "invalid_request_error", Code: "invalid_request", Message: message, Outcome: wire.OutcomeNotRun}
}

// refusal describes a request that was not run.
func refusal(code entry.Code, detail string, retryAfter time.Duration) apiError {
	return answerError(&entry.Answer{Outcome: wire.OutcomeNotRun, Code: code, Detail: detail, RetryAfter: retryAfter})
}

// statuses maps the codes of answers to HTTP statuses.
var statuses = map[entry.Code]int{
	entry.CodeUnknownModel:   http.StatusNotFound,
	entry.CodeUnknownService: http.StatusNotFound,
	entry.CodeNotEntitled:    http.StatusForbidden,
	entry.CodeRateLimited:    http.StatusTooManyRequests,
	entry.CodeConcurrency:    http.StatusTooManyRequests,
	entry.CodeOverloaded:     http.StatusServiceUnavailable,
	entry.CodeNoCapacity:     http.StatusServiceUnavailable,
	entry.CodeDeadline:       http.StatusGatewayTimeout,
	entry.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	entry.CodeEndpointLost:   http.StatusBadGateway,
	entry.CodeStoreDown:      http.StatusServiceUnavailable,
	entry.CodeKeyConflict:    http.StatusUnprocessableEntity,
	entry.CodeOutcomeUnknown: http.StatusBadGateway,
	entry.CodeNotReady:       http.StatusServiceUnavailable,
	entry.CodeInvalid:        http.StatusBadRequest,
	entry.CodeShutdown:       http.StatusServiceUnavailable,
	entry.CodeAnswerBroken:   http.StatusBadGateway,
}

// answerError turns the final answer of a request that did not complete into an
// error for the caller.
func answerError(a *entry.Answer) apiError {
	status, ok := statuses[a.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	kind := "server_error"
	switch {
	case status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case status < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	message := a.Code.String()
	if a.Detail != "" {
		message += ": " + a.Detail
	}
	return apiError{Status: status, Type: kind, Code: a.Code.String(), Message: message, Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// writeError answers a request with an error.
func writeError(w http.ResponseWriter, a apiError) {
	body := a.body()
	w.Header().Set(HeaderOutcome, body.Error.OutcomeText)
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64(math.Ceil(a.RetryAfter.Seconds())), 10))
	}
	writeJSON(w, a.Status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}
