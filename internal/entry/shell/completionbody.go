package shell

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
)

const (
	// adapterSeparator separates model and adapter in the "model" field.
	adapterSeparator = ":"
	// bytesPerToken is the assumed token length for cutting prompts into the
	// blocks of prefix hashes.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the prefix hashes of one request.
	maxPrefixBlocks = 128
	maxOutputTokens = 1 << 20 // largest output limit that a caller may set
)

// shape distinguishes the chat and the text form of the completions API.
type shape uint8

const (
	shapeChat shape = 1
	shapeText shape = 2
)

// completionBody holds the fields of a request body that the entry reads. The
// other fields reach the engine unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            promptMessages  `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// promptMessages is the text of a list of messages. It is decoded without the list, which may take
// many times its size.
type promptMessages struct {
	text  string
	count int
	err   error
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *promptMessages) UnmarshalJSON(list []byte) error {
	*l = promptMessages{}
	var all strings.Builder
	l.err = eachElement(list, func(m *promptMessage) error {
		if !m.Content.valid {
			return errors.Errorf(`"messages[%d].content" must be a string or a list of text parts`, l.count)
		}
		l.count++
		all.WriteString(m.Content.text)
		return nil
	})
	l.text = all.String()
	return nil
}

type promptMessage struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
}

// messageContent is the text of a message's content.
type messageContent struct {
	text  string
	valid bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *messageContent) UnmarshalJSON(raw []byte) error {
	text, err := contentText(raw)
	*c = messageContent{text: text, valid: err == nil}
	return nil
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// completion is a checked request body.
type completion struct {
	shape        shape
	model        string
	adapter      string
	prompt       string // the prompt, or the text of all messages
	maxOutput    int64  // tokens; 0: not given
	stream       bool
	includeUsage bool
}

// parseCompletion checks a body of the completions API.
func parseCompletion(body []byte, s shape) (*completion, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("the body is not valid UTF-8")
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, errors.Wrap(err, "the body is not a valid request")
	}
	c := &completion{shape: s, stream: b.Stream}
	c.model, c.adapter, _ = strings.Cut(b.Model, adapterSeparator)
	if c.model == "" {
		return nil, errors.New(`"model" is missing`)
	}
	if b.N != nil && *b.N != 1 {
		return nil, errors.New(`"n" other than 1 is not supported`)
	}
	if b.StreamOptions != nil {
		c.includeUsage = b.StreamOptions.IncludeUsage
	}
	if err := c.readMaxOutput(&b); err != nil {
		return nil, err
	}
	return c, c.readPrompt(&b)
}

func (c *completion) readMaxOutput(b *completionBody) error {
	limit := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		limit = b.MaxCompletionTokens
	}
	if limit == nil {
		return nil
	}
	if *limit < 1 || *limit > maxOutputTokens {
		return errors.Errorf(`"max_tokens" is %d, want 1 to %d`, *limit, maxOutputTokens)
	}
	c.maxOutput = *limit
	return nil
}

func (c *completion) readPrompt(b *completionBody) error {
	if c.shape == shapeText {
		text, err := contentText(b.Prompt)
		if err != nil || text == "" {
			return errors.New(`"prompt" must be a string that is not empty`)
		}
		c.prompt = text
		return nil
	}
	if b.Messages.err != nil {
		return b.Messages.err
	}
	if b.Messages.count == 0 {
		return errors.New(`"messages" must hold at least one message`)
	}
	c.prompt = b.Messages.text
	return nil
}

// eachElement decodes the elements of a list one after the other, since a list of many small ones
// takes many times its size. do must not keep its argument. No list is an empty one.
func eachElement[T any](list json.RawMessage, do func(*T) error) error {
	if len(list) == 0 || string(list) == "null" {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(list))
	if start, err := dec.Token(); err != nil || start != json.Delim('[') {
		return errors.New("the body is not a valid request: a list is expected")
	}
	v, zero := new(T), *new(T)
	for dec.More() {
		*v = zero
		if err := dec.Decode(v); err != nil {
			return errors.Wrap(err, "the body is not a valid request")
		}
		if err := do(v); err != nil {
			return err
		}
	}
	return nil
}

// contentText returns a string, or the joined text of a list of parts. It ignores
// the type of a part; a part without text adds nothing.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 {
		return "", errors.New("no content")
	}
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var all strings.Builder
	err := eachElement(raw, func(p *contentPart) error {
		all.WriteString(p.Text)
		return nil
	})
	return all.String(), err
}

// prefixes returns one hash for each whole block of the prompt. A hash covers the
// prompt up to the end of its block, so that equal hashes mean equal prefixes.
func (c *completion) prefixes() []uint64 {
	const blockBytes = engine.PrefixBlockTokens * bytesPerToken
	blocks := min(len(c.prompt)/blockBytes, maxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	d := xxhash.New()
	_, _ = d.WriteString(c.model + adapterSeparator + c.adapter + "\n") // never fails
	hashes := make([]uint64, blocks)
	for i := range blocks {
		_, _ = d.WriteString(c.prompt[i*blockBytes : (i+1)*blockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// continueBody returns the request body for the rest of an answer whose beginning,
// text, the caller already has.
func continueBody(body []byte, s shape, text []byte) ([]byte, error) {
	fields, err := decodeFields(body, "prompt", "messages")
	if err != nil {
		return nil, err
	}
	if s == shapeText {
		prompt, err := contentText(fields["prompt"])
		if err != nil {
			return nil, err
		}
		return withField(fields, "prompt", prompt+string(text))
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, errors.WithStack(err)
	}
	content, err := json.Marshal(string(text))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	last, err := json.Marshal(chatMessage{Role: "assistant", Content: content})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return withField(fields, "messages", append(messages, last))
}

// decodeFields decodes the fields of a JSON object. Fields whose name differs from one of
// names only in case get that name, as parseCompletion takes them; of several, the last
// one counts.
func decodeFields(body []byte, names ...string) (map[string]json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	if _, err := dec.Token(); err != nil {
		return nil, errors.WithStack(err)
	}
	fields := make(map[string]json.RawMessage)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		field, ok := token.(string)
		if !ok {
			return nil, errors.Errorf("%v in place of a field name", token)
		}
		if i := slices.IndexFunc(names, func(n string) bool { return strings.EqualFold(n, field) }); i >= 0 {
			field = names[i]
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, errors.WithStack(err)
		}
		fields[field] = value
	}
	return fields, nil
}

func withField(fields map[string]json.RawMessage, name string, value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	fields[name] = raw
	out, err := json.Marshal(fields)
	return out, errors.WithStack(err)
}
