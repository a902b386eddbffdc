package gateway

import "time"

// Event is one line of the log: a decision that touches a request, or a change
// of what the gateway believes.
type Event struct {
	Name     string
	Request  string // the caller's ID of this try
	Attempt  int
	Endpoint string
	Detail   string
	Count    int
	Wait     time.Duration // since the request arrived, or the age of the input
	Took     time.Duration // predicted or measured
}
