package config

import (
	"errors"
	"strconv"
	"strings"

	"greengageferry/record"
)

// FileSuffix ends the name of every configuration file.
const FileSuffix = ".toml"

// Judge says whether a change may come into force after the versions that are
// in force at its place on the log. It is a pure function of its arguments.
// Judge doesn't set the verdict's Change, which is the change's own offset, nor
// its Program.
func Judge(inForce []*record.FileVersion, change *record.ConfigChange) *record.ConfigVerdict {
	return NewBuilder().Judge(inForce, change)
}

// Judge does what the function Judge does.
func (b *Builder) Judge(inForce []*record.FileVersion, change *record.ConfigChange) *record.ConfigVerdict {
	refusal := b.judge(inForce, change)
	if refusal == nil {
		return &record.ConfigVerdict{Accepted: true, File: change.GetFile()}
	}
	reason := refusal.Reason
	if refusal.Key.Kind != "" {
		reason = refusal.Key.String() + ": " + reason
	}
	return &record.ConfigVerdict{Reason: reason, File: refusal.File, Line: uint32(refusal.Line)}
}

func (b *Builder) judge(inForce []*record.FileVersion, change *record.ConfigChange) *Refusal {
	refuse := func(reason string) *Refusal { return &Refusal{File: change.GetFile(), Reason: reason} }
	if reason := badFileName(change.GetFile()); reason != "" {
		return refuse(reason)
	}
	var current *record.FileVersion
	files := make([]File, 0, len(inForce)+1)
	for _, f := range Files(inForce) {
		if f.Name != change.GetFile() {
			files = append(files, f)
		}
	}
	for _, v := range inForce {
		if v.GetFile() == change.GetFile() {
			current = v
		}
	}
	if current.GetOffset() != change.GetBase() {
		return refuse(raceReason(current, change))
	}
	if current != nil && !current.GetRemoved() && current.GetPartner() != change.GetPartner() {
		return refuse("the file belongs to partner " + current.GetPartner())
	}
	if change.GetRemoved() && (current == nil || current.GetRemoved()) {
		return refuse("there is no such file to remove")
	}
	files = append(files, File{
		Name:    change.GetFile(),
		Partner: change.GetPartner(),
		Author:  change.GetAuthor(),
		Content: change.GetContent(),
		Removed: change.GetRemoved(),
	})
	_, _, err := b.buildFor(files, change.GetFile())
	var refusal *Refusal
	errors.As(err, &refusal)
	return refusal
}

func raceReason(current *record.FileVersion, change *record.ConfigChange) string {
	if current == nil {
		return "it was edited from version " + strconv.FormatUint(change.GetBase(), 10) + ", which is not in force"
	}
	return "it was edited from version " + strconv.FormatUint(change.GetBase(), 10) + ", but version " +
		strconv.FormatUint(current.GetOffset(), 10) + " by " + current.GetAuthor() + " is in force: take that in and publish again"
}

func badFileName(name string) string {
	if !strings.HasSuffix(name, FileSuffix) || strings.HasPrefix(name, ".") || name == FileSuffix {
		return "a file's name ends in " + FileSuffix + " and doesn't begin with a dot"
	}
	if reason := badName(Key{Kind: "file", Name: name}); reason != "" {
		return reason
	}
	return ""
}
