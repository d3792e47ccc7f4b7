package api

import (
	"bytes"
	"encoding/json"
)

// Canonical returns a JSON text with its members sorted and without spaces:
// equal for two encodings of one request. Numbers are kept as written. Its
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
