package workload

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// BytesPerToken is the mean length of a prompt token in bytes.
const BytesPerToken = 4

// Request is one generated request.
type Request struct {
	Number       uint64 // position in the workload, from 0; the same whether or not Mix.OmitLong drops others
	Account      wire.AccountID
	Kind         wire.Kind
	Model        string
	Adapter      string
	PromptTokens int64
	OutputTokens int64         // tokens that the model is to generate
	MaxOutput    int64         // limit that the caller states, at least OutputTokens
	Deadline     time.Duration // 0: the default of the account's plan
	Priority     int32
	Prefixes     []uint64 // hashes of successive prompt blocks
	BodyBytes    int64
	BodyDigest   uint64            // determines the content of the body
	Call         *wire.ServiceCall // set for KindService
	Repeatable   bool              // may be executed more than once
}

// Band returns the length band of the prompt.
func (r Request) Band() wire.Band { return wire.BandOf(r.PromptTokens) }
