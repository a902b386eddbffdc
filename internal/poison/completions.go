package poison

import "time"

const (
	// goodFor is how long after a completed answer a part is an unlikely cause of crashes.
	goodFor = time.Minute
	// goodWithout is how long such a part may go on without another completed answer.
	goodWithout = 6 * time.Second
	// maxCompletions bounds the parts in each generation of completions.
	maxCompletions = 4096
)

// completions are the times of the last completed answers of parts at this gateway, in
// two generations, so that old ones are dropped without a search.
type completions struct {
	recent, older map[Part]time.Duration
	since         time.Duration // start of the recent generation
}

func newCompletions() completions {
	return completions{recent: make(map[Part]time.Duration), older: make(map[Part]time.Duration), since: never}
}

func (c *completions) add(now time.Duration, p Part) {
	if len(c.recent) >= maxCompletions || c.since == never || now-c.since > goodFor {
		c.recent, c.older = c.older, c.recent
		clear(c.recent)
		c.since = now
	}
	c.recent[p] = now
}

// last returns the time of the last completed answer of a part, or never.
func (c *completions) last(p Part) time.Duration {
	if at, ok := c.recent[p]; ok {
		return at
	}
	if at, ok := c.older[p]; ok {
		return at
	}
	return never
}
