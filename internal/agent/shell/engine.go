package shell

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	commandTimeout = 10 * time.Second
	stateTimeout   = 2 * time.Second

	// Pauses between probes of an engine that does not answer.
	minProbePause = 50 * time.Millisecond
	maxProbePause = 2 * time.Second

	resumePause = 100 * time.Millisecond // doubled before each try to resume an answer, the first included
	maxResumes  = 5                      // of one answer
)

// engineHandler receives the engine's events and output.
type engineHandler struct{ agent *Agent }

// Event implements enginehttp.Handler.
func (h *engineHandler) Event(ev engine.Event) {
	a := h.agent
	switch {
	case ev.Finished != nil && ev.Finished.Handle == "": // an export, which has a handle, generates no answer
		a.closeAnswer(ev.Finished)
	case ev.Failed != nil && ev.Failed.Reason == engine.FailLost:
		if a.resume(ev.Failed) {
			return
		}
	}
	a.enqueue(a.runContext(), agent.Input{Engine: &ev})
}

// Text implements enginehttp.Handler.
func (h *engineHandler) Text(id engine.SequenceID, tokens int, data []byte) {
	ans := h.agent.answerOf(id)
	if ans == nil || ans.ctx.Err() != nil || ans.data(h.agent.runContext(), data, tokens) {
		return
	}
	h.agent.breakOff(id, ans)
}

// breakOff ends the answer of an engine that sends more than the output limit allows.
func (a *Agent) breakOff(id engine.SequenceID, ans *answerStream) {
	ans.cancel()
	a.cfg.Log.Warn().Str("event", "answer-too-long").Stringer("attempt", ans.id).Int64("limit", ans.maxOutput).Send()
	a.enqueue(a.runContext(), agent.Input{Engine: &engine.Event{Failed: &engine.Failed{ID: id, Reason: engine.FailLost}}})
}

func (a *Agent) answerOf(id engine.SequenceID) *answerStream {
	attempt, ok := agent.ParseSequenceID(id)
	if !ok {
		return nil
	}
	return a.answers.get(attempt)
}

func (a *Agent) closeAnswer(f *engine.Finished) {
	ans := a.answerOf(f.ID)
	if ans == nil {
		return
	}
	ans.close(a.runContext(), wire.FrameTotal{
		PromptTokens: f.PromptTokens,
		CachedTokens: f.CachedTokens,
		OutputTokens: f.Output,
	})
}

// resume schedules reading the rest of an answer whose connection broke, as long
// as the engine may still hold the sequence. It reports whether it did so.
func (a *Agent) resume(f *engine.Failed) bool {
	ans := a.answerOf(f.ID)
	if ans == nil || (f.Rejected && !ans.resumed()) {
		return false
	}
	f.Rejected = false // the engine accepted the sequence before the connection broke
	from, tries := ans.beginResume()
	if tries > maxResumes || ans.endedAt.Load() != 0 {
		return false
	}
	time.AfterFunc(jittered(resumePause<<tries), func() {
		if ans.ctx.Err() == nil {
			a.engine.Resume(ans.ctx, f.ID, from)
		}
	})
	return true
}

// commandEngine executes a command of the core without waiting for it.
func (a *Agent) commandEngine(ctx context.Context, c *agent.EngineCommand) {
	cmd := c.Command
	switch {
	case cmd.Submit != nil:
		ans := a.answers.open(ctx, c.Attempt, cmd.Submit.MaxOutput)
		a.engine.Submit(ans.ctx, *cmd.Submit, a.bodies.take(c.Attempt))
	case cmd.Cancel != nil:
		go a.callEngine("cancel", func(ctx context.Context) error { return a.engine.Cancel(ctx, *cmd.Cancel) })
	case cmd.Drop != nil:
		go a.callEngine("drop", func(ctx context.Context) error { return a.engine.Drop(ctx, *cmd.Drop) })
	case cmd.Load != nil:
		go a.loadEngine(ctx, *cmd.Load)
	case cmd.Query:
		go a.queryEngine(ctx)
	}
}

// callEngine makes one call to the engine within commandTimeout. An error is only
// logged: the engine's state shows the core that the call had no effect.
func (a *Agent) callEngine(name string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(a.runContext(), commandTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		a.cfg.Log.Warn().Str("event", "engine-call").Str("call", name).Err(err).Send()
	}
}

// loadEngine orders a load. An error is only logged: no Loaded event follows, and the
// core reads from the engine's state that a load which the engine did not accept has
// failed. There is no timeout, since the Loaded event needs ctx until the load ends.
func (a *Agent) loadEngine(ctx context.Context, l engine.Load) {
	if err := a.engine.Load(ctx, l); err != nil {
		a.cfg.Log.Warn().Str("event", "engine-call").Str("call", "load").Err(err).Send()
	}
}

func (a *Agent) queryEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, err := a.engine.State(ctx)
	if err != nil {
		return // watchEngine detects that the engine does not answer
	}
	a.enqueue(ctx, agent.Input{Engine: &engine.Event{State: &s}})
}

// watchEngine notifies the core when the engine starts and stops answering.
func (a *Agent) watchEngine(ctx context.Context) error {
	up, lost := false, false // lost: a refused connection was reported since the engine last answered
	pause := minProbePause
	for {
		s, err := a.probe(ctx)
		if err == nil {
			up, lost, pause = true, false, minProbePause
			a.enqueue(ctx, agent.Input{EngineUp: &agent.EngineUp{State: s}})
			_ = a.engine.Watch(ctx) // the next probe shows whether the engine still answers
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			refused := errors.Is(err, syscall.ECONNREFUSED) // no process listens: the engine and its memory are gone
			if up || (refused && !lost) {
				a.enqueue(ctx, agent.Input{EngineDown: &agent.EngineDown{ProcessEnded: refused}})
			}
			up, lost = false, lost || refused
		}
		if !sleep.For(ctx, jittered(pause)) {
			return nil
		}
		pause = min(2*pause, maxProbePause)
	}
}

func (a *Agent) probe(ctx context.Context) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return a.engine.State(ctx)
}
