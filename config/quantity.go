package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"bronzehook/api"
)

const (
	bytesPerMB     = 1 << 20
	milliPerCore   = 1000
	cpuFormat      = "a number of cores such as 2 or 0.5, or thousandths such as 250m"
	memoryFormat   = "a number with a unit such as 512MiB or 4GiB"
	durationFormat = "a duration such as 45s, 90m or 2h30m"
	percentFormat  = "a percentage from 0 to 100 such as 25 or 25%"
	rateFormat     = "a positive number of requests a second"
	maxDuration    = maxDays * 24 * time.Hour
)

var memoryUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
	{"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12},
}

// parseCPU returns a number of cores in thousandths. As in the other parse functions, the second result is the reason why
// the text is refused.
func parseCPU(text string) (int64, string) {
	number, factor := text, float64(milliPerCore)
	if trimmed, ok := strings.CutSuffix(text, "m"); ok {
		number, factor = trimmed, 1
	}
	value, ok := parseDecimal(number)
	if !ok {
		return 0, fmt.Sprintf("%q is not a number of processors; accepted: %s", text, cpuFormat)
	}
	return inRange(text, value*factor, maxMilliCPU, "1024 cores")
}

// parseMemory returns an amount of memory in MiB, rounded up.
func parseMemory(text string) (int64, string) {
	for _, unit := range memoryUnits {
		number, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		value, ok := parseDecimal(strings.TrimSpace(number))
		if !ok {
			break
		}
		return inRange(text, value*unit.bytes/bytesPerMB, maxMemoryMB, "64TiB")
	}
	return 0, fmt.Sprintf("%q is not an amount of memory; accepted: %s", text, memoryFormat)
}

func inRange(text string, value float64, limit int64, limitText string) (int64, string) {
	rounded := math.Ceil(value)
	if rounded <= 0 || rounded > float64(limit) {
		return 0, fmt.Sprintf("%q is out of range; accepted: more than 0, at most %s", text, limitText)
	}
	return int64(rounded), ""
}

// parseDecimal accepts plain decimal numbers only. strconv.ParseFloat would also accept "inf", "0x1p4" and "1_000".
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "-0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

func parseInteger(text string, minimum, maximum int64) (int64, string) {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < minimum || value > maximum {
		return 0, fmt.Sprintf("%q is not accepted; accepted: a whole number from %d to %d", text, minimum, maximum)
	}
	return value, ""
}

func parseDuration(text string) (time.Duration, string) {
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Sprintf("%q is not a duration; accepted: %s", text, durationFormat)
	}
	if value <= 0 || value > maxDuration {
		return 0, fmt.Sprintf("%q is out of range; accepted: more than 0s, at most %d days", text, maxDays)
	}
	return value, ""
}

func parsePercent(text string) (float64, string) {
	value, ok := parseDecimal(strings.TrimSuffix(text, "%"))
	if !ok || value < 0 || value > 100 {
		return 0, fmt.Sprintf("%q is not accepted; accepted: %s", text, percentFormat)
	}
	return value, ""
}

func parseRate(text string) (float64, string) {
	value, ok := parseDecimal(text)
	if !ok || value <= 0 || value > maxRequestsPerSecond {
		return 0, fmt.Sprintf("%q is not accepted; accepted: %s, at most %d", text, rateFormat, maxRequestsPerSecond)
	}
	return value, ""
}

func parseUrgency(text string) (api.Urgency, string) {
	urgency, err := api.ParseUrgency(text)
	if err != nil {
		return 0, err.Error()
	}
	return urgency, ""
}
