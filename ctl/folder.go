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

// baseFile remembers in a folder which recorded versions its files were made from. Without it, the recorded versions at
// the time of the command count as the base, and an edit that another operator recorded earlier would be overwritten.
const baseFile = ".bronzehook-base.json"

// base is the recorded state that a local file was made from.
type base struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// bases is the content of baseFile. A nil map means that the folder has none.
type bases map[string]base

func readBases(dir string) (bases, error) {
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "read folder", "%s", err)
	}
	known := bases{}
	if err := json.Unmarshal(data, &known); err != nil {
		return nil, fault.New(fault.CodeInvalid, "read folder", "%s cannot be read: %s; it may be deleted", baseFile, err)
	}
	return known, nil
}

// writeFile replaces a file as a whole, so that an interruption leaves the old content.
func writeFile(path string, data []byte) error {
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, 0o644); err != nil {
		return fault.New(fault.CodeInvalid, "write folder", "%s", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fault.New(fault.CodeInvalid, "write folder", "%s", err)
	}
	return nil
}

// areAhead reports whether a base is later than the fleet's revision. Revisions never go down, so such a base was made
// with another fleet, for example an earlier one of --dev.
func (b bases) areAhead(revision uint64) bool {
	for _, from := range b {
		if from.Version > revision {
			return true
		}
	}
	return false
}

func (b bases) write(dir string) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode base versions")
	}
	return writeFile(filepath.Join(dir, baseFile), append(data, '\n'))
}

// plan is what has to be sent for a folder.
type plan struct {
	edits []operator.FileEdit
	// outdated names files that were not changed in the folder, but in the record.
	outdated []string
	// missing names recorded files that the folder lacks and that are kept.
	missing []string
	// revision is the recorded revision that the folder was compared with.
	revision uint64
	// next is the base state of the folder once the edits are recorded; versions of sent files are filled in then.
	next bases
}

type planOptions struct {
	prune  bool
	rebase bool
}

// makePlan compares a folder with the recorded files.
func makePlan(local map[string][]byte, known bases, recorded []operator.FileInfo, options planOptions) plan {
	p := plan{next: bases{}}
	byName := map[string]operator.FileInfo{}
	for _, f := range recorded {
		byName[f.Name] = f
	}
	for _, name := range slices.Sorted(maps.Keys(local)) {
		p.addLocal(name, local[name], known, byName[name], options.rebase)
	}
	for _, f := range recorded {
		if _, present := local[f.Name]; present {
			continue
		}
		if !options.prune {
			p.missing = append(p.missing, f.Name)
			continue
		}
		p.edits = append(p.edits, operator.FileEdit{File: f.Name, Delete: true, BaseVersion: pruneBase(f, known, options.rebase)})
	}
	return p
}

func (p *plan) addLocal(name string, content []byte, known bases, recorded operator.FileInfo, rebase bool) {
	digest := rollout.Digest(content)
	now := base{Version: recorded.Version, Digest: digest}
	from, remembered := known[name]
	switch {
	case recorded.Version > 0 && recorded.Digest == digest:
		p.next[name] = now
	case !rebase && remembered && from.Digest == digest && from.Version != recorded.Version:
		p.outdated = append(p.outdated, name)
		p.next[name] = from
	default:
		if known != nil && !rebase {
			now.Version = from.Version
		}
		p.edits = append(p.edits, operator.FileEdit{File: name, Content: string(content), BaseVersion: now.Version})
		p.next[name] = now
	}
}

// pruneBase is the version that the deletion of a recorded file was decided from. A file that the folder never knew is
// deleted at its recorded version: that is what pruning asks for.
func pruneBase(f operator.FileInfo, known bases, rebase bool) uint64 {
	if from, remembered := known[f.Name]; remembered && !rebase {
		return from.Version
	}
	return f.Version
}

// planFolder reads a folder and compares it with the recorded files.
func (a *App) planFolder(dir string, options planOptions) (plan, error) {
	local, err := config.ReadFolder(dir)
	if err != nil {
		return plan{}, err
	}
	known, err := readBases(dir)
	if err != nil {
		return plan{}, err
	}
	var recorded operator.FilesResponse
	if err := a.client.get(a.ctx, "/v1/files", &recorded); err != nil {
		return plan{}, err
	}
	if recorded.Confirmed && known.areAhead(recorded.Revision) {
		a.notice("%s belongs to another fleet and is ignored: this one is at revision %d", baseFile, recorded.Revision)
		known = nil
	}
	p := makePlan(local, known, recorded.Files, options)
	p.revision = recorded.Revision
	for _, name := range p.outdated {
		a.notice("%s: a later version is recorded and the folder's copy is unchanged; not sent (fetch it with get --into)", name)
	}
	if len(p.missing) > 0 {
		a.notice("missing from the folder and kept: %s; --prune removes them", count(len(p.missing), "recorded file"))
	}
	return p, nil
}
