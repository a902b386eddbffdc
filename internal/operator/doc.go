// Package operator is the client side of the operator commands: calls to the
// operators' HTTP interface of running entries, and the wait until a revision is
// in force everywhere.
package operator
