package replay

import "fmt"

// SummaryColumns returns the column headings of Summary.
func SummaryColumns() []string {
	return []string{"SITE", "TRACE", "MEASURE", "DECISION", "BASELINE"}
}

// Summary returns the main measures of each comparison, one per row: tail latency of services, batch throughput, missed
// deadlines, evictions and, for traces with a flood, how much service urgent and guaranteed work kept during it.
func Summary(comparisons []Comparison) [][]string {
	var rows [][]string
	for i := range comparisons {
		c := &comparisons[i]
		decision, baseline := c.Decision.summary(), c.Baseline.summary()
		for row := range decision {
			rows = append(rows, []string{c.Site, c.Trace, decision[row][0], decision[row][1], baseline[row][1]})
		}
	}
	return rows
}

func (m *Measures) summary() [][2]string {
	rows := [][2]string{
		{"service p99 (ms)", fmt.Sprintf("%.1f", m.ServiceP99)},
		{"batch work (task h)", fmt.Sprintf("%.1f", m.BatchHours)},
		{"runs late", fmt.Sprintf("%d of %d", m.Missed, m.Runs)},
		{"evictions", fmt.Sprintf("%d", m.Evictions)},
	}
	if m.FloodThroughput > 0 {
		rows = append(rows, m.floodRows()...)
	}
	return rows
}

func (m *Measures) floodRows() [][2]string {
	return [][2]string{
		{"urgent throughput over unflooded", fmt.Sprintf("%.3f", m.FloodThroughput)},
		{"urgent p99 over unflooded", fmt.Sprintf("%.3f", m.FloodP99)},
		{"floor kept", fmt.Sprintf("%.3f", m.FloorKept)},
	}
}
