package api

import (
	"bytes"
	"encoding/json"
)

// Done is the event that ends a whole stream. A stream without it isn't whole.
const Done = "data: [DONE]\n\n"

// Events encodes the server-sent events of one streamed answer. It has one
// owner; each event returned is valid until the next call.
type Events struct {
	buf    bytes.Buffer
	enc    *json.Encoder
	piece  answer
	choice [1]choice
	delta  turn
	text   string
	chat   bool
	first  bool
}

// NewEvents returns the encoder of a stream's events.
func NewEvents(h *Head) *Events {
	e := &Events{chat: h.Kind == Chat, first: true}
	e.enc = json.NewEncoder(&e.buf)
	e.enc.SetEscapeHTML(false)
	e.piece = answer{ID: h.id(), Object: "text_completion", Created: h.Created.Unix(), Model: h.Model}
	if e.chat {
		e.piece.Object = "chat.completion.chunk"
	}
	e.piece.Choices = e.choice[:]
	return e
}

// Token returns the event that bears one token.
func (e *Events) Token(token string) []byte {
	e.text = token
	if !e.chat {
		e.choice[0] = choice{Text: &e.text}
		return e.event()
	}
	e.delta = turn{Content: &e.text}
	if e.first {
		e.delta.Role = "assistant"
		e.first = false
	}
	e.choice[0] = choice{Delta: &e.delta}
	return e.event()
}

// Finish returns the event that says why the stream ended.
func (e *Events) Finish(finish string) []byte {
	e.text = ""
	e.choice[0] = choice{Text: &e.text, FinishReason: &finish}
	if e.chat {
		e.delta = turn{}
		e.choice[0] = choice{Delta: &e.delta, FinishReason: &finish}
	}
	return e.event()
}

// Usage returns the event that tells the token counts; it has no choices.
func (e *Events) Usage(tokens int) []byte {
	e.piece.Choices = []choice{}
	e.piece.Usage = &Usage{CompletionTokens: tokens, TotalTokens: tokens}
	return e.event()
}

// Problem returns the event that ends a stream which can't be finished.
func (e *Events) Problem(p *Problem, request string) []byte {
	e.buf.Reset()
	e.buf.WriteString("data: ")
	e.buf.Write(p.JSON(request))
	e.buf.WriteString("\n\n")
	return e.buf.Bytes()
}

func (e *Events) event() []byte {
	e.buf.Reset()
	e.buf.WriteString("data: ")
	if err := e.enc.Encode(&e.piece); err != nil {
		panic(err) // strings and integers always have a JSON form
	}
	e.buf.WriteByte('\n')
	return e.buf.Bytes()
}
