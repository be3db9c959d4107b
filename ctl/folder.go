package ctl

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
	"bronzehook/operator"
)

// baseFileName names the file that stores, for each file of a folder, the recorded version that it was made from.
// Without it, the recorded versions at the time of the command are the base, and an edit that another operator recorded
// earlier would be overwritten.
const baseFileName = ".bronzehook-base.json"

// base is the recorded version that a local file was made from, with the digest of its content.
type base struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// bases is the content of the file baseFileName, by file name. It is nil if the folder has no such file.
type bases map[string]base

// readBases reads the bases of a folder. It returns nil if the folder has none.
func readBases(dir string) (bases, error) {
	data, err := os.ReadFile(filepath.Join(dir, baseFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "read folder", "%s", err)
	}
	found := bases{}
	if err := json.Unmarshal(data, &found); err != nil {
		return nil, fault.New(fault.CodeInvalid, "read folder", "%s cannot be read: %s; it may be deleted", baseFileName, err)
	}
	return found, nil
}

// writeFile replaces a file atomically, so that an interruption leaves the old content.
func writeFile(path string, data []byte) error {
	tempPath := path + ".tmp"
	if err := os.WriteFile(tempPath, data, 0o644); err != nil {
		return fault.New(fault.CodeInvalid, "write folder", "%s", err)
	}
	if err := os.Rename(tempPath, path); err != nil {
		return fault.New(fault.CodeInvalid, "write folder", "%s", err)
	}
	return nil
}

// newerThan reports whether a base is later than the fleet's revision. Revisions never go down, so such a base comes
// from another fleet, for example from an earlier run with --dev.
func (b bases) newerThan(revision uint64) bool {
	for _, fileBase := range b {
		if fileBase.Version > revision {
			return true
		}
	}
	return false
}

// write stores the bases in a folder.
func (b bases) write(dir string) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode base versions")
	}
	return writeFile(filepath.Join(dir, baseFileName), append(data, '\n'))
}

// plan holds the edits that an apply of a folder has to send.
type plan struct {
	edits []operator.FileEdit
	// outdated names the files that changed in the recorded configuration but not in the folder.
	outdated []string
	// missing names the recorded files that are not in the folder and are kept.
	missing []string
	// revision is the recorded revision that the folder was compared with.
	revision uint64
	// newBases is the content of the file baseFileName after the edits are recorded. The versions of sent files are set
	// at that time.
	newBases bases
}

type planOptions struct {
	prune  bool
	rebase bool
}

// makePlan compares the files of a folder with the recorded ones.
func makePlan(local map[string][]byte, localBases bases, recorded []operator.FileInfo, options planOptions) plan {
	p := plan{newBases: bases{}}
	byName := map[string]operator.FileInfo{}
	for _, f := range recorded {
		byName[f.Name] = f
	}
	for _, name := range slices.Sorted(maps.Keys(local)) {
		p.addLocalFile(name, local[name], localBases, byName[name], options.rebase)
	}
	for _, f := range recorded {
		if _, present := local[f.Name]; present {
			continue
		}
		if !options.prune {
			p.missing = append(p.missing, f.Name)
			continue
		}
		p.edits = append(p.edits, operator.FileEdit{File: f.Name, Delete: true, BaseVersion: pruneBaseVersion(f, localBases, options.rebase)})
	}
	return p
}

// addLocalFile adds a file of the folder to the plan: as an edit if it has to be sent, as outdated if only the recorded
// file changed.
func (p *plan) addLocalFile(name string, content []byte, localBases bases, recorded operator.FileInfo, rebase bool) {
	digest := rollout.Digest(content)
	newBase := base{Version: recorded.Version, Digest: digest}
	oldBase, hasBase := localBases[name]
	switch {
	case recorded.Version > 0 && recorded.Digest == digest:
		p.newBases[name] = newBase
	case !rebase && hasBase && oldBase.Digest == digest && oldBase.Version != recorded.Version:
		p.outdated = append(p.outdated, name)
		p.newBases[name] = oldBase
	default:
		if localBases != nil && !rebase {
			newBase.Version = oldBase.Version
		}
		p.edits = append(p.edits, operator.FileEdit{File: name, Content: string(content), BaseVersion: newBase.Version})
		p.newBases[name] = newBase
	}
}

// pruneBaseVersion returns the base version for the deletion of a recorded file. A file without a base is deleted at
// its recorded version: pruning removes every recorded file that the folder lacks.
func pruneBaseVersion(f operator.FileInfo, localBases bases, rebase bool) uint64 {
	if oldBase, hasBase := localBases[f.Name]; hasBase && !rebase {
		return oldBase.Version
	}
	return f.Version
}

// planFolder reads a folder and compares it with the recorded files.
func (a *App) planFolder(dir string, options planOptions) (plan, error) {
	local, err := config.ReadFolder(dir)
	if err != nil {
		return plan{}, err
	}
	localBases, err := readBases(dir)
	if err != nil {
		return plan{}, err
	}
	var recorded operator.FilesResponse
	if err := a.client.get(a.ctx, "/v1/files", &recorded); err != nil {
		return plan{}, err
	}
	if recorded.Confirmed && localBases.newerThan(recorded.Revision) {
		a.notice("%s belongs to another fleet and is ignored: this one is at revision %d", baseFileName, recorded.Revision)
		localBases = nil
	}
	p := makePlan(local, localBases, recorded.Files, options)
	p.revision = recorded.Revision
	for _, name := range p.outdated {
		a.notice("%s: a later version is recorded and the folder's copy is unchanged; not sent (fetch it with get --into)", name)
	}
	if len(p.missing) > 0 {
		a.notice("missing from the folder and kept: %s; --prune removes them", count(len(p.missing), "recorded file"))
	}
	return p, nil
}
