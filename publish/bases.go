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

// BasesFile is the name of the file in which a folder stores the base version of
// each of its files.
const BasesFile = ".greengageferry-bases.json"

// bases maps the names of a folder's files to the versions that they were edited
// from. A version is identified by its log offset.
type bases map[string]infra.Offset

// readBases reads a folder's base versions. A folder without BasesFile has none.
func readBases(dir string) (bases, error) {
	data, err := os.ReadFile(filepath.Join(dir, BasesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return bases{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the folder's base versions")
	}
	b := bases{}
	return b, errors.Wrap(json.Unmarshal(data, &b), "reading the folder's base versions")
}

// update records that a change from this folder was accepted.
func (b bases) update(change *record.ConfigChange, offset infra.Offset) {
	if change.GetRemoved() {
		delete(b, change.GetFile())
		return
	}
	b[change.GetFile()] = offset
}

// write replaces BasesFile atomically, so that readers never see a partial file.
func (b bases) write(dir string) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "writing the folder's base versions")
	}
	next := filepath.Join(dir, BasesFile+".new")
	if err := os.WriteFile(next, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "writing the folder's base versions")
	}
	return errors.Wrap(os.Rename(next, filepath.Join(dir, BasesFile)), "writing the folder's base versions")
}
