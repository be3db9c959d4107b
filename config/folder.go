package config

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

const opReadFolder = "read folder"

// ReadFolder reads the configuration files of a folder and returns their contents by file name. Subfolders, hidden files
// and files that do not end in .yaml or .yml are ignored.
func ReadFolder(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, folderError(err)
	}
	files := map[string][]byte{}
	for _, e := range entries {
		if e.IsDir() || !IsConfigFile(e.Name()) {
			continue
		}
		if len(files) == MaxFiles {
			return nil, fault.New(fault.CodeTooLarge, opReadFolder, "%s has more than %d configuration files", dir, MaxFiles)
		}
		content, err := readLimited(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, folderError(err)
		}
		files[e.Name()] = content
	}
	return files, nil
}

// readLimited reads at most one byte more than the largest accepted file, which is enough for Parse to refuse the file as
// too large.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
}

func folderError(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return fault.New(fault.CodeNotFound, opReadFolder, "%s", err)
	}
	return fault.New(fault.CodeInvalid, opReadFolder, "%s", err)
}
