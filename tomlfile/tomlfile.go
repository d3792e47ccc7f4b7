// Package tomlfile decodes TOML strictly: a key that nothing asks for is an
// error, and each error names file, line and key.
package tomlfile

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Error is a refusal of a file.
type Error struct {
	File   string
	Line   int    // from 1; 0: the refusal has no line
	Key    string // dotted, as in "models.tray-planner.mib"; empty: the refusal has none
	Reason string // for whoever wrote the file
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": %s", e.Key)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// Decode reads the document into v and returns the keys that it sets. The error
// is an *Error.
func Decode(file string, data []byte, v any) (toml.MetaData, error) {
	meta, err := toml.Decode(string(data), v)
	if err != nil {
		return meta, refusal(file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return meta, &Error{File: file, Line: Line(data, unknown[0]), Key: key, Reason: "unknown key"}
	}
	return meta, nil
}

// typeErrorFormat is how the decoder words a value of the wrong type: it has no
// type of its own for that.
const typeErrorFormat = "toml: line %d (last key %q):"

// refusal turns the decoder's error into an *Error.
func refusal(file string, err error) *Error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return &Error{File: file, Line: parse.Position.Line, Key: parse.LastKey, Reason: parse.Message}
	}
	text := err.Error()
	refused := &Error{File: file, Reason: strings.TrimPrefix(text, "toml: ")}
	if n, _ := fmt.Sscanf(text, typeErrorFormat, &refused.Line, &refused.Key); n == 2 {
		_, refused.Reason, _ = strings.Cut(text, "): ")
	}
	return refused
}

// Line returns the line, from 1, on which the document sets the key or opens
// the table of that name, or 0 if it can't tell.
func Line(data []byte, key toml.Key) int {
	table := toml.Key{}
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if header, ok := tableHeader(line); ok {
			table = header
			if table.String() == key.String() {
				return i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		full := append(append(toml.Key{}, table...), parts(name)...)
		if full.String() == key.String() {
			return i + 1
		}
	}
	return 0
}

// tableHeader reads a line such as [models."a.b"] or [[x]].
func tableHeader(line string) (toml.Key, bool) {
	if !strings.HasPrefix(line, "[") {
		return nil, false
	}
	end := strings.LastIndex(line, "]")
	if end < 0 {
		return nil, false
	}
	return parts(strings.Trim(line[:end], "[]")), true
}

// parts splits a dotted key; a dot within quotes doesn't split.
func parts(name string) toml.Key {
	var key toml.Key
	var part strings.Builder
	quote := rune(0)
	for _, r := range strings.TrimSpace(name) {
		switch {
		case quote != 0 && r == quote:
			quote = 0
		case quote != 0:
			part.WriteRune(r)
		case r == '"' || r == '\'':
			quote = r
		case r == '.':
			key = append(key, strings.TrimSpace(part.String()))
			part.Reset()
		default:
			part.WriteRune(r)
		}
	}
	return append(key, strings.TrimSpace(part.String()))
}
