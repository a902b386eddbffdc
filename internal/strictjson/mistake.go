package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Mistake is one error in a file. Line starts at 1; it is 0 if the value did not
// come from a file.
type Mistake struct {
	File    string
	Line    int
	Field   string // path such as "accounts[3].limits.concurrency"; empty for the whole file
	Problem string
}

// String returns "file:line: field: problem".
func (m Mistake) String() string {
	var b strings.Builder
	b.WriteString(m.File)
	if m.Line > 0 {
		fmt.Fprintf(&b, ":%d", m.Line)
	}
	b.WriteString(": ")
	if m.Field != "" {
		b.WriteString(m.Field + ": ")
	}
	b.WriteString(m.Problem)
	return b.String()
}

// Mistakes is an error that lists the mistakes of each file in the order of lines.
type Mistakes []Mistake

// Error returns one line for each mistake.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Join merges the mistakes of several documents into one error of type Mistakes.
// It returns nil if there are none.
func Join(docs ...*Document) error {
	var all Mistakes
	for _, d := range docs {
		all = append(all, d.sorted()...)
	}
	if len(all) == 0 {
		return nil
	}
	return all
}

func (d *Document) sorted() Mistakes {
	ms := append(Mistakes(nil), d.mistakes...)
	sort.SliceStable(ms, func(i, j int) bool { return ms[i].Line < ms[j].Line })
	return ms
}
