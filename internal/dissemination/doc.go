// Package dissemination distributes the newest revision of the declarations to every
// entry and keeps it there.
//
// A few entries of each failure domain, chosen by rendezvous hashing, watch the
// root of the declarations (declaration.Root) in the platform's store. An entry with
// a new revision announces it to a few peers, which fetch the difference from it and
// announce in turn, so that the revision reaches all entries even if the store goes
// down right after the first entry has received it. Periodic announcements make up
// for lost messages; an entry that receives an announcement of an older revision
// than its own answers with its own. The active revision of a Core never decreases.
//
// Core is a state machine without I/O, clock or goroutines. It is not safe for
// concurrent use.
package dissemination
