package config

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// ReadPartnerDir reads the configuration files in one partner's folder: regular
// files that end in FileSuffix and don't begin with a dot.
func ReadPartnerDir(dir, partner string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "reading the folder of partner "+partner)
	}
	var files []File
	for _, e := range entries {
		if !e.Type().IsRegular() || strings.HasPrefix(e.Name(), ".") || !strings.HasSuffix(e.Name(), FileSuffix) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "reading a file of partner "+partner)
		}
		files = append(files, File{Name: e.Name(), Partner: partner, Content: content})
	}
	return files, nil
}

// ReadSharedDir reads a folder that has one subfolder for each partner, named
// after the partner. If two partners have a file of the same name, the error is
// a *ValidationError.
func ReadSharedDir(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "reading the shared folder")
	}
	var files []File
	seen := map[string]string{}
	for _, e := range entries {
		if !e.IsDir() || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		own, err := ReadPartnerDir(filepath.Join(dir, e.Name()), e.Name())
		if err != nil {
			return nil, err
		}
		for _, f := range own {
			if other, taken := seen[f.Name]; taken {
				return nil, &ValidationError{File: f.Name, Reason: "partners " + other + " and " + f.Partner + " both have a file of this name"}
			}
			seen[f.Name] = f.Partner
		}
		files = append(files, own...)
	}
	return files, nil
}
