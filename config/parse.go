package config

import (
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// parsedFile is the content of a file as far as this program understands it.
type parsedFile struct {
	name       string
	firstError *ValidationError // or nil
	meta       toml.MetaData
	tables     []table // sorted by kind, then name
}

// table is one table of a file, such as [models.tray-planner].
type table struct {
	key      Key
	value    toml.Primitive
	settings []setting
}

// setting is one setting in a table.
type setting struct {
	key     Key
	value   toml.Primitive
	decoded reflect.Value // value of the setting's Go type; shared between builds, never modified
}

// parse parses a file. Unknown keys and values of the wrong type are recorded as
// errors; the rest of the file is still parsed.
func parse(f File) *parsedFile {
	p := &parsedFile{name: f.Name}
	if len(f.Content) > MaxFileBytes {
		p.firstError = &ValidationError{File: f.Name, Reason: "the file is larger than 256 KiB"}
		return p
	}
	var kinds map[string]toml.Primitive
	meta, err := toml.Decode(string(f.Content), &kinds)
	if err != nil {
		p.firstError = syntaxError(f, err)
		return p
	}
	p.meta = meta
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		p.readKind(kind, kinds[kind])
	}
	return p
}

// syntaxError converts an error of the TOML decoder.
func syntaxError(f File, err error) *ValidationError {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return &ValidationError{File: f.Name, Line: syntax.Position.Line, Reason: syntax.Message}
	}
	return &ValidationError{File: f.Name, Reason: err.Error()}
}

// readKind parses all tables of one kind.
func (p *parsedFile) readKind(kind string, value toml.Primitive) {
	if _, known := schema[kind]; !known {
		p.recordError(Key{Kind: kind}, value, "unknown key; known are "+strings.Join(kindNames, ", "))
		return
	}
	names, ok := p.entries(value)
	if !ok {
		p.recordError(Key{Kind: kind}, value, "must be a table of tables")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		p.readTable(Key{Kind: kind, Name: name}, names[name])
	}
}

// readTable parses one table.
func (p *parsedFile) readTable(key Key, value toml.Primitive) {
	if reason := nameProblem(key); reason != "" {
		p.recordError(key, value, reason)
		return
	}
	settings, ok := p.entries(value)
	if !ok {
		p.recordError(key, value, "must be a table")
		return
	}
	t := table{key: key, value: value, settings: make([]setting, 0, len(settings))}
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if s, ok := p.readSetting(Key{Kind: key.Kind, Name: key.Name, Setting: name}, settings[name]); ok {
			t.settings = append(t.settings, s)
		}
	}
	p.tables = append(p.tables, t)
}

// readSetting decodes one setting; it returns false if that fails.
func (p *parsedFile) readSetting(key Key, value toml.Primitive) (setting, bool) {
	k := schema[key.Kind]
	index, known := k.settings[key.Setting]
	if !known {
		names := slices.Sorted(maps.Keys(k.settings))
		p.recordError(key, value, "unknown key; known are "+strings.Join(names, ", "))
		return setting{}, false
	}
	decoded := reflect.New(k.defaults.Type().Field(index).Type)
	if err := p.meta.PrimitiveDecode(value, decoded.Interface()); err != nil {
		p.recordError(key, value, "must be "+typeName(decoded.Elem().Type()))
		return setting{}, false
	}
	return setting{key: key, value: value, decoded: decoded.Elem()}, true
}

// recordError keeps the file's first error.
func (p *parsedFile) recordError(key Key, value toml.Primitive, reason string) {
	if p.firstError == nil {
		p.firstError = p.errorAt(key, value, reason)
	}
}

// entries returns a table's values by key. It returns false if value isn't a
// table.
func (p *parsedFile) entries(value toml.Primitive) (entries map[string]toml.Primitive, ok bool) {
	err := p.meta.PrimitiveDecode(value, &entries)
	return entries, err == nil && entries != nil
}

// errorAt returns an error at the line of a value.
func (p *parsedFile) errorAt(key Key, value toml.Primitive, reason string) *ValidationError {
	return &ValidationError{File: p.name, Line: p.line(value), Key: key, Reason: reason}
}

// line returns the line of a value's key or, for a table without its own header,
// the line of its first entry. The TOML library exposes positions only in
// errors, so the value is decoded into a type whose decoding always fails.
func (p *parsedFile) line(value toml.Primitive) int {
	var at toml.ParseError
	if err := p.meta.PrimitiveDecode(value, &lineProbe{}); errors.As(err, &at) && at.Position.Line > 0 {
		return at.Position.Line
	}
	first := 0
	entries, _ := p.entries(value)
	for _, entry := range entries {
		if line := p.line(entry); first == 0 || line > 0 && line < first {
			first = line
		}
	}
	return first
}

// lineProbe is a type that can't be decoded.
type lineProbe struct{}

// UnmarshalTOML always fails.
func (*lineProbe) UnmarshalTOML(any) error { return &ValidationError{} }

// maxNameBytes bounds names so that they fit into a log line.
const maxNameBytes = 128

// nameChars are the characters that need no quoting in URLs, log lines and stream
// names.
const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:"

// nameProblem returns what is wrong with the key's Name, or "".
func nameProblem(key Key) string {
	allowed := nameChars
	if key.Kind == kindModels || key.Kind == kindAdapters {
		allowed += "/"
	}
	if key.Name == "" || len(key.Name) > maxNameBytes {
		return "a name has 1 to 128 characters"
	}
	if strings.Trim(key.Name, allowed) != "" || strings.IndexFunc(key.Name, func(r rune) bool { return !strings.ContainsRune(allowed, r) }) >= 0 {
		return "a name has only letters, digits and - _ . :"
	}
	return ""
}
