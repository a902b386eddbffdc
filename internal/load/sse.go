package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxLineBytes is the length limit of a line of an answer stream.
const maxLineBytes = 4 << 20

// chunk is one event of a streamed chat completion.
type chunk struct {
	Choices []choice  `json:"choices"`
	Usage   *usage    `json:"usage"`
	Error   *apiError `json:"error"`
}

type choice struct {
	Delta        delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// errStreamCut is returned for an answer stream that ended without [DONE].
var errStreamCut = errors.New("answer stream ended before [DONE]")

// readEvents calls each for every chunk until [DONE]. An error event of the service
// is passed on as a chunk with Error set. The returned error means that the stream
// could not be read up to [DONE].
func readEvents(r io.Reader, each func(chunk)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return nil
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return errors.Wrap(err, "decode chunk of answer stream")
		}
		each(c)
	}
	if err := sc.Err(); err != nil {
		return errors.Wrap(err, "read answer stream")
	}
	return errStreamCut
}
