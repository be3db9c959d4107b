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

// acceptPoll is the time between two questions whether a revision is accepted.
const acceptPoll = 250 * time.Millisecond

type dirArgument struct {
	Dir string `positional-arg-name:"DIR" required:"yes"`
}

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
	var answer operator.ValidateResponse
	if c.Local {
		set, err := config.Parse(files)
		if err != nil {
			return err
		}
		work := set.WorkSet()
		answer = operator.ValidateResponse{Work: len(work.Specs), Teams: len(work.Teams)}
	} else if err := c.app.client.post(c.app.ctx, "/v1/validate", wholeFolder(files), &answer); err != nil {
		return err
	}
	return c.app.print(answer, func() {
		c.app.printf("valid: %s, %s, %s\n", count(len(files), "file"), count(answer.Work, "work item"), count(answer.Teams, "team"))
	})
}

func wholeFolder(files map[string][]byte) operator.EditRequest {
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
	var answer operator.DiffResponse
	if err := c.app.client.post(c.app.ctx, "/v1/diff", operator.EditRequest{Edits: p.edits}, &answer); err != nil {
		return err
	}
	return c.app.print(answer, func() { c.app.printChanges(answer.Changes) })
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
	answer, err := c.app.record(p.edits)
	if err != nil {
		return err
	}
	for _, e := range p.edits {
		if !e.Delete {
			p.next[e.File] = base{Version: answer.Revision, Digest: rollout.Digest([]byte(e.Content))}
		}
	}
	c.saveBases(p)
	return c.app.reportRevision(answer, c.waitOptions, fmt.Sprintf("recorded %s as revision %d", count(len(p.edits), "file"), answer.Revision))
}

// reportUnchanged reports the present revision, so that a repeated apply --wait waits for what the first one recorded.
func (a *App) reportUnchanged(revision uint64, options waitOptions) error {
	var answer operator.RevisionResponse
	if err := a.client.get(a.ctx, revisionPath(revision), &answer); err != nil {
		return err
	}
	return a.reportRevision(answer, options, "nothing to record")
}

func revisionPath(revision uint64) string { return fmt.Sprintf("/v1/revision/%d", revision) }

// saveBases only warns on failure, because the change is recorded already.
func (c *applyCommand) saveBases(p plan) {
	if err := p.next.write(c.Args.Dir); err != nil {
		c.app.notice("base versions were not saved: %s", err)
	}
}

// record sends edits under one operation id, so that trying a further address cannot record them twice.
func (a *App) record(edits []operator.FileEdit) (operator.RevisionResponse, error) {
	progress := a.startProgress("recording")
	defer progress.stop()
	request := operator.ApplyRequest{Edits: edits, Author: a.global.Author, OpID: rollout.NewOpID()}
	var answer operator.RevisionResponse
	err := a.client.post(a.ctx, "/v1/apply", request, &answer)
	return answer, err
}

// reportRevision prints a recorded revision, after its acceptance if that was asked for.
func (a *App) reportRevision(answer operator.RevisionResponse, options waitOptions, text string) error {
	var failure error
	if options.Wait {
		answer, failure = a.waitAccepted(answer, options.WaitTimeout)
	}
	err := a.print(answer, func() {
		a.printf("%s\n", text)
		a.printRevision(answer)
	})
	if failure != nil {
		return failure
	}
	return err
}

func (a *App) printRevision(answer operator.RevisionResponse) {
	state := "not accepted yet"
	if answer.Accepted {
		state = "accepted"
	}
	a.printf("revision %d is %s\n", answer.Revision, state)
	a.printInstances("in force", answer.InForce)
	a.printInstances("lapsed", answer.Lapsed)
	a.printInstances("waiting", answer.Waiting)
}

func (a *App) printInstances(state string, instances []rollout.InstanceStatus) {
	for _, i := range instances {
		a.printf("  %s: %s, revision %d\n", i.ID, state, i.Revision)
	}
}

func (a *App) waitAccepted(answer operator.RevisionResponse, limit time.Duration) (operator.RevisionResponse, error) {
	progress := a.startProgress("waiting for acceptance")
	defer progress.stop()
	end := a.Clock.Now().Add(limit)
	for !answer.Accepted {
		progress.set("waiting for " + names(answer.Waiting))
		if a.Clock.Now().After(end) {
			return answer, fault.New(fault.CodeTimeout, "wait for acceptance", "revision %d is recorded, but not accepted within %s; waiting for %s", answer.Revision, limit, names(answer.Waiting))
		}
		select {
		case <-a.Clock.After(acceptPoll):
		case <-a.ctx.Done():
			return answer, fault.New(fault.CodeTimeout, "wait for acceptance", "revision %d is recorded; the wait was ended", answer.Revision)
		}
		var next operator.RevisionResponse
		err := a.client.get(a.ctx, revisionPath(answer.Revision), &next)
		if err != nil && !nextMayServe(err) {
			return answer, err
		}
		if err == nil {
			answer = next
		}
	}
	return answer, nil
}

func names(instances []rollout.InstanceStatus) string {
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
	answer, err := c.app.record(edits)
	if err != nil {
		return err
	}
	return c.app.reportRevision(answer, c.waitOptions, fmt.Sprintf("removed %s as revision %d", count(len(edits), "file"), answer.Revision))
}

func filePath(name string) string { return "/v1/files/" + url.PathEscape(name) }
