package capacity

import (
	"fmt"
	"strings"
)

// Render returns both tables of docs/CAPACITY.md as Markdown.
func Render(slopes []Slope, lines []Line) string {
	var b strings.Builder
	b.WriteString("### Slopes\n\n| what | figure | at the sizes measured | command |\n|---|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(&b, "| %s | %s %s | %s | `%s` |\n", s.What, formatNumber(s.Value), s.Unit, s.Sizes, s.Command)
	}
	b.WriteString("\n### Sums\n\n| role | item | arithmetic | result | bound | | carried by | state |\n|---|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		bound := ""
		if l.Bound > 0 {
			bound = formatNumber(l.Bound) + " " + l.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s | %s | %s |\n", l.Role, l.Item, l.Sum, formatNumber(l.Value), l.Unit, bound, l.Verdict(), l.Mechanism, l.State)
	}
	return b.String()
}

// formatNumber formats v with no decimals from 100, one decimal from 1, and three
// significant digits below 1.
func formatNumber(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
