package config

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/BurntSushi/toml"
)

// Source says where a setting's value, or a table's first declaration, is from.
type Source struct {
	File    string
	Partner string
	Author  string
	Offset  uint64 // of the file's version on the config stream; 0 offline
}

// Provenance gives the source of each setting that a file sets, and of each
// table. A setting without one has its default.
type Provenance map[Key]Source

// Build merges the files in the order of their names and checks the result.
// An error is a *Refusal.
func Build(files []File) (*Config, Provenance, error) {
	return NewBuilder().Build(files)
}

// Builder builds again and again, and keeps the files of its last build parsed:
// most changes touch one file of many. It has one owner.
type Builder struct {
	parsed map[fileKey]*parsed
}

// fileKey is what a parsed file depends on.
type fileKey struct{ name, content string }

// NewBuilder returns a builder that knows no file yet.
func NewBuilder() *Builder { return &Builder{} }

// Build does what the function Build does.
func (b *Builder) Build(files []File) (*Config, Provenance, error) {
	return b.buildFor(files, "")
}

// InForce builds from files that were accepted, maybe by a program of another
// version: what this program doesn't understand in them is left out, and its
// own rules aren't applied. The refusal is what Build would have said, or nil.
func (b *Builder) InForce(files []File) (*Config, Provenance, *Refusal) {
	g, refusal := b.merge(files, "")
	c := g.config()
	if refusal == nil {
		refusal = g.check(c)
	}
	return c, g.provenance(), refusal
}

// buildFor builds, and where a rule is broken between two files names the
// subject, the file that is being changed, rather than the other.
func (b *Builder) buildFor(files []File, subject string) (*Config, Provenance, error) {
	g, refusal := b.merge(files, subject)
	if refusal != nil {
		return nil, nil, refusal
	}
	c := g.config()
	if refusal := g.check(c); refusal != nil {
		return nil, nil, refusal
	}
	return c, g.provenance(), nil
}

// merge merges all files and returns the first refusal on the way, or nil.
func (b *Builder) merge(files []File, subject string) (*merger, *Refusal) {
	g := &merger{subject: subject, sources: map[Key]source{}, tables: map[Key]reflect.Value{}}
	kept := make(map[fileKey]*parsed, len(files))
	for _, f := range inForce(files) {
		key := fileKey{name: f.Name, content: string(f.Content)}
		p := b.parsed[key]
		if p == nil {
			p = parse(f)
		}
		kept[key] = p
		g.add(f, p)
	}
	b.parsed = kept
	return g, g.refusal
}

// inForce returns the files that take part in the merge, by name.
func inForce(files []File) []File {
	kept := make([]File, 0, len(files))
	for _, f := range files {
		if !f.Removed {
			kept = append(kept, f)
		}
	}
	slices.SortFunc(kept, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return kept
}

// source is where a setting or a table stands in a file.
type source struct {
	file  File
	in    *parsed
	value toml.Primitive
}

// merger merges files setting by setting.
type merger struct {
	subject  string
	sources  map[Key]source
	tables   map[Key]reflect.Value // the structs, by table
	order    []Key                 // tables by first declaration
	partners []string              // of files, by first file
	refusal  *Refusal              // the first, or nil
}

func (g *merger) add(f File, p *parsed) {
	if reason := badName(Key{Kind: kindPartners, Name: f.Partner}); reason != "" {
		g.blame(&Refusal{File: f.Name, Reason: "its partner: " + reason})
		return
	}
	if p.fault != nil {
		g.blame(p.fault)
	}
	if !slices.Contains(g.partners, f.Partner) {
		g.partners = append(g.partners, f.Partner)
	}
	for _, t := range p.tables {
		g.addTable(t, source{file: f, in: p, value: t.value})
	}
}

func (g *merger) blame(r *Refusal) {
	if g.refusal == nil {
		g.refusal = r
	}
}

func (g *merger) addTable(t table, at source) {
	if t.key.Kind == kindPartners && t.key.Name != at.file.Partner {
		g.blame(at.in.refuse(t.key, t.value, "only the partner itself may set this"))
		return
	}
	first, declared := g.sources[t.key]
	if !declared {
		first = at
		g.declare(t.key, first)
	}
	if first.file.Partner != at.file.Partner {
		g.blame(g.conflict(t.key, first, at))
		return
	}
	for _, s := range t.settings {
		g.tables[t.key].Field(schema[t.key.Kind].settings[s.key.Setting]).Set(s.decoded)
		g.sources[s.key] = source{file: at.file, in: at.in, value: s.value}
	}
}

// conflict refuses a table that two partners' files set. Neither order of
// names nor of time makes it the second one's: the change that brings the
// conflict about is refused, so what was in force stays.
func (g *merger) conflict(key Key, first, second source) *Refusal {
	if first.file.Name == g.subject {
		first, second = second, first
	}
	reason := "belongs to partner " + first.file.Partner + ", whose file " + first.file.Name + " sets it"
	return second.in.refuse(key, second.value, reason)
}

func (g *merger) declare(key Key, at source) {
	k := schema[key.Kind]
	v := reflect.New(k.defaults.Type()).Elem()
	v.Set(k.defaults)
	if k.owner >= 0 {
		v.Field(k.owner).SetString(at.file.Partner)
	}
	g.sources[key] = at
	g.tables[key] = v
	g.order = append(g.order, key)
}

// config returns the merged configuration. Each partner with a file has its
// entry, with defaults where it declares none.
func (g *merger) config() *Config {
	c := &Config{}
	fields := reflect.ValueOf(c).Elem()
	for _, k := range schema {
		fields.Field(k.field).Set(reflect.MakeMap(fields.Field(k.field).Type()))
	}
	for _, key := range g.order {
		fields.Field(schema[key.Kind].field).SetMapIndex(reflect.ValueOf(key.Name), g.tables[key])
	}
	for _, name := range g.partners {
		if _, set := c.Partners[name]; !set {
			c.Partners[name] = schema[kindPartners].defaults.Interface().(Partner)
		}
	}
	return c
}

func (g *merger) provenance() Provenance {
	out := make(Provenance, len(g.sources))
	for key, s := range g.sources {
		f := s.file
		out[key] = Source{File: f.Name, Partner: f.Partner, Author: f.Author, Offset: f.Offset}
	}
	return out
}

// refuse names the first of the keys that the subject sets, or else the first.
// A setting that no file sets stands for its table.
func (g *merger) refuse(reason string, keys ...Key) *Refusal {
	chosen := keys[0]
	for _, k := range keys {
		if g.at(k).in != nil && g.at(k).file.Name == g.subject {
			chosen = k
			break
		}
	}
	at := g.at(chosen)
	if at.in == nil {
		return &Refusal{File: g.subject, Key: chosen, Reason: reason}
	}
	return at.in.refuse(chosen, at.value, reason)
}

func (g *merger) at(k Key) source {
	if s, ok := g.sources[k]; ok {
		return s
	}
	return g.sources[Key{Kind: k.Kind, Name: k.Name}]
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "an array of strings"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.Struct:
		return "a time, as in 2026-12-02T10:00:00Z"
	}
	return "a string"
}
