package ctl

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/fault"
	"bronzehook/operator"
)

type statusCommand struct{ app *App }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s operator.Status
	if err := c.app.client.get(c.app.ctx, "/v1/status", &s); err != nil {
		return err
	}
	return c.app.print(s, func() { c.app.printStatus(s) })
}

func (a *App) printStatus(s operator.Status) {
	a.printf("as seen by %s at revision %d\n", s.Instance, s.Revision)
	store := "healthy"
	if !s.Store.Healthy {
		store = "unavailable: " + s.Store.Reason
	}
	a.printf("table: %s\n\n", store)
	a.printTable("INSTANCE\tREGION\tDATA CENTRE\tREVISION\tSTATE", func(add func(...any)) {
		for _, i := range s.Instances {
			add(i.ID, i.Region, i.DataCentre, i.Revision, i.State)
		}
	})
	a.printf("\n")
	a.printTable("WORKER\tDATA CENTRE\tRACK\tTASKS\tUSED\tCAPACITY\tSTATE", func(add func(...any)) {
		for _, w := range s.Workers {
			add(w.ID, w.Location.DataCentre, w.Location.Rack, w.Tasks, w.Used, w.Capacity, withReason(w.State, w.Reason))
		}
	})
	a.printf("\n")
	a.printTable("UNIT\tOWNER\tEPOCH\tDEPUTY", func(add func(...any)) {
		for _, u := range s.Ownership {
			add(strings.TrimPrefix(u.Unit.Key(), "unit/"), u.Owner, u.Epoch, orDash(string(u.Deputy)))
		}
	})
	for _, f := range s.Floods {
		a.printf("flood of urgency %s: %.0f/s offered, %.0f/s admitted, %.0f/s refused\n", f.Urgency, f.Offered, f.Admitted, f.Refused)
	}
	for _, d := range s.Drains {
		a.printf("drain of %s until %s by %s\n", d.Worker, formatTime(d.Expires), withReason(d.Author, d.Reason))
	}
}

func withReason(text, reason string) string {
	if reason == "" {
		return text
	}
	return text + " (" + reason + ")"
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

type explainCommand struct {
	app  *App
	Args struct {
		Work string `positional-arg-name:"WORK" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var e operator.Explanation
	if err := c.app.client.get(c.app.ctx, "/v1/explain/"+url.PathEscape(c.Args.Work), &e); err != nil {
		return err
	}
	return c.app.print(e, func() { c.app.printExplanation(e) })
}

func (a *App) printExplanation(e operator.Explanation) {
	waitReason := e.Waits
	if waitReason == "" {
		waitReason = "nothing waits"
	}
	a.printf("%s: %s\n", e.Work, waitReason)
	if !e.ExpectedStart.IsZero() {
		a.printf("expected start: %s\n", formatTime(e.ExpectedStart))
	}
	for _, r := range e.Refusals {
		a.printf("refused by %d workers, for example %s: %s\n", r.Count, r.Where, r.Reason)
	}
	a.printTable("TASK\tWANTED\tSEEN\tWORKER\tREASON", func(add func(...any)) {
		for _, t := range e.Tasks {
			add(t.Task, t.Wanted, orDash(string(t.Seen)), orDash(string(t.Worker)), t.Reason)
		}
	})
}

type workerArgument struct {
	Worker string `positional-arg-name:"WORKER" required:"yes"`
}

type drainCommand struct {
	app    *App
	For    time.Duration  `long:"for" default:"1h" description:"time after which the drain ends by itself, 1s to 168h"`
	Reason string         `long:"reason" description:"why, for other operators"`
	Args   workerArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	if err := c.app.requireAuthor(); err != nil {
		return err
	}
	request := operator.DrainRequest{Worker: api.WorkerID(c.Args.Worker), Seconds: int(c.For / time.Second), Author: c.app.global.Author, Reason: c.Reason}
	var response operator.DrainResponse
	if err := c.app.client.post(c.app.ctx, "/v1/drain", request, &response); err != nil {
		return err
	}
	return c.app.print(response, func() { c.app.printf("%s is drained until %s\n", response.Worker, formatTime(response.Expires)) })
}

type undrainCommand struct {
	app  *App
	Args workerArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *undrainCommand) Execute([]string) error {
	if err := c.app.requireAuthor(); err != nil {
		return err
	}
	request := operator.UndrainRequest{Worker: api.WorkerID(c.Args.Worker), Author: c.app.global.Author}
	var response operator.DrainResponse
	if err := c.app.client.post(c.app.ctx, "/v1/undrain", request, &response); err != nil {
		return err
	}
	return c.app.print(response, func() { c.app.printf("%s is no longer drained\n", response.Worker) })
}

type auditCommand struct {
	app     *App
	Since   string `long:"since" description:"leave out earlier events; a time such as 2026-01-02T15:04:05Z or an age such as 24h"`
	Subject string `long:"subject" description:"show only events whose subject contains the text"`
	Limit   int    `long:"limit" default:"200" description:"largest number of events; the latest are shown"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.Subject != "" {
		query.Set("subject", c.Subject)
	}
	if c.Since != "" {
		since, err := c.parseSince()
		if err != nil {
			return err
		}
		query.Set("since", formatTime(since))
	}
	var response operator.AuditResponse
	if err := c.app.client.get(c.app.ctx, "/v1/audit?"+query.Encode(), &response); err != nil {
		return err
	}
	return c.app.print(response, func() { c.app.printEvents(response.Events) })
}

// parseSince returns the time that --since gives directly or as an age.
func (c *auditCommand) parseSince() (time.Time, error) {
	if age, err := time.ParseDuration(c.Since); err == nil {
		return c.app.Clock.Now().Add(-age), nil
	}
	since, err := time.Parse(time.RFC3339, c.Since)
	if err != nil {
		return since, fault.New(fault.CodeInvalid, "read arguments", "--since %q is neither a time such as 2026-01-02T15:04:05Z nor an age such as 24h", c.Since)
	}
	return since, nil
}

func (a *App) printEvents(events []audit.Event) {
	a.printTable("TIME\tINSTANCE\tACTOR\tACTION\tSUBJECT\tCHANGE\tRESULT", func(add func(...any)) {
		for _, e := range events {
			change := fmt.Sprintf("%s -> %s", orDash(e.From), orDash(e.To))
			add(formatTime(e.Time), e.Instance, e.Actor, e.Action, e.Subject, change, withReason(e.Result, firstLine(e.Reason)))
		}
	})
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

type measureCommand struct {
	app  *App
	Site string `long:"site" choice:"tentpole" choice:"nile" description:"site whose traces are replayed; both by default"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the replay; the same seed gives the same table"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	if c.app.Measurer == nil {
		return fault.New(fault.CodeNotFound, "measure", "this build has no recorded traces")
	}
	progress := c.app.startProgress(c.progressLabel())
	table, err := c.app.Measurer.Measure(c.app.ctx, c.Site, c.Seed)
	progress.stop()
	if err != nil {
		return err
	}
	return c.app.print(table, func() { c.app.printMeasures(table) })
}

func (c *measureCommand) progressLabel() string {
	if c.Site == "" {
		return "replaying the traces of all sites"
	}
	return "replaying the traces of " + c.Site
}

func (a *App) printMeasures(table MeasureTable) {
	a.printTable(strings.Join(table.Columns, "\t"), func(add func(...any)) {
		for _, row := range table.Rows {
			add(strings.Join(row, "\t"))
		}
	})
}
