package api

import (
	"bytes"
	"encoding/json"
	"time"
)

// Head is what every piece of one answer bears.
type Head struct {
	Kind    Kind
	Request string // the request's id
	Model   string // as the caller named it
	Created time.Time
}

// id returns the answer's id, as OpenAI clients expect it.
func (h *Head) id() string {
	if h.Kind == Chat {
		return "chatcmpl-" + h.Request
	}
	return "cmpl-" + h.Request
}

// Usage counts an answer's tokens. Prompts are counted in bytes by nobody here
// and in tokens only by engines, which don't tell: PromptTokens is 0.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type turn struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Message      *turn   `json:"message,omitempty"`
	Delta        *turn   `json:"delta,omitempty"`
	Logprobs     *int    `json:"logprobs"` // always null
	FinishReason *string `json:"finish_reason"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Whole returns the JSON of a whole answer that isn't streamed.
func (h *Head) Whole(text, finish string, tokens int) []byte {
	a := answer{
		ID:      h.id(),
		Object:  "text_completion",
		Created: h.Created.Unix(),
		Model:   h.Model,
		Choices: []choice{{Text: &text, FinishReason: &finish}},
		Usage:   &Usage{CompletionTokens: tokens, TotalTokens: tokens},
	}
	if h.Kind == Chat {
		a.Object = "chat.completion"
		a.Choices[0] = choice{Message: &turn{Role: "assistant", Content: &text}, FinishReason: &finish}
	}
	var b bytes.Buffer
	encode(&b, &a)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

func encode(b *bytes.Buffer, a *answer) {
	enc := json.NewEncoder(b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(a); err != nil {
		panic(err) // strings and integers always have a JSON form
	}
}
