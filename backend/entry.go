package backend

import (
	"net"
	"net/url"
	"strconv"
	"strings"

	"bronzehook/api"
	"bronzehook/invalid"
)

// Limits of a worker's entry, far above every real worker and low enough that sums over a fleet do not overflow.
const (
	maxMilliCPU     = 100_000_000
	maxMemoryMB     = 1 << 30
	maxAccelerators = 100_000
	maxConcurrency  = 1_000_000
)

// Validate returns an error if the entry does not describe exactly one instance or worker that can be used.
func (e *Entry) Validate() error {
	switch {
	case e.Instance != nil && e.Worker != nil:
		return invalid.New(invalid.KindInconsistent, "kind")
	case e.Instance != nil:
		return validateHost(string(e.Instance.ID), e.Instance.Addr)
	case e.Worker != nil:
		return validateWorker(e.Worker)
	}
	return invalid.New(invalid.KindMissing, "instance or worker")
}

func validateWorker(w *api.Worker) error {
	if err := ValidateCapacity(w); err != nil {
		return err
	}
	return validateHost(string(w.ID), w.Addr)
}

// ValidateCapacity returns an error if a worker reports a capacity beyond the limits.
func ValidateCapacity(w *api.Worker) error {
	c := w.Capacity
	switch {
	case c.MilliCPU < 0 || c.MilliCPU > maxMilliCPU:
		return invalid.New(invalid.KindOutOfRange, "capacity.milliCPU")
	case c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB:
		return invalid.New(invalid.KindOutOfRange, "capacity.memoryMB")
	case c.Accelerators < 0 || c.Accelerators > maxAccelerators:
		return invalid.New(invalid.KindOutOfRange, "capacity.accelerators")
	case w.Slots < 0 || w.Slots > maxConcurrency || w.Connections < 0 || w.Connections > maxConcurrency:
		return invalid.New(invalid.KindOutOfRange, "slots or connections")
	}
	return nil
}

// validateHost checks an ID and an address, which may be empty, and may have a scheme.
func validateHost(id, addr string) error {
	if id == "" {
		return invalid.New(invalid.KindMissing, "id")
	}
	if addr == "" {
		return nil
	}
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	parsed, err := url.Parse(addr)
	if err != nil || parsed.Hostname() == "" || parsed.Path != "" {
		return invalid.New(invalid.KindUnknownValue, "addr")
	}
	if _, port, err := net.SplitHostPort(parsed.Host); err == nil {
		if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
			return invalid.New(invalid.KindOutOfRange, "addr port")
		}
	}
	return nil
}
