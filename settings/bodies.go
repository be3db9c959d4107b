package settings

import (
	"fmt"
	"strconv"
	"time"

	"bronzehook/bodylimit"
)

// Bodies holds the settings that bound request bodies and connections, of both programs.
type Bodies struct {
	BodyMemory     int           `long:"body-memory" env:"BRONZEHOOK_BODY_MEMORY" default:"0" description:"bound on the sum of callers' request bodies in memory in MB, up to 65536; 0 derives it from the memory limit"`
	BodyStall      time.Duration `long:"body-stall" env:"BRONZEHOOK_BODY_STALL" default:"10s" description:"longest time without progress of a request body, 1s to 10m"`
	BodyMinRate    int           `long:"body-min-rate" env:"BRONZEHOOK_BODY_MIN_RATE" default:"2048" description:"least average rate of a request body in bytes per second after 10 s, up to 1048576; 0 sets none"`
	MaxConnections int           `long:"max-connections" env:"BRONZEHOOK_MAX_CONNECTIONS" default:"0" description:"connections that all listeners accept together, up to 1048576; 0 derives it from the descriptors and the memory limit"`
}

const (
	bytesPerMegabyte  = 1_000_000
	maxBodyRate       = 1 << 20
	maxMaxConnections = 1 << 20
)

// Check returns the error of the first setting that is not accepted.
func (b *Bodies) Check() error {
	return First(
		number("body-memory", b.BodyMemory, maxMemoryLimit), duration("body-stall", b.BodyStall, time.Second, 10*time.Minute),
		number("body-min-rate", b.BodyMinRate, maxBodyRate), number("max-connections", b.MaxConnections, maxMaxConnections),
	)
}

func number(flag string, value, high int) error {
	if value < 0 || value > high {
		return invalid(flag, strconv.Itoa(value), fmt.Sprintf("0 to %d", high))
	}
	return nil
}

// Apply returns the limits of callers' bodies with these settings in place of what is derived.
func (b *Bodies) Apply(limits bodylimit.Limits) bodylimit.Limits {
	if b.BodyMemory > 0 {
		limits = limits.WithTotal(int64(b.BodyMemory) * bytesPerMegabyte)
	}
	return b.ApplyPace(limits)
}

// ApplyPace returns limits with the bounds on slow bodies that are set.
func (b *Bodies) ApplyPace(limits bodylimit.Limits) bodylimit.Limits {
	limits.StallTimeout, limits.MinRate = b.BodyStall, int64(b.BodyMinRate)
	return limits
}

// Connections returns the number of connections that all listeners accept together, with the memory of the machine in bytes,
// or 0 if it is not known.
func (b *Bodies) Connections(memory int64) int {
	if b.MaxConnections > 0 {
		return b.MaxConnections
	}
	return bodylimit.MaxConnections(bodylimit.Descriptors(), memory)
}
