package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Kind says which of the two model interfaces a request came through.
type Kind int

// The kinds of model requests.
const (
	Completion Kind = iota
	Chat
)

// Request is a parsed and checked model request.
type Request struct {
	Kind         Kind
	Model        string // a model's or an adapter's name
	Prompt       string // a chat's messages as one prompt
	MaxTokens    int    // 0: the model's most
	Stream       bool
	IncludeUsage bool // a stream tells its token counts in a last chunk
	Seed         *uint64
}

// The codes of problems with a body.
const (
	CodeBadJSON     = "bad_json"
	CodeBadField    = "bad_field"
	CodeUnsupported = "unsupported_field"
)

// fields are the members of a request's body that matter. Members that would
// change the answer but that no engine honours are kept raw, to be refused.
// Sampling hints that engines don't take are ignored, as are unknown members.
type fields struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Seed                *int64          `json:"seed"`

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

// Parse reads a model request's body. Its error is a *Problem.
func Parse(kind Kind, body []byte) (*Request, error) {
	f, err := decode(body)
	if err != nil {
		return nil, err
	}
	if name := f.unsupported(); name != "" {
		return nil, Invalid(CodeUnsupported, "%s is not supported", name)
	}
	r := &Request{Kind: kind, Model: f.Model, Stream: f.Stream}
	if r.Model == "" {
		return nil, Invalid(CodeBadField, "model is missing")
	}
	if r.Prompt, err = f.promptOf(kind); err != nil {
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

func decode(body []byte) (*fields, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	f := new(fields)
	if err := dec.Decode(f); err != nil {
		return nil, decodeProblem(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, Invalid(CodeBadJSON, "the body goes on after its JSON object")
	}
	return f, nil
}

// decodeProblem names the place of the fault, and never quotes the body.
func decodeProblem(err error) *Problem {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) && typed.Field != "" {
		return Invalid(CodeBadField, "%s must not be a JSON %s", typed.Field, typed.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return Invalid(CodeBadJSON, "the body is no JSON at byte %d", syntax.Offset)
	}
	return Invalid(CodeBadJSON, "the body is no JSON object")
}

// unsupported returns the name of a member that asks for what no engine gives.
func (f *fields) unsupported() string {
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

// isDefault says whether a member that isn't supported asks for nothing.
func isDefault(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "false", "[]", "{}", `""`:
		return true
	}
	return false
}

func (f *fields) maxTokens() (int, error) {
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

func (f *fields) promptOf(kind Kind) (string, error) {
	if kind == Chat {
		return chatPrompt(f.Messages)
	}
	return completionPrompt(f.Prompt)
}

// completionPrompt accepts a string or an array of one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	var one string
	if len(raw) > 0 && json.Unmarshal(raw, &one) == nil && string(raw) != "null" {
		return one, nil
	}
	var many []string
	if json.Unmarshal(raw, &many) == nil && len(many) == 1 {
		return many[0], nil
	}
	return "", Invalid(CodeBadField, "prompt must be a string or an array of one string")
}
