package api

import (
	"bytes"
	"encoding/json"
)

// Canonical returns the JSON text with sorted members and without whitespace, so that
// different encodings of one request compare equal. Numbers stay as written. Its
// error is a *Problem.
func Canonical(body []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, decodeProblem(err)
	}
	canonical, err := json.Marshal(v)
	if err != nil {
		return nil, decodeProblem(err)
	}
	return canonical, nil
}
