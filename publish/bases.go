package publish

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"greengageferry/infra"
	"greengageferry/record"
)

// BasesFile is where a folder keeps, by file name, the offset of the version on
// the log that it has.
const BasesFile = ".greengageferry-bases.json"

// bases are the versions that a folder's files were edited from.
type bases map[string]infra.Offset

func readBases(dir string) (bases, error) {
	data, err := os.ReadFile(filepath.Join(dir, BasesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return bases{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the folder's versions")
	}
	b := bases{}
	return b, errors.Wrap(json.Unmarshal(data, &b), "reading the folder's versions")
}

// move notes that a change from this folder is in force.
func (b bases) move(change *record.ConfigChange, offset infra.Offset) {
	if change.GetRemoved() {
		delete(b, change.GetFile())
		return
	}
	b[change.GetFile()] = offset
}

// write replaces the file at once, so that a reader never sees half of it.
func (b bases) write(dir string) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "writing the folder's versions")
	}
	next := filepath.Join(dir, BasesFile+".new")
	if err := os.WriteFile(next, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "writing the folder's versions")
	}
	return errors.Wrap(os.Rename(next, filepath.Join(dir, BasesFile)), "writing the folder's versions")
}
