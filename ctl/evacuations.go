package ctl

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bronzehook/evacuation"
)

const evacuationsLong = `Shows each data centre that is being evacuated on the users' platform: how many tasks of each kind are still there, and why. Only the leader knows the tasks, so that the addresses of all instances may be given: the leader's report is shown, or else that of the first instance that can be reached. The addresses are those for metrics (BRONZEHOOK_METRICS_ADDR).`

type evacuationsCommand struct {
	app  *App
	URLs []string `long:"metrics-url" env:"BRONZEHOOK_METRICS_URL" env-delim:"," default:"http://127.0.0.1:9100" description:"base URL of an instance's metrics address; may be given several times, or separated by commas in the variable"`
}

// Execute implements flags.Commander.
func (c *evacuationsCommand) Execute([]string) error {
	leading := func(r *evacuation.Report) bool { return r.Leading }
	report, err := leaderReport(c.app, c.URLs, evacuation.ReportPath, leading)
	if err != nil {
		return err
	}
	return c.app.print(report, func() { c.app.printEvacuations(report) })
}

func (a *App) printEvacuations(report evacuation.Report) {
	if !report.Leading {
		a.printf("not the leader: tasks are not known here\n")
	}
	a.printf("operator's table read %s ago\n", time.Duration(report.ConfirmedAgeMillis)*time.Millisecond)
	if len(report.DataCentres) == 0 {
		a.printf("no data centre is being evacuated\n")
		return
	}
	a.printTable("DATA CENTRE\tROW VERSION\tAGE\tTASKS\tWHY", func(add func(...any)) {
		for _, d := range report.DataCentres {
			age := time.Duration(d.AgeMillis) * time.Millisecond
			add(d.DataCentre, d.Version, age.Round(time.Second), formatCounts(d.Tasks), formatCounts(d.Reasons))
		}
	})
	for _, d := range report.DataCentres {
		for _, task := range d.Unplaceable {
			a.printf("%s can run in %s only\n", task, d.DataCentre)
		}
	}
}

// formatCounts formats counts by name, in the order of the names.
func formatCounts(counts map[string]int) string {
	var parts []string
	for name, count := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count))
	}
	slices.Sort(parts)
	return orDash(strings.Join(parts, " "))
}
