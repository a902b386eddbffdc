// Package doccheck lets tests compare reference pages in Markdown with the structs
// that the pages describe.
package doccheck

import (
	"encoding"
	"reflect"
	"slices"
	"strings"
)

// FieldPaths returns the paths of all fields of a struct with json tags, such as
// "accounts[].limits.concurrency", sorted. A struct yields the paths of its
// fields and none of its own, unless it decodes from text: then it yields its own
// path only.
func FieldPaths(v any) []string {
	var out []string
	walk(&out, "", reflect.TypeOf(v))
	slices.Sort(out)
	return out
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// walk appends to out the paths of t, which is at path.
func walk(out *[]string, path string, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct && !isText(t.Elem()) {
		path += "[]"
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || isText(t) {
		*out = append(*out, path)
		return
	}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		walk(out, strings.TrimPrefix(path+"."+name, "."), t.Field(i).Type)
	}
}

// isText reports whether values of t decode from text.
func isText(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textUnmarshaler) }

// TableRows returns the table rows of a Markdown section whose first cell is in
// backquotes: the key is the first cell without backquotes, the value holds the
// other cells. The section begins with the given heading line and ends with the
// next heading of the same or a higher level.
func TableRows(markdown, heading string) map[string][]string {
	rows := make(map[string][]string)
	for _, line := range section(markdown, heading) {
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if strings.HasPrefix(line, "| `") {
			rows[strings.Trim(cells[0], "`")] = cells[1:]
		}
	}
	return rows
}

// RowNames returns the keys of rows, sorted.
func RowNames(rows map[string][]string) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// section returns the lines below a heading, see TableRows.
func section(markdown, heading string) []string {
	level := strings.Index(heading, " ")
	var out []string
	inside := false
	for line := range strings.Lines(markdown) {
		line = strings.TrimRight(line, "\n")
		switch {
		case line == heading:
			inside = true
		case inside && isHeading(line) && strings.Index(line, " ") <= level:
			return out
		case inside:
			out = append(out, line)
		}
	}
	return out
}

func isHeading(line string) bool {
	return strings.HasPrefix(strings.TrimLeft(line, "#"), " ") && line[0] == '#'
}
