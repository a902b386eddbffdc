package enginemodel

import (
	"slices"
	"strconv"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// accept queues a sequence or refuses it. A repeated Submit of a sequence that the
// engine holds is confirmed without any other effect.
func (m *Model) accept(sub engine.Submit) {
	m.ledger.Submitted++
	if _, ok := m.seqs[sub.ID]; ok {
		m.emit(engine.Event{Accepted: &engine.Accepted{ID: sub.ID}})
		return
	}
	s := m.newSequence(sub)
	if reason := m.refusal(s); reason != 0 {
		m.ledger.Rejected++
		m.emit(engine.Event{Failed: &engine.Failed{ID: sub.ID, Reason: reason, Rejected: true}})
		return
	}
	m.seqs[sub.ID] = s
	m.waiting = insertOrdered(m.waiting, s)
	m.emit(engine.Event{Accepted: &engine.Accepted{ID: sub.ID}})
}

func (m *Model) newSequence(sub engine.Submit) *sequence {
	m.arrivals++
	s := &sequence{submit: sub, order: m.arrivals, started: m.now}
	s.prompt = int64(float64(sub.PromptTokens) * m.cfg.TokensPerEstimate)
	if sub.Export {
		return s
	}
	s.total = max(sub.MaxOutput, 1)
	if m.cfg.OutputTokens != nil {
		s.total = max(min(s.total, m.cfg.OutputTokens(sub)), 1)
	}
	return s
}

// refusal returns the reason to refuse a sequence, or 0. It calls staleSubmit, which
// records the incarnation.
func (m *Model) refusal(s *sequence) engine.FailReason {
	sub := &s.submit
	switch {
	case m.staleSubmit(sub):
		return engine.FailFence
	case sub.Model != m.have.Model || sub.Adapter != "" && !slices.Contains(m.have.Adapters, sub.Adapter):
		return engine.FailModel
	case s.prompt <= 0:
		return engine.FailInvalid
	case s.prompt+max(sub.MaxOutput, 1) > m.cfg.CapacityTokens:
		return engine.FailTooLarge
	case len(m.waiting) >= m.cfg.MaxWaiting:
		return engine.FailMemory
	}
	return 0
}

// admit starts waiting sequences in order until the next one does not fit into free
// memory or MaxRunning is reached. Later, smaller ones don't overtake it.
func (m *Model) admit(now time.Duration) {
	for len(m.waiting) > 0 && m.running() < m.cfg.MaxRunning {
		s := m.waiting[0]
		need := s.prompt + s.out
		if need+m.growth()+1 > m.free() {
			return
		}
		m.waiting = slices.Delete(m.waiting, 0, 1)
		m.begin(now, s, need)
	}
}

func (m *Model) begin(now time.Duration, s *sequence, need int64) {
	imported, ok := m.importTokens(s)
	if !ok {
		m.fail(s, engine.FailHandle)
		return
	}
	m.used += need
	s.imported = imported
	if imported == 0 {
		m.startPrefill(s)
		return
	}
	s.phase = phaseImporting
	m.importing++
	m.importers = append(m.importers, s)
	m.ledger.ImportedTokens += imported
	transfer := time.Duration(imported) * m.cfg.ImportPerToken
	m.schedule(timer{at: now + transfer, imported: s})
}

func (m *Model) startPrefill(s *sequence) {
	s.phase = phasePrefill
	s.cached = min(m.cache.lookup(s.submit.Prefixes)*m.cfg.BlockTokens, s.prompt-1)
	s.remaining = s.prompt + s.out - s.cached
	m.ledger.CachedTokens += s.cached
	m.prefilling = insertOrdered(m.prefilling, s)
}

func (m *Model) finishImport(s *sequence) {
	if s.phase != phaseImporting {
		return
	}
	m.importing--
	m.startPrefill(s)
}

// finishPrefill counts the output token that a finished prefill yields and moves the
// sequence to phaseDecode, or exports its KV cache.
func (m *Model) finishPrefill(s *sequence) {
	m.prefilling = removeFrom(m.prefilling, s)
	m.cachePrompt(s)
	if s.submit.Export {
		m.export(s)
		return
	}
	s.out++
	m.used++
	m.ledger.OutputTokens++
	m.startDecode(s)
	if !s.firstSent {
		s.firstSent = true
		m.emit(engine.Event{First: &engine.First{ID: s.submit.ID, PromptTokens: s.prompt, CachedTokens: s.cached}})
	}
	if s.out >= s.total {
		m.finish(s)
	}
}

// finish ends a decoding sequence that has generated all its output.
func (m *Model) finish(s *sequence) {
	m.release(s)
	m.ledger.Finished++
	m.record(s, SequenceFinished)
	m.emit(engine.Event{Finished: &engine.Finished{
		ID: s.submit.ID, PromptTokens: s.prompt, CachedTokens: s.cached, Output: s.out,
	}})
}

// export keeps the memory of a sequence under a handle.
func (m *Model) export(s *sequence) {
	m.handleSeq++
	handle := "kv-" + m.cfg.Name + "-" + strconv.FormatUint(m.handleSeq, 10)
	m.release(s)
	m.used += s.prompt
	m.handles.Put(handle, s.prompt)
	m.cfg.Exchange.publish(handle, s.prompt)
	m.ledger.Finished++
	m.record(s, SequenceFinished)
	m.emit(engine.Event{Finished: &engine.Finished{
		ID: s.submit.ID, PromptTokens: s.prompt, CachedTokens: s.cached, Handle: handle,
	}})
}

// release removes a sequence from the engine and frees its memory.
func (m *Model) release(s *sequence) {
	m.detach(s)
	delete(m.seqs, s.submit.ID)
}

// detach removes a sequence from the list of its phase, frees its memory and sets
// phaseWaiting. The caller adds it to Model.waiting or deletes it.
func (m *Model) detach(s *sequence) {
	m.used -= s.held(m.step)
	switch s.phase {
	case phaseWaiting:
		m.waiting = removeFrom(m.waiting, s)
	case phaseImporting:
		m.importing--
	case phasePrefill:
		m.prefilling = removeFrom(m.prefilling, s)
	case phaseDecode:
		m.stopDecode(s)
	}
	if s.imported > 0 {
		m.importers = removeFrom(m.importers, s)
	}
	s.phase = phaseWaiting
}

// fail ends a sequence that can't continue.
func (m *Model) fail(s *sequence, reason engine.FailReason) {
	m.release(s)
	m.ledger.Failed++
	m.record(s, SequenceFailed)
	m.emit(engine.Event{Failed: &engine.Failed{ID: s.submit.ID, Reason: reason, Rejected: !s.worked}})
}

// cancel ends a sequence on request. It confirms the cancellation of an unknown
// sequence too.
func (m *Model) cancel(id engine.SequenceID) {
	s, ok := m.seqs[id]
	if !ok {
		m.emit(engine.Event{Failed: &engine.Failed{ID: id, Reason: engine.FailCancelled}})
		return
	}
	m.release(s)
	m.ledger.Cancelled++
	m.record(s, SequenceCancelled)
	m.emit(engine.Event{Failed: &engine.Failed{ID: id, Reason: engine.FailCancelled, Rejected: !s.worked}})
}

func (m *Model) dropHandle(handle string) {
	tokens := m.handles.Get(handle)
	if tokens == nil {
		return
	}
	m.used -= *tokens
	m.handles.Delete(handle)
	m.handles.Compact()
	m.cfg.Exchange.withdraw(handle)
}

// importTokens returns the KV cache tokens of the handles that a sequence imports, and
// false if one of the handles does not exist.
func (m *Model) importTokens(s *sequence) (int64, bool) {
	total := int64(0)
	for _, handle := range s.submit.Imports {
		tokens, ok := m.cfg.Exchange.Tokens(handle)
		if !ok {
			return 0, false
		}
		total += tokens
	}
	return total, true
}

// checkImports fails the sequences whose imported KV cache no longer exists, since the
// engine keeps reading it from the exporting engine.
func (m *Model) checkImports() {
	for i := len(m.importers) - 1; i >= 0; i-- {
		s := m.importers[i]
		if _, ok := m.importTokens(s); !ok {
			m.fail(s, engine.FailHandle)
		}
	}
}
