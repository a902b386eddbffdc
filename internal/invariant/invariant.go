// Package invariant checks conditions that must hold whatever fails outside the
// program. A violation is a defect of the program itself: the check panics with
// *Violation, and the package shell of the agent, entry or gateway logs it, dumps
// the state and stops the process. In a simulated run, package soak recovers it.
package invariant

import (
	"fmt"
	"strings"
)

// Violation describes a broken invariant.
type Violation struct {
	Name   string // the condition that must hold, as a sentence or a short code; without values, so that it is stable
	Detail string // key=value pairs
}

// Error implements error.
func (v *Violation) Error() string {
	if v.Detail == "" {
		return "invariant violated: " + v.Name
	}
	return "invariant violated: " + v.Name + ": " + v.Detail
}

// Check panics with *Violation unless ok. The args are alternating keys and
// values for its Detail; a last key without a value is left out.
func Check(ok bool, name string, args ...any) {
	if ok {
		return
	}
	Fail(name, args...)
}

// Fail panics with *Violation; its args are those of Check. Code on hot paths
// tests the condition itself and calls Fail, so that the arguments cost nothing
// while it holds.
func Fail(name string, args ...any) {
	panic(&Violation{Name: name, Detail: detail(args)})
}

// Recover turns a panic of Check or Fail into its *Violation. It returns nil
// for a nil value and panics again with anything else. Use it as
// invariant.Recover(recover()).
func Recover(recovered any) *Violation {
	if recovered == nil {
		return nil
	}
	v, ok := recovered.(*Violation)
	if !ok {
		panic(recovered)
	}
	return v
}

// detail formats alternating keys and values as key=value pairs. A last key
// without a value is left out.
func detail(args []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(args); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%v=%v", args[i], args[i+1])
	}
	return b.String()
}
