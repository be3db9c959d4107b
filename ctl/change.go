package ctl

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"bronzehook/config"
	"bronzehook/config/rollout"
	"bronzehook/fault"
	"bronzehook/operator"
)

const applyLong = `Records the files of DIR that differ from the recorded ones. If another operator changed one of them since, nothing is recorded and both edits are shown. Recorded files that are missing from DIR are kept unless --prune is given.`

// acceptancePollInterval is the time between two queries whether a revision is accepted.
const acceptancePollInterval = 250 * time.Millisecond

type dirArgument struct {
	Dir string `positional-arg-name:"DIR" required:"yes"`
}

// waitOptions are the options of the subcommands that record a revision.
type waitOptions struct {
	Wait        bool          `long:"wait" description:"wait until every instance has the change in force or has lapsed"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"30s" description:"longest wait for acceptance"`
}

type validateCommand struct {
	app   *App
	Local bool        `long:"local" description:"check without an instance; regions are not checked"`
	Args  dirArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	files, err := config.ReadFolder(c.Args.Dir)
	if err != nil {
		return err
	}
	var response operator.ValidateResponse
	if c.Local {
		set, err := config.Parse(files)
		if err != nil {
			return err
		}
		work := set.WorkSet()
		response = operator.ValidateResponse{Work: len(work.Specs), Teams: len(work.Teams)}
	} else if err := c.app.client.post(c.app.ctx, "/v1/validate", fullFolderRequest(files), &response); err != nil {
		return err
	}
	return c.app.print(response, func() {
		c.app.printf("valid: %s, %s, %s\n", count(len(files), "file"), count(response.Work, "work item"), count(response.Teams, "team"))
	})
}

// fullFolderRequest returns a request in which files are the whole configuration.
func fullFolderRequest(files map[string][]byte) operator.EditRequest {
	request := operator.EditRequest{Whole: true, Edits: []operator.FileEdit{}}
	for name, content := range files {
		request.Edits = append(request.Edits, operator.FileEdit{File: name, Content: string(content)})
	}
	return request
}

type diffCommand struct {
	app   *App
	Prune bool        `long:"prune" description:"compare as if recorded files that are missing from DIR were removed"`
	Args  dirArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	p, err := c.app.planFolder(c.Args.Dir, planOptions{prune: c.Prune})
	if err != nil {
		return err
	}
	var response operator.DiffResponse
	if err := c.app.client.post(c.app.ctx, "/v1/diff", operator.EditRequest{Edits: p.edits}, &response); err != nil {
		return err
	}
	return c.app.print(response, func() { c.app.printChanges(response.Changes) })
}

type applyCommand struct {
	app    *App
	Prune  bool `long:"prune" description:"remove recorded files that are missing from DIR"`
	Rebase bool `long:"rebase" description:"take the recorded versions as base: you have merged them into your files"`
	waitOptions
	Args dirArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if err := c.app.requireAuthor(); err != nil {
		return err
	}
	p, err := c.app.planFolder(c.Args.Dir, planOptions{prune: c.Prune, rebase: c.Rebase})
	if err != nil {
		return err
	}
	if len(p.edits) == 0 {
		c.saveBases(p)
		return c.app.reportUnchanged(p.revision, c.waitOptions)
	}
	response, err := c.app.recordEdits(p.edits)
	if err != nil {
		return err
	}
	for _, e := range p.edits {
		if !e.Delete {
			p.newBases[e.File] = base{Version: response.Revision, Digest: rollout.Digest([]byte(e.Content))}
		}
	}
	c.saveBases(p)
	return c.app.reportRevision(response, c.waitOptions, fmt.Sprintf("recorded %s as revision %d", count(len(p.edits), "file"), response.Revision))
}

// reportUnchanged reports the current revision, so that a repeated apply --wait waits for the revision that the first
// one recorded.
func (a *App) reportUnchanged(revision uint64, options waitOptions) error {
	var response operator.RevisionResponse
	if err := a.client.get(a.ctx, revisionPath(revision), &response); err != nil {
		return err
	}
	return a.reportRevision(response, options, "nothing to record")
}

func revisionPath(revision uint64) string { return fmt.Sprintf("/v1/revision/%d", revision) }

// saveBases stores the base versions in the folder. A failure is only a warning, because the change is already
// recorded.
func (c *applyCommand) saveBases(p plan) {
	if err := p.newBases.write(c.Args.Dir); err != nil {
		c.app.notice("base versions were not saved: %s", err)
	}
}

// recordEdits sends edits under one operation ID, so that a retry at another instance cannot record them twice.
func (a *App) recordEdits(edits []operator.FileEdit) (operator.RevisionResponse, error) {
	progress := a.startProgress("recording")
	defer progress.stop()
	request := operator.ApplyRequest{Edits: edits, Author: a.global.Author, OpID: rollout.NewOpID()}
	var response operator.RevisionResponse
	err := a.client.post(a.ctx, "/v1/apply", request, &response)
	return response, err
}

// reportRevision prints a recorded revision. With --wait it first waits until the revision is accepted.
func (a *App) reportRevision(response operator.RevisionResponse, options waitOptions, summary string) error {
	var waitErr error
	if options.Wait {
		response, waitErr = a.waitForAcceptance(response, options.WaitTimeout)
	}
	err := a.print(response, func() {
		a.printf("%s\n", summary)
		a.printRevision(response)
	})
	if waitErr != nil {
		return waitErr
	}
	return err
}

func (a *App) printRevision(response operator.RevisionResponse) {
	state := "not accepted yet"
	if response.Accepted {
		state = "accepted"
	}
	a.printf("revision %d is %s\n", response.Revision, state)
	a.printInstances("in force", response.Active)
	a.printInstances("lapsed", response.Expired)
	a.printInstances("waiting", response.Waiting)
}

func (a *App) printInstances(state string, instances []rollout.InstanceStatus) {
	for _, i := range instances {
		a.printf("  %s: %s, revision %d\n", i.ID, state, i.Revision)
	}
}

// waitForAcceptance polls a revision until it is accepted or the timeout is over.
func (a *App) waitForAcceptance(response operator.RevisionResponse, timeout time.Duration) (operator.RevisionResponse, error) {
	progress := a.startProgress("waiting for acceptance")
	defer progress.stop()
	deadline := a.Clock.Now().Add(timeout)
	for !response.Accepted {
		progress.setLabel("waiting for " + joinIDs(response.Waiting))
		if a.Clock.Now().After(deadline) {
			return response, fault.New(fault.CodeTimeout, "wait for acceptance", "revision %d is recorded, but not accepted within %s; waiting for %s", response.Revision, timeout, joinIDs(response.Waiting))
		}
		select {
		case <-a.Clock.After(acceptancePollInterval):
		case <-a.ctx.Done():
			return response, fault.New(fault.CodeTimeout, "wait for acceptance", "revision %d is recorded; the wait was interrupted", response.Revision)
		}
		var next operator.RevisionResponse
		err := a.client.get(a.ctx, revisionPath(response.Revision), &next)
		if err != nil && !isInstanceSpecific(err) {
			return response, err
		}
		if err == nil {
			response = next
		}
	}
	return response, nil
}

func joinIDs(instances []rollout.InstanceStatus) string {
	texts := make([]string, len(instances))
	for i, instance := range instances {
		texts[i] = string(instance.ID)
	}
	return strings.Join(texts, ", ")
}

type removeCommand struct {
	app *App
	waitOptions
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *removeCommand) Execute([]string) error {
	if err := c.app.requireAuthor(); err != nil {
		return err
	}
	var edits []operator.FileEdit
	for _, name := range c.Args.Files {
		var f operator.FileResponse
		if err := c.app.client.get(c.app.ctx, filePath(name), &f); err != nil {
			return err
		}
		edits = append(edits, operator.FileEdit{File: name, Delete: true, BaseVersion: f.Version})
	}
	response, err := c.app.recordEdits(edits)
	if err != nil {
		return err
	}
	return c.app.reportRevision(response, c.waitOptions, fmt.Sprintf("removed %s as revision %d", count(len(edits), "file"), response.Revision))
}

func filePath(name string) string { return "/v1/files/" + url.PathEscape(name) }
