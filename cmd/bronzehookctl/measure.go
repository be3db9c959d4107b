package main

import (
	"context"

	"bronzehook/ctl"
	"bronzehook/fault"
	"bronzehook/replay"
)

// traceMeasurer replays recorded traces for the measure subcommand.
type traceMeasurer struct {
	traces []string
}

// Measure implements ctl.Measurer.
func (m traceMeasurer) Measure(ctx context.Context, site string, seed uint64) (ctl.MeasureTable, error) {
	sites, err := sitesByName(site)
	if err != nil {
		return ctl.MeasureTable{}, err
	}
	comparisons, err := replay.Compare(ctx, sites, m.traces, seed)
	if err != nil {
		return ctl.MeasureTable{}, err
	}
	return ctl.MeasureTable{Columns: replay.SummaryColumns(), Rows: replay.Summary(comparisons)}, nil
}

// sitesByName returns the site with the name, or all sites if the name is empty.
func sitesByName(name string) ([]replay.Site, error) {
	if name == "" {
		return replay.Sites(), nil
	}
	for _, site := range replay.Sites() {
		if site.Name == name {
			return []replay.Site{site}, nil
		}
	}
	return nil, fault.New(fault.CodeNotFound, "measure", "site %q has no recorded traces", name)
}
