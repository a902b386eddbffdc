// Package spread is the machine by which every entry learns the newest revision
// of the declarations and keeps it.
//
// A few entries of each failure domain, chosen by rendezvous hashing, wait for
// changes of the root in the platform's store. An entry with a new revision
// announces it to a few peers, which fetch the difference from it and announce
// in turn, so that the revision reaches all entries even if the store goes down
// right after the first has it. Periodic announcements repair what was lost; an
// entry that hears of an older revision than its own answers with an
// announcement. The revision in force at a machine never decreases.
//
// The machine has no I/O, clock or goroutine. It is not safe for concurrent use.
package spread
