package api

import (
	"bytes"
	"encoding/json"
)

// DoneEvent is the event that ends a complete stream. A stream without it is
// incomplete.
const DoneEvent = "data: [DONE]\n\n"

// EventEncoder encodes the server-sent events of one streamed answer. It reuses its
// buffer: each returned event is valid until the next call. It is not safe for
// concurrent use.
type EventEncoder struct {
	buf        bytes.Buffer
	enc        *json.Encoder
	chunk      answerBody
	choice     [1]choice
	delta      answerMessage
	text       string
	chat       bool
	firstToken bool
}

// NewEventEncoder returns an encoder for the stream of the given answer.
func NewEventEncoder(info *AnswerInfo) *EventEncoder {
	e := &EventEncoder{chat: info.Kind == Chat, firstToken: true}
	e.enc = json.NewEncoder(&e.buf)
	e.enc.SetEscapeHTML(false)
	e.chunk = answerBody{ID: info.id(), Object: "text_completion", Created: info.Created.Unix(), Model: info.Model}
	if e.chat {
		e.chunk.Object = "chat.completion.chunk"
	}
	e.chunk.Choices = e.choice[:]
	return e
}

// Token returns the event that carries one token.
func (e *EventEncoder) Token(token string) []byte {
	e.text = token
	if !e.chat {
		e.choice[0] = choice{Text: &e.text}
		return e.encode()
	}
	e.delta = answerMessage{Content: &e.text}
	if e.firstToken {
		e.delta.Role = "assistant"
		e.firstToken = false
	}
	e.choice[0] = choice{Delta: &e.delta}
	return e.encode()
}

// Finish returns the event with the finish reason.
func (e *EventEncoder) Finish(finish string) []byte {
	e.text = ""
	e.choice[0] = choice{Text: &e.text, FinishReason: &finish}
	if e.chat {
		e.delta = answerMessage{}
		e.choice[0] = choice{Delta: &e.delta, FinishReason: &finish}
	}
	return e.encode()
}

// Usage returns the event with the token counts; its choices are empty.
func (e *EventEncoder) Usage(tokens int) []byte {
	e.chunk.Choices = []choice{}
	e.chunk.Usage = &Usage{CompletionTokens: tokens, TotalTokens: tokens}
	return e.encode()
}

// Problem returns the error event that ends a stream that cannot be completed.
func (e *EventEncoder) Problem(p *Problem, requestID string) []byte {
	e.buf.Reset()
	e.buf.WriteString("data: ")
	e.buf.Write(p.JSON(requestID))
	e.buf.WriteString("\n\n")
	return e.buf.Bytes()
}

// encode returns the current chunk as an event.
func (e *EventEncoder) encode() []byte {
	e.buf.Reset()
	e.buf.WriteString("data: ")
	if err := e.enc.Encode(&e.chunk); err != nil {
		panic(err) // strings and integers can always be encoded
	}
	e.buf.WriteByte('\n')
	return e.buf.Bytes()
}
