package config

import "fmt"

// MaxFileBytes is the maximum size of one file, in bytes. It is several times
// what hundreds of models need, and keeps a file's log record well below 1 MB.
const MaxFileBytes = 256 << 10

// File is one version of a partner's file.
type File struct {
	Name    string // base name; files are merged in the order of their names
	Partner string // partner that owns the file
	Author  string // who published this version
	Content []byte // TOML
	Removed bool   // the file was removed and is not merged
	Offset  uint64 // log offset of this version on the config stream; 0 if read from a folder
}

// Key identifies a setting, such as models.tray-planner.mib. For a whole table
// Setting is empty; for all tables of a kind Name is empty too.
type Key struct {
	Kind    string // partners, pools, models, adapters, services, callers or lifts
	Name    string
	Setting string
}

// String returns the key in dotted form, and "" for the zero key.
func (k Key) String() string {
	switch {
	case k.Name == "":
		return k.Kind
	case k.Setting == "":
		return k.Kind + "." + k.Name
	}
	return k.Kind + "." + k.Name + "." + k.Setting
}

// ValidationError says why files are not a valid configuration. Build returns no
// other kind of error.
type ValidationError struct {
	File   string
	Line   int // from 1; 0 if unknown
	Key    Key // zero if the reason concerns no single key
	Reason string
}

// Error implements error.
func (r *ValidationError) Error() string {
	at := r.File
	if r.Line > 0 {
		at = fmt.Sprintf("%s:%d", r.File, r.Line)
	}
	if r.Key.Kind == "" {
		return fmt.Sprintf("%s: %s", at, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", at, r.Key, r.Reason)
}
