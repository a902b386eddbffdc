package entry

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// defaultTokensPerByte is the assumed number of prompt tokens per byte
	// while no engine has reported a count for the model.
	defaultTokensPerByte = 0.25
	// serviceTokens is the number of tokens that a plain service call is
	// charged against token limits.
	serviceTokens = 1
	// notReadyRetryAfter is the Retry-After of an entry that has no
	// declarations, is shutting down or can't write an at-most-once record.
	notReadyRetryAfter = time.Second
	// minRefusalRetry is the shortest Retry-After of a request that ends for
	// lack of capacity, retries or time.
	minRefusalRetry = 500 * time.Millisecond
)

// admit checks a request against the declarations, the predicted time and the
// limits, and accepts it or answers it as not run.
func (c *Core) admit(in *Request) {
	if c.requests.Get(in.ID) != nil {
		return
	}
	r, f := c.prepare(in)
	if f.code != CodeOK {
		c.refuse(in, f)
		return
	}
	row := c.requests.Put(in.ID, *r)
	c.setDeadline(row)
	c.admitWithinLimits(row)
}

// admitWithinLimits charges a request to its account's limits and routes it.
// The request waits if the account's home entry, which grants its limits, has
// not answered yet, or if a burst of the account drains within maxLimitWait.
func (c *Core) admitWithinLimits(r *request) {
	wait, f := c.fleet.chargeLimits(r)
	switch {
	case wait:
		c.fleet.awaitLimits(r)
		return
	case f.code != CodeOK:
		c.stopTimers(r)
		c.requests.Delete(r.id)
		c.refuse(&r.in, f)
		return
	}
	c.counts.Admitted++
	c.retryBudget.credit()
	c.log(Event{Kind: EventAdmitted, Request: r.in.ExternalID, Account: r.in.Account})
	if c.needsRecord(r) {
		c.beginRecord(r)
		return
	}
	c.enqueue(r)
}

// refuse answers a request that was not admitted, as not run.
func (c *Core) refuse(in *Request, f failure) {
	c.counts.Refused++
	c.counts.NotRun++
	c.emit(Output{Answer: &Answer{ID: in.ID, Outcome: wire.OutcomeNotRun, Code: f.code, Detail: f.detail, RetryAfter: f.retryAfter}})
	c.log(Event{Kind: EventRefused, Request: in.ExternalID, Account: in.Account, Outcome: wire.OutcomeNotRun, Code: f.code, Detail: f.detail})
}

// prepare resolves a request against the active declarations.
func (c *Core) prepare(in *Request) (*request, failure) {
	if c.snapshot == nil || c.drain.refusing {
		return nil, failure{code: CodeNotReady, retryAfter: notReadyRetryAfter}
	}
	acc, ok := c.snapshot.Accounts[in.Account]
	if !ok {
		return nil, failure{code: CodeNotEntitled, detail: "unknown client account"}
	}
	r := &request{id: in.ID, in: *in, account: acc, arrivedAt: c.now}
	if in.Kind == wire.KindService {
		return r, c.prepareCall(r)
	}
	return r, c.prepareModel(r)
}

func (c *Core) prepareCall(r *request) failure {
	grant, ok := r.account.Services[r.in.Call.Service]
	switch {
	case !ok && c.serviceDeclared(r.in.Call.Service) == nil:
		return failure{code: CodeUnknownService, detail: r.in.Call.Service}
	case !ok:
		return failure{code: CodeNotEntitled, detail: r.in.Call.Service}
	case len(grant.Methods) > 0 && !grant.Methods[r.in.Call.Method]:
		return failure{code: CodeNotEntitled, detail: r.in.Call.Method + " " + r.in.Call.Service}
	}
	r.repeatable = r.in.Repeatable || c.idempotentMethod(r.in.Call)
	limit := r.account.ServiceDeadline
	if limit <= 0 {
		limit = DefaultServiceTime
	}
	r.deadline = c.now + shorter(r.in.Deadline, limit)
	r.promptTokens = serviceTokens
	return failure{}
}

func (c *Core) serviceDeclared(name string) *declaration.Service {
	for i := range c.snapshot.Services {
		if c.snapshot.Services[i].Name == name {
			return &c.snapshot.Services[i]
		}
	}
	return nil
}

func (c *Core) idempotentMethod(call *wire.ServiceCall) bool {
	s := c.serviceDeclared(call.Service)
	if s == nil {
		return false
	}
	for _, m := range s.IdempotentMethods {
		if m == call.Method {
			return true
		}
	}
	return false
}

func (c *Core) prepareModel(r *request) failure {
	grant, ok := r.account.Models[r.in.Model]
	switch {
	case !ok && !c.modelDeclared(r.in.Model):
		return failure{code: CodeUnknownModel, detail: r.in.Model}
	case !ok:
		return failure{code: CodeNotEntitled, detail: r.in.Model}
	case r.in.Adapter != "" && !grant.Adapters[r.in.Adapter]:
		return failure{code: CodeNotEntitled, detail: r.in.Model + " with adapter " + r.in.Adapter}
	}
	r.repeatable = true
	r.promptTokens = c.estimatePromptTokens(&r.in)
	r.maxOutput = r.in.MaxOutput
	if r.maxOutput <= 0 || (r.account.MaxOutputTokens > 0 && r.maxOutput > r.account.MaxOutputTokens) {
		r.maxOutput = r.account.MaxOutputTokens
	}
	r.band = wire.BandOf(r.promptTokens)
	if r.account.MaxPromptTokens > 0 && r.promptTokens > r.account.MaxPromptTokens {
		return failure{code: CodeTooLarge, detail: "prompt exceeds the plan's limit"}
	}
	limit := r.account.Deadlines[r.band]
	if limit <= 0 {
		limit = DefaultRequestTime
	}
	r.deadline = c.now + shorter(r.in.Deadline, limit)
	r.in.Priority = min(r.in.Priority, r.account.MaxPriority)
	return c.checkPredictedTime(r)
}

func (c *Core) modelDeclared(name string) bool {
	for i := range c.snapshot.Models {
		if c.snapshot.Models[i].Name == name {
			return true
		}
	}
	return false
}

// estimatePromptTokens returns the number of prompt tokens of a request,
// computed from its bytes if the shell did not count them.
func (c *Core) estimatePromptTokens(in *Request) int64 {
	if in.PromptTokens > 0 {
		return in.PromptTokens
	}
	perByte := defaultTokensPerByte
	if m := c.models.Get(in.Model); m != nil && m.tokensPerByte > 0 {
		perByte = m.tokensPerByte
	}
	return int64(float64(in.PromptBytes)*perByte) + 1
}

// shorter returns requested if it is set and shorter than limit, else limit.
func shorter(requested, limit time.Duration) time.Duration {
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

// checkPredictedTime refuses a request that can't finish before its deadline by
// the predicted queue, prefill and decode times, so that the caller learns it
// at once and no engine works in vain.
func (c *Core) checkPredictedTime(r *request) failure {
	m := c.models.Get(r.in.Model)
	if c.cfg.Reactive || m == nil || len(m.endpoints) == 0 || c.isGroup(m, r) {
		return failure{}
	}
	best := c.bestPrediction(m, r)
	if best < 0 {
		return failure{}
	}
	left := r.deadline - c.now
	need := best + c.decodeTime(m, r)
	if need <= left {
		return failure{}
	}
	return failure{code: CodeOverloaded, detail: "predicted not to finish in time", retryAfter: max(need-left, minRefusalRetry)}
}
