package wire

import "strconv"

// NodeID names one entry process, such as "entry-antigua-1". It comes from the
// process settings and survives restarts.
type NodeID string

// EndpointID names one endpoint, such as "luthier-07". It comes from the
// settings of the agent that serves the endpoint and survives restarts.
type EndpointID string

// FailureDomain names a set of VMs that may fail together.
type FailureDomain string

// Region names a set of failure domains with low latency between them.
type Region string

// AccountID names one client account.
type AccountID string

// Incarnation distinguishes successive starts of a process with the same name.
// A later start has a higher number.
type Incarnation uint64

// AttemptID identifies one attempt to run a request at one endpoint. It is unique
// across all entries and their incarnations.
type AttemptID struct {
	Entry       NodeID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Sequence    uint64      `cbor:"3,keyasint"`
}

// String returns the identifier as "entry/incarnation/sequence".
func (a AttemptID) String() string {
	return string(a.Entry) + "/" + strconv.FormatUint(uint64(a.Incarnation), 10) + "/" + strconv.FormatUint(a.Sequence, 10)
}

// IsZero reports whether the identifier is unset.
func (a AttemptID) IsZero() bool { return a == AttemptID{} }

// Compare orders identifiers by entry, incarnation and sequence.
func (a AttemptID) Compare(b AttemptID) int {
	switch {
	case a.Entry < b.Entry:
		return -1
	case a.Entry > b.Entry:
		return 1
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	case a.Sequence < b.Sequence:
		return -1
	case a.Sequence > b.Sequence:
		return 1
	}
	return 0
}

// Kind distinguishes model engines from plain services.
type Kind uint8

// The kinds of endpoint.
const (
	KindEngine  Kind = 1
	KindService Kind = 2
)

// Outcome is the final result of a request as reported to the caller.
type Outcome uint8

// The outcomes of a request. NotRun is reported only when it is proven that the
// request has not started and will not start; Unknown covers everything else
// that did not complete.
const (
	OutcomePending   Outcome = 0
	OutcomeCompleted Outcome = 1
	OutcomeNotRun    Outcome = 2
	OutcomeUnknown   Outcome = 3
)

// String returns the value of the outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeCompleted:
		return "completed"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "pending"
}

// Band classifies a request by the length of its prompt.
type Band uint8

// The length bands and their inclusive upper bounds in prompt tokens.
const (
	BandShort  Band = 0
	BandMedium Band = 1
	BandLong   Band = 2
	BandHuge   Band = 3

	BandCount = 4

	ShortMaxTokens  = 16_000
	MediumMaxTokens = 100_000
	LongMaxTokens   = 400_000
)

// BandOf returns the band of a prompt of the given number of tokens.
func BandOf(promptTokens int64) Band {
	switch {
	case promptTokens <= ShortMaxTokens:
		return BandShort
	case promptTokens <= MediumMaxTokens:
		return BandMedium
	case promptTokens <= LongMaxTokens:
		return BandLong
	}
	return BandHuge
}

// String returns the name of the band.
func (b Band) String() string {
	switch b {
	case BandShort:
		return "short"
	case BandMedium:
		return "medium"
	case BandLong:
		return "long"
	case BandHuge:
		return "huge"
	}
	return "band" + strconv.Itoa(int(b))
}
