// Package enginehttp adapts a model engine that speaks JSON over plain HTTP: it
// turns the commands of an agent into calls, and the answer streams into engine
// events.
//
// The calls of the protocol are:
//
//	POST   /v1/sequences                 a Submit as one line of JSON, then the caller's body; answers with Lines
//	GET    /v1/sequences/{id}?from=N     the Lines of a running or recent sequence from output token N on
//	DELETE /v1/sequences/{id}            cancels; answers with engine.Failed
//	POST   /v1/load                      an engine.Load; answers with engine.Loaded when the load has ended
//	DELETE /v1/kv/{handle}               frees an exported KV cache
//	GET    /v1/state                     answers with engine.State
//	GET    /v1/cache-events              a stream of engine.Cache, one a line
package enginehttp

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
)

// MaxLineBytes is the maximum length of a line of an answer stream or of the cache
// events.
const MaxLineBytes = 1 << 20

// initialLineBytes is the initial size of the buffer for such lines.
const initialLineBytes = 4096

// Line is one line of an answer stream. Text holds Tokens output tokens, starting
// with token number From of the sequence; an event in the same line follows the
// text.
type Line struct {
	From     int64            `json:"from,omitempty"`
	Tokens   int              `json:"tokens,omitempty"`
	Text     string           `json:"text,omitempty"`
	Accepted bool             `json:"accepted,omitempty"`
	First    *engine.First    `json:"first,omitempty"`
	Finished *engine.Finished `json:"finished,omitempty"`
	Failed   *engine.Failed   `json:"failed,omitempty"`
}

// parseLine decodes one line of an answer stream.
func parseLine(raw []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		return Line{}, errors.Wrap(err, "engine answer stream: decode line")
	}
	if l.Tokens < 0 || l.From < 0 {
		return Line{}, errors.New("engine answer stream: negative token count")
	}
	if l.Tokens == 0 && l.Text != "" {
		return Line{}, errors.New("engine answer stream: text without a token count")
	}
	return l, nil
}

// EncodeSubmit returns the body of a submit call.
func EncodeSubmit(s engine.Submit, body []byte) ([]byte, error) {
	head, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode submit")
	}
	buf := make([]byte, 0, len(head)+1+len(body))
	buf = append(buf, head...)
	buf = append(buf, '\n')
	return append(buf, body...), nil
}

// DecodeSubmit splits the body of a submit call into the Submit and the caller's body.
func DecodeSubmit(raw []byte) (engine.Submit, []byte, error) {
	var s engine.Submit
	head, body, ok := bytes.Cut(raw, []byte{'\n'})
	if !ok {
		return s, nil, errors.New("submit: no line end after the parameters")
	}
	if err := json.Unmarshal(head, &s); err != nil {
		return s, nil, errors.Wrap(err, "submit")
	}
	return s, body, nil
}
