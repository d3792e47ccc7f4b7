package replay

import (
	"cmp"
	"maps"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// MaxPending is the maximum number of configuration changes waiting for a
// verdict; further changes have no effect. A day has 2,700 changes, so the limit
// is reached only if no instance writes verdicts.
const MaxPending = 4096

// File is the version of a configuration file in force. It is immutable. A removed
// file keeps a version without content, so that a concurrent edit of the file is
// recognized as a conflict.
type File struct {
	Name    string
	Partner string
	Author  string
	Content []byte // TOML
	Removed bool
	Offset  infra.Offset // offset of the change that created the version; the next edit names it as its base
}

// Pending is a configuration change that waits for its verdict.
type Pending struct {
	Offset infra.Offset
	Change *record.ConfigChange // must not be modified
}

// ConfigView is an immutable snapshot of the config stream.
type ConfigView struct {
	Offset     infra.Offset
	LastChange infra.Offset // offset of the verdict that last changed the files in force; 0: none did
	Files      []*File      // files in force, sorted by name, including removed ones
	Pending    []Pending    // oldest first; the first one gets the next verdict
}

// Base returns the offset of the file's version in force, which an edit of the file
// must name as its base. It returns 0 for a file that was never in force.
func (v *ConfigView) Base(file string) infra.Offset {
	i, found := slices.BinarySearchFunc(v.Files, file, func(f *File, name string) int { return cmp.Compare(f.Name, name) })
	if !found {
		return 0
	}
	return v.Files[i].Offset
}

// Config is the state machine of the config stream. A change comes into force by a
// verdict that accepts it. Verdicts apply strictly in the order of the changes,
// and only the first verdict on a change counts. Config doesn't check whether a
// change's base is still the version in force: the instance that writes the
// verdict does.
type Config struct {
	machineBase
	files      map[string]*File
	pending    []Pending
	lastChange infra.Offset
	view       *ConfigView // view of the current state, or nil
}

// NewConfig returns the machine of an empty stream.
func NewConfig() *Config {
	return &Config{machineBase: newMachineBase(), files: map[string]*File{}}
}

// Apply implements Machine.
func (c *Config) Apply(offset infra.Offset, r *record.Record) {
	if !c.accept(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_ConfigChange:
		c.countRecord(r, c.addPending(offset, body.ConfigChange))
	case *record.Record_ConfigVerdict:
		c.countRecord(r, c.applyVerdict(offset, body.ConfigVerdict))
	case *record.Record_Checkpoint:
		c.countRecord(r, applied)
	default:
		c.countRecord(r, unexpected)
	}
}

// addPending adds a change that waits for its verdict.
func (c *Config) addPending(offset infra.Offset, change *record.ConfigChange) applyResult {
	if change.GetFile() == "" || len(c.pending) >= MaxPending {
		return noEffect
	}
	c.pending = append(slices.Clip(c.pending), Pending{Offset: offset, Change: change})
	c.view = nil
	return applied
}

// applyVerdict applies a verdict on the oldest pending change.
func (c *Config) applyVerdict(offset infra.Offset, v *record.ConfigVerdict) applyResult {
	if len(c.pending) == 0 || infra.Offset(v.GetChange()) != c.pending[0].Offset {
		return noEffect
	}
	change := c.pending[0]
	c.pending = c.pending[1:]
	c.view = nil
	if !v.GetAccepted() {
		return applied
	}
	c.lastChange = offset
	c.files[change.Change.GetFile()] = fileFromChange(change)
	return applied
}

// fileFromChange returns the version of the file that the change creates.
func fileFromChange(p Pending) *File {
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

// View returns a view of the current state. It is rebuilt only after a change.
func (c *Config) View() *ConfigView {
	if c.view == nil {
		files := slices.SortedFunc(maps.Values(c.files), func(a, b *File) int { return cmp.Compare(a.Name, b.Name) })
		c.view = &ConfigView{Offset: c.offset, LastChange: c.lastChange, Files: files, Pending: slices.Clip(c.pending)}
	}
	if c.view.Offset != c.offset {
		updated := *c.view
		updated.Offset = c.offset
		c.view = &updated
	}
	return c.view
}

// Files returns the files in force sorted by name, including removed ones.
func (c *Config) Files() []*File { return c.View().Files }

// Pending returns the changes that wait for their verdict, oldest first.
func (c *Config) Pending() []Pending { return c.View().Pending }

// LastChange returns the offset of the verdict that last changed the files in
// force, or 0.
func (c *Config) LastChange() infra.Offset { return c.lastChange }

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
	state := &record.ConfigState{Changed: uint64(c.lastChange)}
	for _, f := range view.Files {
		state.Files = append(state.Files, &record.FileVersion{
			File: f.Name, Partner: f.Partner, Author: f.Author,
			Content: f.Content, Removed: f.Removed, Offset: uint64(f.Offset),
		})
	}
	for _, p := range view.Pending {
		state.Pending = append(state.Pending, &record.PendingChange{Offset: uint64(p.Offset), Change: p.Change})
	}
	out := c.newCheckpoint()
	out.State = &record.Checkpoint_Config{Config: state}
	return out
}

// Restore implements Machine.
func (c *Config) Restore(cp *record.Checkpoint) error {
	state := cp.GetConfig()
	if err := c.checkRestore(cp, state != nil); err != nil {
		return err
	}
	c.restore(cp)
	c.view = nil
	c.lastChange = infra.Offset(state.GetChanged())
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
