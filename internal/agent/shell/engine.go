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
	minProbe       = 50 * time.Millisecond
	maxProbe       = 2 * time.Second
	resumePause    = 100 * time.Millisecond
	maxResumes     = 5
)

// engineHandler receives what the engine reports.
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
	a.give(a.context(), agent.Input{Engine: &ev})
}

// Text implements enginehttp.Handler.
func (h *engineHandler) Text(id engine.SequenceID, tokens int, data []byte) {
	if row := h.agent.answerOf(id); row != nil {
		row.data(h.agent.context(), data, tokens)
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
	row := a.answerOf(f.ID)
	if row == nil {
		return
	}
	row.close(a.context(), wire.FrameTotal{
		PromptTokens: f.PromptTokens,
		CachedTokens: f.CachedTokens,
		OutputTokens: f.Output,
	})
}

// resume reads on behind a broken answer connection, as long as the engine may
// still hold the sequence. It reports whether it does.
func (a *Agent) resume(f *engine.Failed) bool {
	row := a.answerOf(f.ID)
	if row == nil || (f.Rejected && !row.resumed()) {
		return false
	}
	f.Rejected = false // the engine had taken the sequence before
	from, tries := row.resumeFrom()
	if tries > maxResumes || row.retired.Load() != 0 {
		return false
	}
	time.AfterFunc(jittered(resumePause<<tries), func() {
		if row.ctx.Err() == nil {
			a.engine.Resume(row.ctx, f.ID, from)
		}
	})
	return true
}

// commandEngine carries out a command of the core without waiting for it.
func (a *Agent) commandEngine(ctx context.Context, c *agent.EngineCommand) {
	cmd := c.Command
	switch {
	case cmd.Submit != nil:
		row := a.answers.open(ctx, c.Attempt, cmd.Submit.MaxOutput)
		a.engine.Submit(row.ctx, *cmd.Submit, a.bodies.take(c.Attempt))
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

// call makes one bounded call to the engine. The core learns from the engine's
// state if it had no effect.
func (a *Agent) call(name string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(a.context(), commandTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		a.cfg.Log.Warn().Str("event", "engine-call").Str("call", name).Err(err).Send()
	}
}

// load orders a load. A load that the engine has surely not taken has failed.
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
		return // the watch notices
	}
	a.give(ctx, agent.Input{Engine: &engine.Event{State: &s}})
}

// watchEngine tells the core when the engine answers and when it does not.
func (a *Agent) watchEngine(ctx context.Context) error {
	up, lost := false, false
	probe := minProbe
	for {
		s, err := a.probe(ctx)
		if err == nil {
			up, lost, probe = true, false, minProbe
			a.give(ctx, agent.Input{EngineUp: &agent.EngineUp{State: s}})
			_ = a.engine.Watch(ctx) // its end is looked into by the next probe
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			gone := errors.Is(err, syscall.ECONNREFUSED)
			if up || (gone && !lost) {
				a.give(ctx, agent.Input{EngineDown: &agent.EngineDown{Lost: gone}})
			}
			up, lost = false, lost || gone
		}
		if !sleep.For(ctx, jittered(probe)) {
			return nil
		}
		probe = min(2*probe, maxProbe)
	}
}

func (a *Agent) probe(ctx context.Context) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return a.engine.State(ctx)
}
