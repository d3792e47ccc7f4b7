package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that each body is either refused with a typed problem as not run, or
// parsed into a valid request whose canonical form parses to the same request.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`,
		`{"model":"m","prompt":["p"],"seed":-1}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`,
		`{"model":"m","messages":[{"role":"user","content":null}],"tools":[]}`,
		`{"model":1}`, `[]`, `null`, `{"model":"m","prompt":null}`, `{`, "\xff",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		kind := Completion
		if chat {
			kind = Chat
		}
		r, err := Parse(kind, body)
		if err != nil {
			var p *Problem
			require.True(t, errors.As(err, &p))
			require.Equal(t, OutcomeNotRun, p.Outcome)
			require.Equal(t, 400, p.Status)
			require.True(t, json.Valid(p.JSON("id")))
			return
		}
		require.NotEmpty(t, r.Model)
		require.GreaterOrEqual(t, r.MaxTokens, 0)
		require.True(t, kind == Completion || strings.HasSuffix(r.Prompt, "assistant:"))
		once, err := Canonical(body)
		require.NoError(t, err)
		twice, err := Canonical(once)
		require.NoError(t, err)
		require.Equal(t, string(once), string(twice))
		again, err := Parse(kind, once)
		require.NoError(t, err)
		require.Equal(t, r, again, "the canonical form is the same request")
	})
}

// FuzzEvents checks that no token can end its event early or change another event.
func FuzzEvents(f *testing.F) {
	f.Add("token", true)
	f.Add("\n\ndata: [DONE]\n\n", false)
	f.Add("</script>\u2028\"\\", true)
	f.Fuzz(func(t *testing.T, token string, chat bool) {
		h := &AnswerInfo{Kind: Completion, Request: "r", Model: "m"}
		if chat {
			h.Kind = Chat
		}
		e := NewEventEncoder(h)
		for range 2 { // the second chunk has no role
			event := e.Token(token)
			require.True(t, bytes.HasPrefix(event, []byte("data: {")))
			require.True(t, bytes.HasSuffix(event, []byte("}\n\n")))
			require.Equal(t, 2, bytes.Count(event, []byte("\n")))
			var got answerBody
			require.NoError(t, json.Unmarshal(event[len("data: "):], &got))
			text := got.Choices[0].Text
			if chat {
				text = got.Choices[0].Delta.Content
			}
			require.Equal(t, string([]rune(token)), *text) // invalid UTF-8 is replaced in JSON
			require.Nil(t, got.Choices[0].FinishReason)
		}
	})
}
