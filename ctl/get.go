package ctl

import (
	"os"
	"path/filepath"

	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
	"bronzehook/operator"
)

type getCommand struct {
	app       *App
	Into      string `long:"into" description:"write the files into this folder and remember their versions"`
	Overwrite bool   `long:"overwrite" description:"replace files of the folder that were changed there"`
	Args      struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	if c.Into != "" {
		return c.fetch()
	}
	if len(c.Args.Files) > 0 {
		return c.show()
	}
	var answer operator.FilesResponse
	if err := c.app.client.get(c.app.ctx, "/v1/files", &answer); err != nil {
		return err
	}
	return c.app.print(answer, func() { c.app.printFiles(answer) })
}

func (a *App) printFiles(answer operator.FilesResponse) {
	if !answer.Confirmed {
		a.notice("the platform's table cannot be read; a later revision may exist")
	}
	a.printf("revision %d, %s\n", answer.Revision, count(len(answer.Files), "file"))
	a.table("FILE\tVERSION\tAUTHOR", func(add func(...any)) {
		for _, f := range answer.Files {
			add(f.Name, f.Version, f.Author)
		}
	})
}

func (c *getCommand) show() error {
	files := []operator.FileResponse{}
	for _, name := range c.Args.Files {
		var f operator.FileResponse
		if err := c.app.client.get(c.app.ctx, filePath(name), &f); err != nil {
			return err
		}
		files = append(files, f)
	}
	return c.app.print(files, func() {
		for _, f := range files {
			c.app.printf("%s", f.Content)
		}
	})
}

// fetch writes recorded files into a folder. A file that was changed there stays, unless it may be overwritten.
func (c *getCommand) fetch() error {
	known, err := readBases(c.Into)
	if err != nil {
		return err
	}
	if known == nil {
		known = bases{}
	}
	wanted, err := c.wanted()
	if err != nil {
		return err
	}
	for _, name := range wanted {
		var f operator.FileResponse
		if err := c.app.client.get(c.app.ctx, filePath(name), &f); err != nil {
			return err
		}
		if err := c.store(f, known); err != nil {
			return err
		}
	}
	if err := known.write(c.Into); err != nil {
		return err
	}
	return c.app.print(wanted, func() { c.app.printf("wrote %s into %s\n", count(len(wanted), "file"), filepath.Base(c.Into)) })
}

func (c *getCommand) wanted() ([]string, error) {
	if len(c.Args.Files) > 0 {
		return c.Args.Files, nil
	}
	var answer operator.FilesResponse
	if err := c.app.client.get(c.app.ctx, "/v1/files", &answer); err != nil {
		return nil, err
	}
	all := []string{}
	for _, f := range answer.Files {
		all = append(all, f.Name)
	}
	return all, nil
}

// store writes one file. The name comes from an instance, so it is checked before it becomes part of a path.
func (c *getCommand) store(f operator.FileResponse, known bases) error {
	if reason := config.CheckFileName(f.Name); reason != "" {
		return fault.New(fault.CodeInvalid, "write folder", "%q: %s", f.Name, reason)
	}
	path := filepath.Join(c.Into, f.Name)
	if !c.Overwrite && changedLocally(path, known[f.Name], f.Digest) {
		return fault.New(fault.CodeConflict, "write folder", "%s was changed in the folder; --overwrite replaces it", f.Name)
	}
	if err := writeFile(path, []byte(f.Content)); err != nil {
		return err
	}
	known[f.Name] = base{Version: f.Version, Digest: f.Digest}
	return nil
}

// changedLocally reports whether a file differs both from what the folder got from the record and from what it would
// get now.
func changedLocally(path string, from base, recorded string) bool {
	content, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	digest := rollout.Digest(content)
	return digest != from.Digest && digest != recorded
}
