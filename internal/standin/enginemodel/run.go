package enginemodel

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// stepRun is a run of identical steps: in each step the same sequences decode and the
// same prompts are prefilled by the same number of tokens.
type stepRun struct {
	active   bool
	start    time.Duration
	stepTime time.Duration
	steps    int64
	shares   []share // prompt tokens of one step
}

// share is the number of tokens of one prompt that each step prefills.
type share struct {
	seq    *sequence
	tokens int64
}

func (r *stepRun) end() time.Duration {
	return r.start + time.Duration(r.steps)*r.stepTime
}

// interrupt ends the run of steps with the step in progress, so that the next step
// takes a change into account. An idle engine starts a run at once.
func (m *Model) interrupt(now time.Duration) {
	if !m.run.active {
		m.startRun(now)
		return
	}
	done := int64(0)
	if now > m.run.start {
		done = int64((now - m.run.start) / m.run.stepTime)
	}
	m.run.steps = min(m.run.steps, done+1)
}

// startRun admits waiting sequences and plans the next run of steps.
func (m *Model) startRun(now time.Duration) {
	m.now = now
	m.checkImports()
	m.admit(now)
	m.ensureMemory()
	if len(m.prefilling)+len(m.decoding) == 0 {
		m.run.active = false
		return
	}
	m.run.active = true
	m.run.start = now
	m.divideStep()
	m.run.stepTime = m.stepCost()
	m.run.steps = m.countSteps()
}

// divideStep divides the prompt tokens of a step: to prompts of higher priority first,
// and evenly among the prompts of one priority.
func (m *Model) divideStep() {
	m.run.shares = m.run.shares[:0]
	left := max(m.cfg.StepTokens-int64(len(m.decoding)), m.cfg.MinPrefillTokens)
	partial := m.prefilling[:min(len(m.prefilling), m.cfg.PartialPrefills)]
	for len(partial) > 0 && left > 0 {
		n := countSamePriority(partial)
		left = m.divideClass(partial[:n], left)
		partial = partial[n:]
	}
}

// countSamePriority returns how many leading sequences share the first one's priority.
func countSamePriority(list []*sequence) int {
	n := 1
	for n < len(list) && list[n].submit.Priority == list[0].submit.Priority {
		n++
	}
	return n
}

// divideClass divides a budget of tokens among prompts of one priority and returns the
// rest. Tokens that a short prompt does not need go to the others.
func (m *Model) divideClass(class []*sequence, budget int64) int64 {
	first := len(m.run.shares)
	for _, s := range class {
		m.run.shares = append(m.run.shares, share{seq: s})
	}
	shares := m.run.shares[first:]
	for open := int64(len(shares)); open > 0 && budget > 0; {
		part := max(budget/open, 1)
		open = 0
		for i := range shares {
			more := min(part, shares[i].seq.remaining-shares[i].tokens, budget)
			shares[i].tokens += more
			budget -= more
			if shares[i].tokens < shares[i].seq.remaining {
				open++
			}
		}
	}
	return budget
}

// stepCost returns the duration of one step of the planned run.
func (m *Model) stepCost() time.Duration {
	cost := m.cfg.StepBase
	cost += time.Duration(len(m.decoding)) * m.cfg.StepPerSequence
	cost += time.Duration(m.used) * m.cfg.StepPerKVToken
	for _, sh := range m.run.shares {
		position := sh.seq.imported + sh.seq.prompt + sh.seq.out - sh.seq.remaining
		attention := 1 + float64(position)/float64(m.cfg.AttentionTokens)
		cost += time.Duration(float64(sh.tokens) * attention * float64(m.cfg.PrefillPerToken))
	}
	return max(time.Duration(float64(cost)*m.slowFactor), 1)
}

// countSteps returns how many steps can be identical to the planned one.
func (m *Model) countSteps() int64 {
	steps := int64(maxRunSteps)
	for _, sh := range m.run.shares {
		if sh.tokens == 0 {
			continue
		}
		steps = min(steps, sh.seq.remaining/sh.tokens, max(maxRunPrefill/sh.tokens, 1))
	}
	if n := int64(len(m.decoding)); n > 0 {
		steps = min(steps, m.ends[0].endStep-m.step)
		steps = min(steps, m.reported+m.cfg.ProgressSteps-m.step)
		steps = min(steps, (m.free()-int64(len(m.run.shares)))/n)
	}
	return max(steps, 1)
}

// finishRun applies the effects of the run of steps that has ended.
func (m *Model) finishRun() {
	m.now = m.run.end()
	m.run.active = false
	steps := m.run.steps
	m.step += steps
	m.used += steps * int64(len(m.decoding))
	m.ledger.OutputTokens += steps * int64(len(m.decoding))
	m.updateRates(steps)
	for len(m.ends) > 0 && m.ends[0].endStep <= m.step {
		m.finish(m.ends[0])
	}
	for _, sh := range m.run.shares {
		m.advancePrefill(sh, steps)
	}
	m.reportProgress()
}

func (m *Model) advancePrefill(sh share, steps int64) {
	s := sh.seq
	if s.phase != phasePrefill || sh.tokens == 0 {
		return
	}
	done := min(sh.tokens*steps, s.remaining)
	s.remaining -= done
	s.worked = true
	m.ledger.PrefillTokens += done
	if s.remaining == 0 {
		m.finishPrefill(s)
	}
}

// updateRates updates the recent rates that State reports.
func (m *Model) updateRates(steps int64) {
	elapsed := (time.Duration(steps) * m.run.stepTime).Seconds()
	prefilled := int64(0)
	for _, sh := range m.run.shares {
		prefilled += sh.tokens * steps
	}
	if prefilled > 0 {
		m.prefillRate += rateSmoothing * (float64(prefilled)/elapsed - m.prefillRate)
	}
	if len(m.decoding) > 0 {
		m.decodeRate += rateSmoothing * (float64(steps)/elapsed - m.decodeRate)
	}
}

// reportProgress emits the Progress of all decoding sequences when it is due.
func (m *Model) reportProgress() {
	if m.step-m.reported < m.cfg.ProgressSteps {
		return
	}
	m.reported = m.step
	for _, s := range m.decoding {
		output := s.output(m.step)
		if output > 1 { // First reports the first token
			m.emit(engine.Event{Progress: &engine.Progress{ID: s.submit.ID, Output: output}})
		}
	}
}
