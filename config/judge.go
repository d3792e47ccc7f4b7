package config

import (
	"errors"
	"strconv"
	"strings"

	"greengageferry/record"
)

// FileSuffix is the suffix of every configuration file's name.
const FileSuffix = ".toml"

// Judge decides whether a change is accepted, given the file versions in
// force at the change's position on the log. It is a pure function of its
// arguments, so instances that run the same program reach the same verdict. The
// caller sets the verdict's Change, which is the change's offset, and its Program.
func Judge(inForce []File, change *record.ConfigChange) *record.ConfigVerdict {
	return NewBuilder().Judge(inForce, change)
}

// Judge is like the function Judge, but reuses parsed files.
func (b *Builder) Judge(inForce []File, change *record.ConfigChange) *record.ConfigVerdict {
	invalid := b.checkChange(inForce, change)
	if invalid == nil {
		return &record.ConfigVerdict{Accepted: true, File: change.GetFile()}
	}
	reason := invalid.Reason
	if invalid.Key.Kind != "" {
		reason = invalid.Key.String() + ": " + reason
	}
	return &record.ConfigVerdict{Reason: reason, File: invalid.File, Line: uint32(invalid.Line)}
}

// checkChange returns why a change is rejected, or nil.
func (b *Builder) checkChange(inForce []File, change *record.ConfigChange) *ValidationError {
	refuse := func(reason string) *ValidationError { return &ValidationError{File: change.GetFile(), Reason: reason} }
	if reason := fileNameProblem(change.GetFile()); reason != "" {
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
		return refuse(conflictReason(current, change))
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
	_, _, err := b.buildChange(files, change.GetFile())
	var invalid *ValidationError
	errors.As(err, &invalid)
	return invalid
}

// conflictReason returns the reason for rejecting a change whose base isn't the
// current version. The current version's offset is 0 if the file never existed.
func conflictReason(current File, change *record.ConfigChange) string {
	edited := "it was edited from version " + strconv.FormatUint(change.GetBase(), 10)
	if current.Offset == 0 {
		return edited + ", which is not in force"
	}
	return edited + ", but version " + strconv.FormatUint(current.Offset, 10) + " by " + current.Author +
		" is in force: take that in and publish again"
}

// fileNameProblem returns what is wrong with a file's name, or "".
func fileNameProblem(name string) string {
	if !strings.HasSuffix(name, FileSuffix) || strings.HasPrefix(name, ".") || name == FileSuffix {
		return "a file's name ends in " + FileSuffix + " and doesn't begin with a dot"
	}
	if reason := nameProblem(Key{Kind: "file", Name: name}); reason != "" {
		return reason
	}
	return ""
}
