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
func Judge(inForce []File, change *record.ConfigChange) *record.ConfigVerdict {
	return NewBuilder().Judge(inForce, change)
}

// Judge does what the function Judge does.
func (b *Builder) Judge(inForce []File, change *record.ConfigChange) *record.ConfigVerdict {
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

func (b *Builder) judge(inForce []File, change *record.ConfigChange) *Refusal {
	refuse := func(reason string) *Refusal { return &Refusal{File: change.GetFile(), Reason: reason} }
	if reason := badFileName(change.GetFile()); reason != "" {
		return refuse(reason)
	}
	current, known := File{}, false
	files := make([]File, 0, len(inForce)+1)
	for _, f := range inForce {
		if f.Name == change.GetFile() {
			current, known = f, true
			continue
		}
		files = append(files, f)
	}
	exists := known && !current.Removed
	switch {
	case current.Offset != change.GetBase():
		return refuse(raceReason(current, change))
	case exists && current.Partner != change.GetPartner():
		return refuse("the file belongs to partner " + current.Partner)
	case change.GetRemoved() && !exists:
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

// raceReason words a change whose base isn't the current version, which has
// offset 0 if there never was one.
func raceReason(current File, change *record.ConfigChange) string {
	edited := "it was edited from version " + strconv.FormatUint(change.GetBase(), 10)
	if current.Offset == 0 {
		return edited + ", which is not in force"
	}
	return edited + ", but version " + strconv.FormatUint(current.Offset, 10) + " by " + current.Author +
		" is in force: take that in and publish again"
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
