package gateway

import "time"

// Event is one line of the log: a decision on a request, or a change of the
// gateway's view of endpoints and peers.
type Event struct {
	Name     string
	Request  string // the caller's ID of this request
	Attempt  int
	Endpoint string
	Detail   string        // further values, by Name
	Count    int           // a number whose meaning depends on Name
	Wait     time.Duration // time since the request arrived, or age of the input
	Took     time.Duration // predicted or measured duration
}
