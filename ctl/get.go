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
		return c.writeToFolder()
	}
	if len(c.Args.Files) > 0 {
		return c.printContents()
	}
	var response operator.FilesResponse
	if err := c.app.client.get(c.app.ctx, "/v1/files", &response); err != nil {
		return err
	}
	return c.app.print(response, func() { c.app.printFiles(response) })
}

func (a *App) printFiles(response operator.FilesResponse) {
	if !response.Confirmed {
		a.notice("the platform's table cannot be read; a later revision may exist")
	}
	a.printf("revision %d, %s\n", response.Revision, count(len(response.Files), "file"))
	a.printTable("FILE\tVERSION\tAUTHOR", func(add func(...any)) {
		for _, f := range response.Files {
			add(f.Name, f.Version, f.Author)
		}
	})
}

// printContents prints the content of the named files.
func (c *getCommand) printContents() error {
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

// writeToFolder writes recorded files into a folder. A file that was changed in the folder is replaced only with
// --overwrite.
func (c *getCommand) writeToFolder() error {
	localBases, err := readBases(c.Into)
	if err != nil {
		return err
	}
	if localBases == nil {
		localBases = bases{}
	}
	names, err := c.fileNames()
	if err != nil {
		return err
	}
	for _, name := range names {
		var f operator.FileResponse
		if err := c.app.client.get(c.app.ctx, filePath(name), &f); err != nil {
			return err
		}
		if err := c.saveFile(f, localBases); err != nil {
			return err
		}
	}
	if err := localBases.write(c.Into); err != nil {
		return err
	}
	return c.app.print(names, func() { c.app.printf("wrote %s into %s\n", count(len(names), "file"), filepath.Base(c.Into)) })
}

// fileNames returns the names given as arguments, or those of all recorded files.
func (c *getCommand) fileNames() ([]string, error) {
	if len(c.Args.Files) > 0 {
		return c.Args.Files, nil
	}
	var response operator.FilesResponse
	if err := c.app.client.get(c.app.ctx, "/v1/files", &response); err != nil {
		return nil, err
	}
	names := []string{}
	for _, f := range response.Files {
		names = append(names, f.Name)
	}
	return names, nil
}

// saveFile writes one file. The name comes from an instance, so it is checked before it becomes part of a path.
func (c *getCommand) saveFile(f operator.FileResponse, localBases bases) error {
	if reason := config.CheckFileName(f.Name); reason != "" {
		return fault.New(fault.CodeInvalid, "write folder", "%q: %s", f.Name, reason)
	}
	path := filepath.Join(c.Into, f.Name)
	if !c.Overwrite && changedLocally(path, localBases[f.Name], f.Digest) {
		return fault.New(fault.CodeConflict, "write folder", "%s was changed in the folder; --overwrite replaces it", f.Name)
	}
	if err := writeFile(path, []byte(f.Content)); err != nil {
		return err
	}
	localBases[f.Name] = base{Version: f.Version, Digest: f.Digest}
	return nil
}

// changedLocally reports whether a file in the folder differs both from its base and from the recorded content with the
// given digest.
func changedLocally(path string, localBase base, recordedDigest string) bool {
	content, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	digest := rollout.Digest(content)
	return digest != localBase.Digest && digest != recordedDigest
}
