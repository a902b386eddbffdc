package endpointlimit

import (
	"testing"
	"time"
)

func statement(limit float64, sentMS, receivedMS int) Statement {
	return Statement{Limit: limit, Sent: time.Duration(sentMS) * time.Millisecond, Received: time.Duration(receivedMS) * time.Millisecond}
}

func TestOvertakenAnswerDoesNotChangeTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		statements []Statement
		want       float64
	}{
		"none sent before the limit was heard": {[]Statement{statement(1.2, 100, 200), statement(0, 150, 400)}, 1.2},
		"none sent long before":                {[]Statement{statement(0, 0, 10), statement(1.2, 100, 200), statement(0, 50, 90)}, 1.2},
		"limit received before the end":        {[]Statement{statement(1.2, 100, 200), statement(0, 300, 400), statement(1.2, 120, 250)}, 0},
		"limit that may be later than the end": {[]Statement{statement(1.2, 100, 200), statement(0, 300, 400), statement(1.2, 320, 450)}, 1.2},
		"lower limit that may be later":        {[]Statement{statement(2.7, 100, 200), statement(1.2, 150, 250)}, 1.2},
		"higher limit that may be earlier":     {[]Statement{statement(1.2, 100, 200), statement(2.7, 150, 250)}, 1.2},
		"second answer that may be earlier":    {[]Statement{statement(1.2, 100, 200), statement(1.2, 150, 600), statement(0, 300, 700)}, 0},
		"the same statement again":             {[]Statement{statement(1.2, 100, 200), statement(0, 300, 400), statement(0, 300, 400)}, 0},
	} {
		var b Belief
		for _, s := range c.statements {
			b.Add(s)
		}
		if b.Limit() != c.want {
			t.Errorf("%s: limit %g, want %g", name, b.Limit(), c.want)
		}
	}
}

func TestLaterAnswerChangesOrEndsTheLimit(t *testing.T) {
	var b Belief
	for i, limit := range []float64{0, 1.2, 2.7, 0.5, 0, 3} {
		changed := b.Add(statement(limit, 100*i, 100*i+50))
		if b.Limit() != limit || changed != (i > 0) {
			t.Errorf("statement %d: limit %g, changed %v, want %g, %v", i, b.Limit(), changed, limit, i > 0)
		}
	}
}
