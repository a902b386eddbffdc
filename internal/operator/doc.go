// Package operator is the client side of the operator commands: calls to the
// operators' HTTP interface of running entries, and the wait until a revision is
// in effect at all of them and at their agents.
package operator
