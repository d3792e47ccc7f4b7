package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Kind is the model interface that a request uses.
type Kind int

// The kinds of model requests.
const (
	Completion Kind = iota
	Chat
)

// Request is a parsed and validated model request.
type Request struct {
	Kind         Kind
	Model        string // name of a model or an adapter
	Prompt       string // for a chat, its messages joined into one prompt
	MaxTokens    int    // 0 for the model's limit
	Stream       bool
	IncludeUsage bool // a stream ends with a chunk of token counts
	Seed         *uint64
}

// The codes of problems with a request body.
const (
	CodeBadJSON          = "bad_json"
	CodeBadField         = "bad_field"
	CodeUnsupportedField = "unsupported_field"
)

// requestBody holds the members of a request's body that are used or checked. Members
// that would change the answer but that no engine supports are decoded only so that
// they can be refused. Sampling parameters that engines don't support are ignored,
// as are unknown members.
type requestBody struct {
	Model               string           `json:"model"`
	Prompt              json.RawMessage  `json:"prompt"`
	Messages            []requestMessage `json:"messages"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       *streamOptions   `json:"stream_options"`
	Seed                *int64           `json:"seed"`

	N              *int            `json:"n"`
	BestOf         *int            `json:"best_of"`
	Echo           bool            `json:"echo"`
	Logprobs       json.RawMessage `json:"logprobs"`
	Suffix         string          `json:"suffix"`
	Stop           json.RawMessage `json:"stop"`
	LogitBias      json.RawMessage `json:"logit_bias"`
	Tools          json.RawMessage `json:"tools"`
	Functions      json.RawMessage `json:"functions"`
	ResponseFormat *responseFormat `json:"response_format"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type responseFormat struct {
	Type string `json:"type"`
}

// Parse decodes and validates a model request's body. Its error is a *Problem.
func Parse(kind Kind, body []byte) (*Request, error) {
	f, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	if name := f.unsupportedField(); name != "" {
		return nil, Invalid(CodeUnsupportedField, "%s is not supported", name)
	}
	r := &Request{Kind: kind, Model: f.Model, Stream: f.Stream}
	if r.Model == "" {
		return nil, Invalid(CodeBadField, "model is missing")
	}
	if r.Prompt, err = f.buildPrompt(kind); err != nil {
		return nil, err
	}
	if r.MaxTokens, err = f.maxTokens(); err != nil {
		return nil, err
	}
	if f.StreamOptions != nil {
		r.IncludeUsage = f.StreamOptions.IncludeUsage
	}
	if f.Seed != nil {
		seed := uint64(*f.Seed)
		r.Seed = &seed
	}
	return r, nil
}

// decodeRequest decodes a body that is exactly one JSON object.
func decodeRequest(body []byte) (*requestBody, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	f := new(requestBody)
	if err := dec.Decode(f); err != nil {
		return nil, decodeProblem(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, Invalid(CodeBadJSON, "the body goes on after its JSON object")
	}
	return f, nil
}

// decodeProblem returns the problem of a JSON error. It names the position of the
// error and never quotes the body.
func decodeProblem(err error) *Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return Invalid(CodeBadField, "%s must not be a JSON %s", typeErr.Field, typeErr.Value)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return Invalid(CodeBadJSON, "the body is no JSON at byte %d", syntaxErr.Offset)
	}
	return Invalid(CodeBadJSON, "the body is no JSON object")
}

// unsupportedField returns the name of a member that requests something that no
// engine supports, or an empty string.
func (f *requestBody) unsupportedField() string {
	switch {
	case f.N != nil && *f.N != 1:
		return "n"
	case f.BestOf != nil && *f.BestOf != 1:
		return "best_of"
	case f.Echo:
		return "echo"
	case f.Suffix != "":
		return "suffix"
	case f.ResponseFormat != nil && f.ResponseFormat.Type != "" && f.ResponseFormat.Type != "text":
		return "response_format"
	}
	for _, raw := range []struct {
		name  string
		value json.RawMessage
	}{
		{"logprobs", f.Logprobs}, {"stop", f.Stop}, {"logit_bias", f.LogitBias},
		{"tools", f.Tools}, {"functions", f.Functions},
	} {
		if !isDefault(raw.value) {
			return raw.name
		}
	}
	return ""
}

// isDefault reports whether an unsupported member has a value that requests nothing.
func isDefault(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "false", "[]", "{}", `""`:
		return true
	}
	return false
}

// maxTokens returns the requested limit of tokens, or 0 if there is none.
// max_completion_tokens takes precedence over max_tokens.
func (f *requestBody) maxTokens() (int, error) {
	n := f.MaxTokens
	if f.MaxCompletionTokens != nil {
		n = f.MaxCompletionTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n < 1 {
		return 0, Invalid(CodeBadField, "max_tokens must be at least 1")
	}
	return *n, nil
}

func (f *requestBody) buildPrompt(kind Kind) (string, error) {
	if kind == Chat {
		return chatPrompt(f.Messages)
	}
	return completionPrompt(f.Prompt)
}

// completionPrompt returns a prompt that is a string or an array of one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	var single string
	if len(raw) > 0 && json.Unmarshal(raw, &single) == nil && string(raw) != "null" {
		return single, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", Invalid(CodeBadField, "prompt must be a string or an array of one string")
}
