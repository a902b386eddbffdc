package declaration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two versions of the lists. Old is empty for
// an addition, New for a removal.
type Change struct {
	Entity string // such as `account "coban"`
	Field  string // path inside the entity; empty if the entity was added or removed
	Old    string
	New    string
}

// String returns the change as one line that begins with "+", "-" or "~".
func (c Change) String() string {
	switch {
	case c.Field == "" && c.Old == "":
		return "+ " + c.Entity
	case c.Field == "" && c.New == "":
		return "- " + c.Entity
	case c.Old == "":
		return fmt.Sprintf("~ %s: %s: added %s", c.Entity, c.Field, c.New)
	case c.New == "":
		return fmt.Sprintf("~ %s: %s: removed %s", c.Entity, c.Field, c.Old)
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", c.Entity, c.Field, c.Old, c.New)
}

// Compare returns the changes from old to new: plans, accounts, models,
// services and entitlements, each in the order of their names. The order of
// entities within the lists has no meaning and is ignored.
func Compare(old, new *Lists) []Change {
	if old == nil {
		old = &Lists{}
	}
	if new == nil {
		new = &Lists{}
	}
	var out []Change
	out = append(out, compareEntities("plan", old.Plans.Plans, new.Plans.Plans, Plan.key)...)
	out = append(out, compareEntities("account", old.Plans.Accounts, new.Plans.Accounts, ClientAccount.key)...)
	out = append(out, compareEntities("model", old.Entitlements.Models, new.Entitlements.Models, ModelEntry.key)...)
	out = append(out, compareEntities("service", old.Entitlements.Services, new.Entitlements.Services, ServiceEntry.key)...)
	out = append(out, compareEntities("entitlement of plan", old.Entitlements.Entitlements, new.Entitlements.Entitlements, Entitlement.key)...)
	return out
}

// FormatChanges returns one line for each change, or a line that says there is none.
func FormatChanges(changes []Change) string {
	if len(changes) == 0 {
		return "no difference\n"
	}
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	return b.String()
}

func (p Plan) key() string          { return p.Name }
func (a ClientAccount) key() string { return string(a.ID) }
func (m ModelEntry) key() string    { return m.Name }
func (s ServiceEntry) key() string  { return s.Name }
func (e Entitlement) key() string   { return e.Plan }

func compareEntities[T any](kind string, old, new []T, key func(T) string) []Change {
	before, after := byKey(old, key), byKey(new, key)
	var out []Change
	for _, name := range mergedKeys(before, after) {
		entity := fmt.Sprintf("%s %q", kind, name)
		a, wasThere := before[name]
		b, isThere := after[name]
		switch {
		case !wasThere:
			out = append(out, Change{Entity: entity, New: entity})
		case !isThere:
			out = append(out, Change{Entity: entity, Old: entity})
		default:
			out = append(out, compareFields(entity, a, b)...)
		}
	}
	return out
}

func byKey[T any](list []T, key func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[key(v)] = v
	}
	return out
}

// mergedKeys returns the keys of both maps, sorted.
func mergedKeys[V any](a, b map[string]V) []string {
	keys := make([]string, 0, len(a))
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func compareFields(entity string, old, new any) []Change {
	oldText, newText := marshal(old), marshal(new)
	if string(oldText) == string(newText) {
		return nil
	}
	before, after := flatten(oldText, unabbreviated), flatten(newText, unabbreviated)
	shownBefore, shownAfter := flatten(oldText, shorten), flatten(newText, shorten)
	var out []Change
	for _, field := range mergedKeys(before, after) {
		if before[field] == after[field] {
			continue
		}
		c := Change{Entity: entity, Field: field, Old: shownBefore[field], New: shownAfter[field]}
		if c.Old == c.New { // they differ in what shorten cuts off
			c.Old, c.New = before[field], after[field]
		}
		out = append(out, c)
	}
	return out
}

func marshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return []byte("null") // NaN has no JSON; Validate refuses it
	}
	return text
}

// flatten maps the path of each scalar and each list of scalars in a JSON text to
// its value as text. show turns an element of a list into text.
func flatten(text []byte, show func(string) string) map[string]string {
	out := make(map[string]string)
	var v any
	if json.Unmarshal(text, &v) == nil {
		flattenInto(out, "", v, show)
	}
	return out
}

func flattenInto(out map[string]string, path string, v any, show func(string) string) {
	switch v := v.(type) {
	case map[string]any:
		for name, child := range v {
			flattenInto(out, strings.TrimPrefix(path+"."+name, "."), child, show)
		}
	case []any:
		flattenList(out, path, v, show)
	default:
		out[path] = string(marshal(v))
	}
}

// flattenList identifies objects in a list by the model or service that they
// refer to instead of by index, so that a change names it.
func flattenList(out map[string]string, path string, list []any, show func(string) string) {
	scalars := make([]string, 0, len(list))
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			scalars = append(scalars, show(string(marshal(element))))
			continue
		}
		name := fmt.Sprint(cmp.Or(object["model"], object["service"]))
		out[path+"["+name+"]"] = "allowed"
		for field, child := range object {
			if field != "model" && field != "service" {
				flattenInto(out, path+"["+name+"]."+field, child, show)
			}
		}
	}
	if len(scalars) > 0 {
		slices.Sort(scalars)
		out[path] = "[" + strings.Join(scalars, " ") + "]"
	}
}

// shownHashDigits is the number of hexadecimal digits of a key hash that a change
// shows.
const shownHashDigits = 12

// shorten abbreviates a JSON string as long as that of a key hash. Names of
// MaxNameBytes are abbreviated too.
func shorten(text string) string {
	if len(text) != 2*len(KeyHash{})+2 {
		return text
	}
	return text[1:1+shownHashDigits] + "…"
}

func unabbreviated(text string) string { return text }
