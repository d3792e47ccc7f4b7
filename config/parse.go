package config

import (
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// parsed is what a file declares, as far as this program understands it.
type parsed struct {
	name   string
	fault  *Refusal // the first thing that it doesn't understand, or nil
	meta   toml.MetaData
	tables []table // by kind, then name
}

// table is one table of a file, such as [models.tray-planner].
type table struct {
	key      Key
	value    toml.Primitive
	settings []setting
}

// setting is one value of a table.
type setting struct {
	key     Key
	value   toml.Primitive
	decoded reflect.Value // of the setting's type; shared between builds, never changed
}

// parse reads a file. A key that no setting bears, or a value of a wrong type,
// is a fault.
func parse(f File) *parsed {
	p := &parsed{name: f.Name}
	if len(f.Content) > MaxFileBytes {
		p.fault = &Refusal{File: f.Name, Reason: "the file is larger than 256 KiB"}
		return p
	}
	var kinds map[string]toml.Primitive
	meta, err := toml.Decode(string(f.Content), &kinds)
	if err != nil {
		p.fault = syntaxRefusal(f, err)
		return p
	}
	p.meta = meta
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		p.readKind(kind, kinds[kind])
	}
	return p
}

func syntaxRefusal(f File, err error) *Refusal {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return &Refusal{File: f.Name, Line: syntax.Position.Line, Reason: syntax.Message}
	}
	return &Refusal{File: f.Name, Reason: err.Error()}
}

func (p *parsed) readKind(kind string, value toml.Primitive) {
	if _, known := schema[kind]; !known {
		p.blame(Key{Kind: kind}, value, "unknown key; known are "+strings.Join(kindNames, ", "))
		return
	}
	names, ok := p.entries(value)
	if !ok {
		p.blame(Key{Kind: kind}, value, "must be a table of tables")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		p.readTable(Key{Kind: kind, Name: name}, names[name])
	}
}

func (p *parsed) readTable(key Key, value toml.Primitive) {
	if reason := badName(key); reason != "" {
		p.blame(key, value, reason)
		return
	}
	settings, ok := p.entries(value)
	if !ok {
		p.blame(key, value, "must be a table")
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

func (p *parsed) readSetting(key Key, value toml.Primitive) (setting, bool) {
	k := schema[key.Kind]
	index, known := k.settings[key.Setting]
	if !known {
		names := slices.Sorted(maps.Keys(k.settings))
		p.blame(key, value, "unknown key; known are "+strings.Join(names, ", "))
		return setting{}, false
	}
	decoded := reflect.New(k.defaults.Type().Field(index).Type)
	if err := p.meta.PrimitiveDecode(value, decoded.Interface()); err != nil {
		p.blame(key, value, "must be "+typeName(decoded.Elem().Type()))
		return setting{}, false
	}
	return setting{key: key, value: value, decoded: decoded.Elem()}, true
}

// blame records the file's first fault.
func (p *parsed) blame(key Key, value toml.Primitive, reason string) {
	if p.fault == nil {
		p.fault = p.refuse(key, value, reason)
	}
}

// entries returns a table's values by name; ok is false for anything else.
func (p *parsed) entries(value toml.Primitive) (entries map[string]toml.Primitive, ok bool) {
	err := p.meta.PrimitiveDecode(value, &entries)
	return entries, err == nil && entries != nil
}

func (p *parsed) refuse(key Key, value toml.Primitive, reason string) *Refusal {
	return &Refusal{File: p.name, Line: p.line(value), Key: key, Reason: reason}
}

// line returns the line of a value's key, or for a table without a header of
// its own that of its first entry. The library gives positions with errors
// only, so the value is decoded into something that fails.
func (p *parsed) line(value toml.Primitive) int {
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

type lineProbe struct{}

// UnmarshalTOML always fails.
func (*lineProbe) UnmarshalTOML(any) error { return &Refusal{} }

// maxNameBytes keeps names printable in one log line.
const maxNameBytes = 128

// nameChars are safe in URLs, log lines and stream names without quoting.
const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:"

func badName(key Key) string {
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
