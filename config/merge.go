package config

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/BurntSushi/toml"
)

// Source is the origin of a setting's value or of a table's first declaration.
type Source struct {
	File    string
	Partner string
	Author  string
	Offset  uint64 // log offset of the file's version on the config stream; 0 if read from a folder
}

// Provenance maps each table, and each setting that a file sets, to its source.
// Settings that are missing from it have their defaults.
type Provenance map[Key]Source

// Build merges the files in the order of their names and validates the result.
// Errors are of type *ValidationError.
func Build(files []File) (*Config, Provenance, error) {
	return NewBuilder().Build(files)
}

// Builder builds configurations and caches the parsed files of its last build,
// because most changes touch one file of many. It is not safe for concurrent use.
type Builder struct {
	parsedFile map[fileKey]*parsedFile // files of the last build
}

// fileKey identifies a parsed file in the cache.
type fileKey struct{ name, content string }

// NewBuilder returns a builder with an empty cache.
func NewBuilder() *Builder { return &Builder{} }

// Build is like the function Build, but reuses parsed files.
func (b *Builder) Build(files []File) (*Config, Provenance, error) {
	return b.buildChange(files, "")
}

// BuildLenient builds from files that were already accepted, possibly by another
// version of this program. It skips what this version doesn't understand and
// does not enforce this version's rules. It always returns a configuration; the
// error is the one that Build would have returned, or nil.
func (b *Builder) BuildLenient(files []File) (*Config, Provenance, *ValidationError) {
	g, invalid := b.merge(files, "")
	c := g.config()
	if invalid == nil {
		invalid = g.check(c)
	}
	return c, g.provenance(), invalid
}

// buildChange builds like Build. Where two files together break a rule, the error
// names the changed file rather than the other one.
func (b *Builder) buildChange(files []File, changedFile string) (*Config, Provenance, error) {
	g, invalid := b.merge(files, changedFile)
	if invalid != nil {
		return nil, nil, invalid
	}
	c := g.config()
	if invalid := g.check(c); invalid != nil {
		return nil, nil, invalid
	}
	return c, g.provenance(), nil
}

// merge merges all files and returns the first error that it found, or nil.
func (b *Builder) merge(files []File, changedFile string) (*merger, *ValidationError) {
	g := &merger{changedFile: changedFile, locations: map[Key]location{}, tables: map[Key]reflect.Value{}}
	kept := make(map[fileKey]*parsedFile, len(files))
	for _, f := range filesToMerge(files) {
		key := fileKey{name: f.Name, content: string(f.Content)}
		p := b.parsedFile[key]
		if p == nil {
			p = parse(f)
		}
		kept[key] = p
		g.addFile(f, p)
	}
	b.parsedFile = kept
	return g, g.firstError
}

// filesToMerge returns the files that aren't removed, sorted by name.
func filesToMerge(files []File) []File {
	kept := make([]File, 0, len(files))
	for _, f := range files {
		if !f.Removed {
			kept = append(kept, f)
		}
	}
	slices.SortFunc(kept, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return kept
}

// location is the position of a setting or a table in a file.
type location struct {
	file   File
	parsed *parsedFile
	value  toml.Primitive
}

// merger merges files setting by setting.
type merger struct {
	changedFile string // preferred in errors; "" if no file is being changed
	locations   map[Key]location
	tables      map[Key]reflect.Value // merged structs such as Model, by table
	tableOrder  []Key                 // tables in the order of their first declarations
	partners    []string              // partners with files, in the order of their first files
	firstError  *ValidationError      // or nil
}

// addFile merges one file over those added before.
func (g *merger) addFile(f File, p *parsedFile) {
	if reason := nameProblem(Key{Kind: kindPartners, Name: f.Partner}); reason != "" {
		g.recordError(&ValidationError{File: f.Name, Reason: "its partner: " + reason})
		return
	}
	if p.firstError != nil {
		g.recordError(p.firstError)
	}
	if !slices.Contains(g.partners, f.Partner) {
		g.partners = append(g.partners, f.Partner)
	}
	for _, t := range p.tables {
		g.addTable(t, location{file: f, parsed: p, value: t.value})
	}
}

// recordError keeps the first error.
func (g *merger) recordError(r *ValidationError) {
	if g.firstError == nil {
		g.firstError = r
	}
}

// addTable merges one table of a file over those added before.
func (g *merger) addTable(t table, at location) {
	if t.key.Kind == kindPartners && t.key.Name != at.file.Partner {
		g.recordError(at.parsed.errorAt(t.key, t.value, "only the partner itself may set this"))
		return
	}
	first, declared := g.locations[t.key]
	if !declared {
		first = at
		g.declareTable(t.key, first)
	}
	if first.file.Partner != at.file.Partner {
		g.recordError(g.ownerConflict(t.key, first, at))
		return
	}
	for _, s := range t.settings {
		g.tables[t.key].Field(schema[t.key.Kind].settings[s.key.Setting]).Set(s.decoded)
		g.locations[s.key] = location{file: at.file, parsed: at.parsed, value: s.value}
	}
}

// ownerConflict returns the error for a table that two partners' files set. It
// blames the changed file, whatever the order of the names or of the versions:
// the change that causes the conflict is rejected, and the configuration in
// force stays.
func (g *merger) ownerConflict(key Key, first, second location) *ValidationError {
	if first.file.Name == g.changedFile {
		first, second = second, first
	}
	reason := "belongs to partner " + first.file.Partner + ", whose file " + first.file.Name + " sets it"
	return second.parsed.errorAt(key, second.value, reason)
}

// declareTable adds a table with the defaults of its kind.
func (g *merger) declareTable(key Key, at location) {
	k := schema[key.Kind]
	v := reflect.New(k.defaults.Type()).Elem()
	v.Set(k.defaults)
	if k.owner >= 0 {
		v.Field(k.owner).SetString(at.file.Partner)
	}
	g.locations[key] = at
	g.tables[key] = v
	g.tableOrder = append(g.tableOrder, key)
}

// config returns the merged configuration. It has an entry for each partner with
// a file; partners that declare none get the defaults.
func (g *merger) config() *Config {
	c := &Config{}
	fields := reflect.ValueOf(c).Elem()
	for _, k := range schema {
		fields.Field(k.field).Set(reflect.MakeMap(fields.Field(k.field).Type()))
	}
	for _, key := range g.tableOrder {
		fields.Field(schema[key.Kind].field).SetMapIndex(reflect.ValueOf(key.Name), g.tables[key])
	}
	for _, name := range g.partners {
		if _, set := c.Partners[name]; !set {
			c.Partners[name] = schema[kindPartners].defaults.Interface().(Partner)
		}
	}
	return c
}

// provenance returns the sources of all settings and tables.
func (g *merger) provenance() Provenance {
	out := make(Provenance, len(g.locations))
	for key, s := range g.locations {
		f := s.file
		out[key] = Source{File: f.Name, Partner: f.Partner, Author: f.Author, Offset: f.Offset}
	}
	return out
}

// errorAt returns an error at the first of the keys that the changed file sets, or
// at the first key if it sets none. For a setting that no file sets, the error
// is at its table.
func (g *merger) errorAt(reason string, keys ...Key) *ValidationError {
	chosen := keys[0]
	for _, k := range keys {
		if g.at(k).parsed != nil && g.at(k).file.Name == g.changedFile {
			chosen = k
			break
		}
	}
	at := g.at(chosen)
	if at.parsed == nil {
		return &ValidationError{File: g.changedFile, Key: chosen, Reason: reason}
	}
	return at.parsed.errorAt(chosen, at.value, reason)
}

// at returns where a setting is set or, if no file sets it, where its
// table is declared.
func (g *merger) at(k Key) location {
	if s, ok := g.locations[k]; ok {
		return s
	}
	return g.locations[Key{Kind: k.Kind, Name: k.Name}]
}

// typeName returns the name of a setting's type for error messages.
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
