// Package controller carries out the placement duty of one failure domain: it
// decides which engine runs which model, version and adapters. Any entry of the
// domain may do so while it holds the domain's lease in the platform's store. The
// only other state is in the endpoints' reports, so a new holder starts from the
// assignments that they show.
package controller
