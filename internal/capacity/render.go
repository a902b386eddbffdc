package capacity

import (
	"fmt"
	"strings"
)

// Render returns both tables of the page as Markdown.
func Render(slopes []Slope, lines []Line) string {
	var b strings.Builder
	b.WriteString("### Slopes\n\n| what | figure | at the sizes measured | command |\n|---|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(&b, "| %s | %s %s | %s | `%s` |\n", s.What, number(s.Value), s.Unit, s.Sizes, s.Command)
	}
	b.WriteString("\n### Sums\n\n| role | item | arithmetic | result | bound | | carried by | state |\n|---|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		bound := ""
		if l.Bound > 0 {
			bound = number(l.Bound) + " " + l.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s | %s | %s |\n", l.Role, l.Item, l.Sum, number(l.Value), l.Unit, bound, l.Verdict(), l.Mechanism, l.State)
	}
	return b.String()
}

// number prints three significant digits of small values and none behind the
// point of large ones.
func number(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
