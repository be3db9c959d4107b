package ctl

import (
	"fmt"
	"time"

	"bronzehook/mitigation"
)

const interferenceLong = `Shows what the leader has learned on the users' platform of how much best-effort tasks of each image slow the latency-critical tasks of each other: the load that they add if they use a whole worker, and on how many workers both run. Only the leader knows, so that the addresses of all instances may be given. The addresses are those for metrics (BRONZEHOOK_METRICS_ADDR).`

type interferenceCommand struct {
	app   *App
	URLs  []string `long:"metrics-url" env:"BRONZEHOOK_METRICS_URL" env-delim:"," default:"http://127.0.0.1:9100" description:"base URL of an instance's metrics address; may be given several times, or separated by commas in the variable"`
	Image string   `long:"image" description:"only pairs with this image"`
}

// Execute implements flags.Commander.
func (c *interferenceCommand) Execute([]string) error {
	leading := func(r *mitigation.Report) bool { return r.Leading }
	report, err := leaderReport(c.app, c.URLs, mitigation.ReportPath, leading)
	if err != nil {
		return err
	}
	if !report.Leading {
		// Only the leader knows the effects.
		report = mitigation.Report{}
	}
	kept := report.Pairs[:0]
	for _, p := range report.Pairs {
		if c.Image == "" || c.Image == p.LatencyCritical || c.Image == p.BestEffort {
			kept = append(kept, p)
		}
	}
	report.Pairs = kept
	return c.app.print(report, func() { c.app.printInterference(report) })
}

func (a *App) printInterference(report mitigation.Report) {
	if !report.Leading {
		a.printf("none of these instances leads: effects are not known here\n")
		return
	}
	a.printf("%d pairs of images, as of %s ago\n", len(report.Pairs), time.Duration(report.AgeMillis)*time.Millisecond)
	if len(report.Pairs) == 0 {
		return
	}
	a.printTable("LATENCY-CRITICAL\tBEST-EFFORT\tEFFECT\tWORKERS\tSTATE", func(add func(...any)) {
		for _, p := range report.Pairs {
			state := "known"
			if !p.Known {
				state = "tried"
			}
			add(p.LatencyCritical, p.BestEffort, fmt.Sprintf("%.2f±%.2f", p.Effect, p.Deviation), p.Workers, state)
		}
	})
}
