package api

import (
	"bytes"
	"encoding/json"
	"time"
)

// AnswerInfo holds the fields common to all parts of one answer.
type AnswerInfo struct {
	Kind    Kind
	Request string // the request's ID
	Model   string // as named by the caller
	Created time.Time
}

// id returns the answer's ID in the format that OpenAI clients expect.
func (i *AnswerInfo) id() string {
	if i.Kind == Chat {
		return "chatcmpl-" + i.Request
	}
	return "cmpl-" + i.Request
}

// Usage holds the token counts of an answer. PromptTokens is always 0: only engines
// count prompt tokens, and they do not report the count.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerMessage is a chat message in an answer, or a part of one in a stream.
type answerMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// choice is the single choice of an answer or of a chunk.
type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Logprobs     *int           `json:"logprobs"` // always null
	FinishReason *string        `json:"finish_reason"`
}

// answerBody is the JSON form of a complete answer or of one chunk of a stream.
type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// JSON returns the JSON of a complete answer that is not streamed. tokens is the
// number of tokens in text.
func (i *AnswerInfo) JSON(text, finish string, tokens int) []byte {
	a := answerBody{
		ID:      i.id(),
		Object:  "text_completion",
		Created: i.Created.Unix(),
		Model:   i.Model,
		Choices: []choice{{Text: &text, FinishReason: &finish}},
		Usage:   &Usage{CompletionTokens: tokens, TotalTokens: tokens},
	}
	if i.Kind == Chat {
		a.Object = "chat.completion"
		a.Choices[0] = choice{Message: &answerMessage{Role: "assistant", Content: &text}, FinishReason: &finish}
	}
	var b bytes.Buffer
	encodeAnswer(&b, &a)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// encodeAnswer writes the answer's JSON and a newline, without escaping HTML.
func encodeAnswer(b *bytes.Buffer, a *answerBody) {
	enc := json.NewEncoder(b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(a); err != nil {
		panic(err) // strings and integers can always be encoded
	}
}
