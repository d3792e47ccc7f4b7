package replay

import (
	"cmp"
	"maps"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// MaxPending is how many configuration changes may wait for a verdict; a
// further one is void. A day has 2,700 changes, so only a stream without any
// judge comes near it.
const MaxPending = 4096

// File is one configuration file in force. It is immutable. A removed file
// that was in force keeps a version without content, so that a racing edit of
// it is seen as a race.
type File struct {
	Name    string
	Partner string
	Author  string
	Content []byte // TOML
	Removed bool
	Offset  infra.Offset // of its change: the base of the next edit
}

// Pending is a change without a verdict.
type Pending struct {
	Offset infra.Offset
	Change *record.ConfigChange // not to be changed
}

// ConfigView is an immutable view of the config stream.
type ConfigView struct {
	Offset  infra.Offset
	Changed infra.Offset // the verdict that last changed what is in force; 0: none did
	Files   []*File      // by name; removed ones included
	Pending []Pending    // oldest first: the first one is next to be judged
}

// Base returns the offset of the file's version in force, which an edit of it
// has to name; 0 for a file that was never in force.
func (v *ConfigView) Base(file string) infra.Offset {
	i, found := slices.BinarySearchFunc(v.Files, file, func(f *File, name string) int { return cmp.Compare(f.Name, name) })
	if !found {
		return 0
	}
	return v.Files[i].Offset
}

// Config is the config stream's machine. A change waits for its verdict;
// verdicts are taken strictly in the order of the changes, and the first on
// the oldest change stands. Whether a change's base still is the version in
// force is the judge's to say.
type Config struct {
	base
	files   map[string]*File
	pending []Pending
	changed infra.Offset
	view    *ConfigView // of the state now, or nil
}

// NewConfig returns the machine of an empty stream.
func NewConfig() *Config {
	return &Config{base: newBase(), files: map[string]*File{}}
}

// Apply implements Machine.
func (c *Config) Apply(offset infra.Offset, r *record.Record) {
	if !c.begin(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_ConfigChange:
		c.count(r, c.propose(offset, body.ConfigChange))
	case *record.Record_ConfigVerdict:
		c.count(r, c.judge(offset, body.ConfigVerdict))
	case *record.Record_Checkpoint:
		c.count(r, applied)
	default:
		c.count(r, foreign)
	}
}

func (c *Config) propose(offset infra.Offset, change *record.ConfigChange) verdict {
	if change.GetFile() == "" || len(c.pending) >= MaxPending {
		return void
	}
	c.pending = append(slices.Clip(c.pending), Pending{Offset: offset, Change: change})
	c.view = nil
	return applied
}

func (c *Config) judge(offset infra.Offset, v *record.ConfigVerdict) verdict {
	if len(c.pending) == 0 || infra.Offset(v.GetChange()) != c.pending[0].Offset {
		return void
	}
	judged := c.pending[0]
	c.pending = c.pending[1:]
	c.view = nil
	if !v.GetAccepted() {
		return applied
	}
	c.changed = offset
	c.files[judged.Change.GetFile()] = fileOf(judged)
	return applied
}

func fileOf(p Pending) *File {
	f := &File{
		Name:    p.Change.GetFile(),
		Partner: p.Change.GetPartner(),
		Author:  p.Change.GetAuthor(),
		Removed: p.Change.GetRemoved(),
		Offset:  p.Offset,
	}
	if !f.Removed {
		f.Content = p.Change.GetContent()
	}
	return f
}

// View returns the state now. It is built anew only after a change.
func (c *Config) View() *ConfigView {
	if c.view == nil {
		files := slices.SortedFunc(maps.Values(c.files), func(a, b *File) int { return cmp.Compare(a.Name, b.Name) })
		c.view = &ConfigView{Offset: c.offset, Changed: c.changed, Files: files, Pending: slices.Clip(c.pending)}
	}
	if c.view.Offset != c.offset {
		moved := *c.view
		moved.Offset = c.offset
		c.view = &moved
	}
	return c.view
}

// Files returns the files in force by name, removed ones included.
func (c *Config) Files() []*File { return c.View().Files }

// Pending returns the changes without a verdict, oldest first.
func (c *Config) Pending() []Pending { return c.View().Pending }

// Changed returns the offset of the verdict that last changed what is in force.
func (c *Config) Changed() infra.Offset { return c.changed }

// Base returns the offset of the file's version in force, or 0.
func (c *Config) Base(file string) infra.Offset {
	if f := c.files[file]; f != nil {
		return f.Offset
	}
	return 0
}

// Checkpoint implements Machine.
func (c *Config) Checkpoint() *record.Checkpoint {
	view := c.View()
	state := &record.ConfigState{Changed: uint64(c.changed)}
	for _, f := range view.Files {
		state.Files = append(state.Files, &record.FileVersion{
			File: f.Name, Partner: f.Partner, Author: f.Author,
			Content: f.Content, Removed: f.Removed, Offset: uint64(f.Offset),
		})
	}
	for _, p := range view.Pending {
		state.Pending = append(state.Pending, &record.PendingChange{Offset: uint64(p.Offset), Change: p.Change})
	}
	out := c.checkpoint()
	out.State = &record.Checkpoint_Config{Config: state}
	return out
}

// Restore implements Machine.
func (c *Config) Restore(cp *record.Checkpoint) error {
	state := cp.GetConfig()
	if err := c.admissible(cp, state != nil); err != nil {
		return err
	}
	c.restore(cp)
	c.view = nil
	c.changed = infra.Offset(state.GetChanged())
	c.files = make(map[string]*File, len(state.GetFiles()))
	for _, f := range state.GetFiles() {
		c.files[f.GetFile()] = &File{
			Name: f.GetFile(), Partner: f.GetPartner(), Author: f.GetAuthor(),
			Content: f.GetContent(), Removed: f.GetRemoved(), Offset: infra.Offset(f.GetOffset()),
		}
	}
	c.pending = nil
	for _, p := range state.GetPending() {
		c.pending = append(c.pending, Pending{Offset: infra.Offset(p.GetOffset()), Change: p.GetChange()})
	}
	return nil
}
