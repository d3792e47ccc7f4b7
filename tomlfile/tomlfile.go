// Package tomlfile decodes TOML files strictly: unknown keys are errors. Each Error
// names the file and, where they are known, the line and the key.
package tomlfile

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Error says why a file is invalid.
type Error struct {
	File   string
	Line   int    // from 1; 0 if unknown
	Key    string // dotted, as in "models.tray-planner.mib"; "" if unknown
	Reason string // explanation for the file's author
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

// Decode decodes the document into v and returns metadata such as the keys that it
// sets. The error is an *Error.
func Decode(file string, data []byte, v any) (toml.MetaData, error) {
	meta, err := toml.Decode(string(data), v)
	if err != nil {
		return meta, convertError(file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return meta, &Error{File: file, Line: Line(data, unknown[0]), Key: key, Reason: "unknown key"}
	}
	return meta, nil
}

// typeErrorFormat is the start of the decoder's message for a value of the wrong
// type. The decoder has no exported error type for that case.
const typeErrorFormat = "toml: line %d (last key %q):"

// convertError converts the decoder's error into an *Error.
func convertError(file string, err error) *Error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return &Error{File: file, Line: parse.Position.Line, Key: parse.LastKey, Reason: parse.Message}
	}
	text := err.Error()
	converted := &Error{File: file, Reason: strings.TrimPrefix(text, "toml: ")}
	if n, _ := fmt.Sscanf(text, typeErrorFormat, &converted.Line, &converted.Key); n == 2 {
		_, converted.Reason, _ = strings.Cut(text, "): ")
	}
	return converted
}

// Line returns the line, from 1, on which the document sets the key or has the
// header of the table with that name. It returns 0 if it finds neither.
func Line(data []byte, key toml.Key) int {
	table := toml.Key{}
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if header, ok := parseTableHeader(line); ok {
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
		full := append(append(toml.Key{}, table...), splitKey(name)...)
		if full.String() == key.String() {
			return i + 1
		}
	}
	return 0
}

// parseTableHeader parses a line such as [models."a.b"] or [[x]]. It returns false
// for other lines.
func parseTableHeader(line string) (toml.Key, bool) {
	if !strings.HasPrefix(line, "[") {
		return nil, false
	}
	end := strings.LastIndex(line, "]")
	if end < 0 {
		return nil, false
	}
	return splitKey(strings.Trim(line[:end], "[]")), true
}

// splitKey splits a dotted key at the dots outside of quotes.
func splitKey(name string) toml.Key {
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
