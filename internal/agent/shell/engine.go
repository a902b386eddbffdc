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

	resumePause = 100 * time.Millisecond // doubled at each attempt to resume an answer
	maxResumes  = 5                      // of one answer
)

// engineHandler receives the engine's events and output.
type engineHandler struct{ agent *Agent }

// Event implements enginehttp.Handler.
func (h *engineHandler) Event(ev engine.Event) {
	a := h.agent
	switch {
	case ev.Finished != nil && ev.Finished.Handle == "":
		a.closeAnswer(ev.Finished)
	case ev.Failed != nil && ev.Failed.Reason == engine.FailLost:
		if a.resume(ev.Failed) {
			return
		}
	}
	a.enqueue(a.context(), agent.Input{Engine: &ev})
}

// Text implements enginehttp.Handler.
func (h *engineHandler) Text(id engine.SequenceID, tokens int, data []byte) {
	if ans := h.agent.answerOf(id); ans != nil {
		ans.data(h.agent.context(), data, tokens)
	}
}

func (a *Agent) answerOf(id engine.SequenceID) *answerStream {
	attempt, ok := agent.ParseSequence(id)
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
	ans.close(a.context(), wire.FrameTotal{
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
		go a.call("cancel", func(ctx context.Context) error { return a.engine.Cancel(ctx, *cmd.Cancel) })
	case cmd.Drop != nil:
		go a.call("drop", func(ctx context.Context) error { return a.engine.Drop(ctx, *cmd.Drop) })
	case cmd.Load != nil:
		go a.load(ctx, *cmd.Load)
	case cmd.Query:
		go a.query(ctx)
	}
}

// call makes one call to the engine within commandTimeout. An error is only
// logged: the engine's state shows the core that the call had no effect.
func (a *Agent) call(name string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(a.context(), commandTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		a.cfg.Log.Warn().Str("event", "engine-call").Str("call", name).Err(err).Send()
	}
}

// load orders a load. An error is only logged: the core learns the result from a
// Loaded event or from the engine's state.
func (a *Agent) load(ctx context.Context, l engine.Load) {
	if err := a.engine.Load(ctx, l); err != nil {
		a.cfg.Log.Warn().Str("event", "engine-call").Str("call", "load").Err(err).Send()
	}
}

func (a *Agent) query(ctx context.Context) {
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
			refused := errors.Is(err, syscall.ECONNREFUSED)
			if up || (refused && !lost) {
				a.enqueue(ctx, agent.Input{EngineDown: &agent.EngineDown{Lost: refused}})
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
