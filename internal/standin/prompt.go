package standin

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
)

// Sizes of prompts and answers of an engine stand-in. An answer has minAnswerTokens to
// maxAnswerTokens tokens unless the request allows fewer.
const (
	BytesPerToken   = 4 // of a prompt
	minAnswerTokens = 32
	maxAnswerTokens = 512
)

// prompt is the part of a caller's body that an engine stand-in uses.
type prompt struct {
	tokens int64
	digest uint64 // of the prompt without the part of the answer that the caller has appended
	limit  int64  // output tokens that the caller allows; 0: no limit
}

// callerBody is a completion request, with Prompt, or a chat request, with Messages.
type callerBody struct {
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           int64           `json:"max_tokens"`
	MaxCompletionTokens int64           `json:"max_completion_tokens"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// parsePrompt decodes a caller's body. The last resumeFrom tokens of the prompt are
// the part of the answer that the caller already has.
func parsePrompt(body []byte, resumeFrom int64) (prompt, error) {
	var b callerBody
	if err := json.Unmarshal(body, &b); err != nil {
		return prompt{}, errors.Wrap(err, "body of a sequence")
	}
	text, err := b.text()
	if err != nil {
		return prompt{}, err
	}
	asked := stripAnswer(text, resumeFrom)
	return prompt{
		tokens: max(int64(len(asked)+BytesPerToken-1)/BytesPerToken, 1) + resumeFrom,
		digest: xxhash.Sum64String(asked),
		limit:  max(b.MaxTokens, b.MaxCompletionTokens),
	}, nil
}

// text returns the whole prompt as one string.
func (b *callerBody) text() (string, error) {
	if len(b.Messages) == 0 {
		return contentText(b.Prompt)
	}
	var all strings.Builder
	for _, m := range b.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		all.WriteString(text)
	}
	return all.String(), nil
}

// contentText accepts a string or a list of strings or text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) == 0 || json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, ""), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.Wrap(err, "content of a prompt")
	}
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}

func stripAnswer(text string, tokens int64) string {
	n := tokens * enginemodel.TokenBytes
	if n <= 0 || n > int64(len(text)) {
		return text
	}
	return text[:int64(len(text))-n]
}

// apply sets the engine's own token counts in a submit. A member of a group keeps
// the prompt size of its slice.
func (p prompt) apply(s engine.Submit) engine.Submit {
	if !s.Export && len(s.Imports) == 0 {
		s.PromptTokens = p.tokens
	}
	if s.Export {
		return s
	}
	length := enginemodel.OutputLength(p.digest, minAnswerTokens, maxAnswerTokens)
	if p.limit > 0 {
		length = min(length, p.limit)
	}
	s.MaxOutput = max(min(s.MaxOutput, length-s.ResumeFrom), 1)
	return s
}
