package load

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/workload"
)

const (
	blockBytes = engine.PrefixBlockTokens * workload.BytesPerToken
	wordBytes  = 8 // letters and a space
	letters    = "abcdefghijklmnop"
)

// promptText returns the prompt of a request. Blocks with the same prefix hash
// have the same text, so that engines find the shared prefixes in their caches.
func promptText(r workload.Request) []byte {
	size := int(r.PromptTokens * workload.BytesPerToken)
	text := make([]byte, 0, size+blockBytes)
	for i := 0; len(text) < size; i++ {
		seed := r.BodyDigest + uint64(i)
		if i < len(r.Prefixes) {
			seed = r.Prefixes[i]
		}
		text = appendBlock(text, seed)
	}
	return text[:size]
}

// appendBlock appends blockBytes of pseudorandom words that depend on seed only.
func appendBlock(dst []byte, seed uint64) []byte {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], seed)
	for i := range blockBytes / wordBytes {
		binary.LittleEndian.PutUint64(buf[8:], uint64(i))
		h := xxhash.Sum64(buf[:])
		for range wordBytes - 1 {
			dst = append(dst, letters[h&15])
			h >>= 4
		}
		dst = append(dst, ' ')
	}
	return dst
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int64         `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

// chatBody returns the JSON body of a request for the model.
func chatBody(r workload.Request, text []byte) ([]byte, error) {
	body, err := json.Marshal(chatRequest{
		Model:         r.Model,
		Messages:      []chatMessage{{Role: "user", Content: string(text)}},
		MaxTokens:     r.OutputTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	return body, errors.Wrap(err, "encode chat request")
}

// callBody is an arbitrary JSON body for a service call. Item is the digest of the
// request's body, so that equal digests give equal bodies.
type callBody struct {
	Item uint64 `json:"item"`
}

// serviceBody returns the JSON body of a plain service call.
func serviceBody(r workload.Request) ([]byte, error) {
	body, err := json.Marshal(callBody{Item: r.BodyDigest})
	return body, errors.Wrap(err, "encode service call")
}
