package workload

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// BytesPerToken is the mean length of a prompt token in bytes.
const BytesPerToken = 4

// Request is one generated request.
type Request struct {
	Number       uint64 // position in the workload, from 0; kept when others are left out
	Account      wire.AccountID
	Kind         wire.Kind
	Model        string
	Adapter      string
	PromptTokens int64
	OutputTokens int64         // what the model generates
	MaxOutput    int64         // the caller's bound, at least OutputTokens
	Deadline     time.Duration // 0: the plan's
	Priority     int32
	Prefixes     []uint64 // hashes of successive prompt blocks
	BodyBytes    int64
	BodyDigest   uint64
	Call         *wire.ServiceCall // set for KindService
	Repeatable   bool
}

// Band returns the length band of the prompt.
func (r Request) Band() wire.Band { return wire.BandOf(r.PromptTokens) }
