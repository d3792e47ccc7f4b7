package config

import "fmt"

// MaxFileBytes bounds one file's content: hundreds of models fit in it many
// times over, and a record on the log stays well below a megabyte.
const MaxFileBytes = 256 << 10

// File is one version of a partner's file.
type File struct {
	Name    string // without a directory; files are merged in the order of their names
	Partner string // whose folder it is in
	Author  string
	Content []byte // TOML
	Removed bool   // it was removed: it falls out of the merge
	Offset  uint64 // of its change on the config stream; 0 offline
}

// Key names a setting, such as models.tray-planner.mib. Setting is empty for
// the whole table, Name and Setting for a kind of tables.
type Key struct {
	Kind    string // partners, pools, models, adapters, services or callers
	Name    string
	Setting string
}

// String returns the key in dotted form; it is empty for the zero key.
func (k Key) String() string {
	switch {
	case k.Name == "":
		return k.Kind
	case k.Setting == "":
		return k.Kind + "." + k.Name
	}
	return k.Kind + "." + k.Name + "." + k.Setting
}

// Refusal says why files are not a valid configuration. It is the only error
// that Build returns.
type Refusal struct {
	File   string
	Line   int // 0: the reason has no line
	Key    Key // zero: the reason has no key
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	at := r.File
	if r.Line > 0 {
		at = fmt.Sprintf("%s:%d", r.File, r.Line)
	}
	if r.Key.Kind == "" {
		return fmt.Sprintf("%s: %s", at, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", at, r.Key, r.Reason)
}
