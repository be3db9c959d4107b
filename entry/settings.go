// Package entry assembles the process of a scheduler instance: every instance serves callers, and one instance at a time holds
// scheduler leadership.
package entry

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/settings"
	"bronzehook/startgate"
)

// SettingsFileVariable is the environment variable with the path of the settings file. Its lines NAME=value supplement the
// environment.
const SettingsFileVariable = "BRONZEHOOK_CONFIG"

// Settings holds all settings of a scheduler instance.
type Settings struct {
	ID          string `long:"id" env:"BRONZEHOOK_ID" description:"name of this instance, unique in the fleet"`
	Region      string `long:"region" env:"BRONZEHOOK_REGION" description:"region of this instance"`
	DataCentre  string `long:"data-centre" env:"BRONZEHOOK_DATA_CENTRE" description:"data centre of this instance"`
	CallerAddr  string `long:"caller-addr" env:"BRONZEHOOK_CALLER_ADDR" description:"IP address and port for callers (HTTP)"`
	ReadyAddr   string `long:"ready-addr" env:"BRONZEHOOK_READY_ADDR" description:"IP address and port for the platform's question whether this instance is ready (HTTP)"`
	PeerAddr    string `long:"peer-addr" env:"BRONZEHOOK_PEER_ADDR" description:"IP address and port for requests that other instances pass on (HTTP); empty takes none and passes none on"`
	MetricsAddr string `long:"metrics-addr" env:"BRONZEHOOK_METRICS_ADDR" description:"IP address and port for metrics (HTTP); empty serves none"`
	StoreAddr   string `long:"store-addr" env:"BRONZEHOOK_STORE_ADDR" description:"IP address and port of the platform's store"`
	AdviceAddr  string `long:"advice-addr" env:"BRONZEHOOK_ADVICE_ADDR" description:"IP address and port of the service that says which workers may run a step; empty if there is none"`
	// MachinesAddr is the address of the service that maintains the machines of workers.
	MachinesAddr string  `long:"machines-addr" env:"BRONZEHOOK_MACHINES_ADDR" description:"IP address and port of the service that carries out maintenance of workers' machines; empty if there is none"`
	CPUShare     float64 `long:"cpu-share" env:"BRONZEHOOK_CPU_SHARE" default:"1" description:"share of a core that this instance may use, 0.001 to 1024"`
	MemoryLimit  float64 `long:"memory-limit" env:"BRONZEHOOK_MEMORY_LIMIT" default:"256" description:"memory of this instance in MB, 32 to 65536"`

	AttemptLease         float64 `long:"lease-ms" env:"BRONZEHOOK_LEASE_MS" default:"10000" description:"longest lease that workers grant, in ms, 1000 to 600000; a change of the duty holder takes up to 4000"`
	StopTimeout          float64 `long:"stop-timeout-s" env:"BRONZEHOOK_STOP_TIMEOUT_S" default:"6" description:"time from a stop signal until the platform kills the process, in s, 1 to 600"`
	RemoteDataFactor     float64 `long:"far-factor" env:"BRONZEHOOK_FAR_FACTOR" default:"2" description:"how many times as long a task takes far from its data, 1 to 100"`
	Retention            float64 `long:"retention-s" env:"BRONZEHOOK_RETENTION_S" default:"120" description:"least time that the state of an ended job can be read, in s, 1 to 86400"`
	FenceOverdueStarts   bool    `long:"fence-overdue-starts" env:"BRONZEHOOK_FENCE_OVERDUE_STARTS" description:"place a task again as soon as its start has gone unanswered for 200 ms and a poll of the worker under a higher fencing token rules it out"`
	MachineHandoverDelay float64 `long:"machine-turn-ms" env:"BRONZEHOOK_MACHINE_TURN_MS" default:"3000" description:"time that has to pass between orders of two instances for one machine, in ms, 0 to 60000"`
	Drain                float64 `long:"drain-ms" env:"BRONZEHOOK_DRAIN_MS" default:"2500" description:"time for which tasks may still start on a worker after its draining was acknowledged, in ms, up to 600000; 0 holds no starts back while the registrations can't be read"`
	Evacuate             float64 `long:"evacuate-ms" env:"BRONZEHOOK_EVACUATE_MS" default:"5000" description:"time for which tasks may still start in a data centre after its evacuation was acknowledged, in ms, up to 600000; 0 holds no starts back while the operator's table can't be read"`
	Cancel               float64 `long:"cancel-ms" env:"BRONZEHOOK_CANCEL_MS" default:"4000" description:"time for which tasks of a job may still start after its cancellation was acknowledged, in ms, up to 600000; 0 holds no starts back while the intake can't be read"`
	JobAdmission         string  `long:"job-admission" env:"BRONZEHOOK_JOB_ADMISSION" default:"off" description:"whether jobs are refused that would earn nothing, and deferred while there is a backlog that cannot be served in time: on or off"`
	// TimeOffsetFile names a file with an offset of the wall clock in ms. Tests use it to make the clock of one instance jump.
	TimeOffsetFile string `long:"time-offset-file" env:"BRONZEHOOK_TIME_OFFSET_FILE" hidden:"true"`

	settings.Bodies

	LogLevel string `long:"log-level" env:"BRONZEHOOK_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// AttemptLeaseDuration returns the duration of the attempt leases that the leader grants: how long a worker keeps attempts
// running without a renewal.
func (s *Settings) AttemptLeaseDuration() time.Duration {
	return min(maxAttemptLease, s.WorkerLeaseLimit())
}

// WorkerLeaseLimit returns the longest attempt lease that workers grant.
func (s *Settings) WorkerLeaseLimit() time.Duration {
	return toDuration(s.AttemptLease, time.Millisecond)
}

// startBounds returns the times for which starts are still allowed after a request that forbids them was acknowledged.
func (s *Settings) startBounds() startgate.Bounds {
	return startgate.Bounds{
		Evacuate: toDuration(s.Evacuate, time.Millisecond), Drain: toDuration(s.Drain, time.Millisecond), Cancel: toDuration(s.Cancel, time.Millisecond),
	}
}

// AdmissionEnabled reports whether jobs are refused and deferred under overload.
func (s *Settings) AdmissionEnabled() bool { return s.JobAdmission == "on" }

// toDuration converts a number of units, which may be fractional, to a duration.
func toDuration(number float64, unit time.Duration) time.Duration {
	return time.Duration(number * float64(unit))
}

// maxAttemptLease bounds the time until work of an unresponsive worker is started elsewhere. It has to be longer than a takeover of
// leadership, which takes up to 4 s.
const maxAttemptLease = 7 * time.Second

// ParseSettings reads the settings from arguments, the environment and the settings file, in this order of precedence.
func ParseSettings(args []string) (*Settings, error) {
	if err := loadSettingsFile(os.Getenv(SettingsFileVariable)); err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := settings.Read("bronzehook entry", s, args); err != nil {
		return nil, err
	}
	return s, s.validate()
}

// SettingsFileError reports a settings file that can't be read.
type SettingsFileError struct {
	Line   int
	Detail string
}

// Error returns the line number and the detail.
func (e *SettingsFileError) Error() string {
	return fmt.Sprintf("settings file, line %d: %s", e.Line, e.Detail)
}

// Code implements fault.Coded.
func (*SettingsFileError) Code() fault.Code { return fault.CodeInvalid }

// loadSettingsFile adds the settings of a file to the environment. Variables that are already set keep their values.
func loadSettingsFile(path string) error {
	values, err := readSettingsFile(path)
	if err != nil {
		return err
	}
	for name, value := range values {
		if _, set := os.LookupEnv(name); set {
			continue
		}
		if err := os.Setenv(name, value); err != nil {
			return errors.WithStack(&SettingsFileError{Detail: err.Error()})
		}
	}
	return nil
}

// readSettingsFile returns the values of a settings file by name, or none if the path is empty. A setting without a value is left out
// and gets its default.
func readSettingsFile(path string) (map[string]string, error) {
	values := make(map[string]string)
	if path == "" {
		return values, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(&SettingsFileError{Detail: err.Error()})
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, errors.WithStack(&SettingsFileError{Line: number, Detail: "missing '=' after the name"})
		}
		if value != "" {
			values[name] = value
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.WithStack(&SettingsFileError{Detail: err.Error()})
	}
	return values, nil
}

func (s *Settings) validate() error {
	return settings.First(
		settings.Required("id", s.ID), settings.Required("region", s.Region), settings.Required("data-centre", s.DataCentre),
		settings.Address("caller-addr", s.CallerAddr), settings.Address("ready-addr", s.ReadyAddr), settings.Address("store-addr", s.StoreAddr),
		settings.Between("cpu-share", s.CPUShare, 0.001, 1024), settings.Between("memory-limit", s.MemoryLimit, 32, 65_536),
		settings.Between("lease-ms", s.AttemptLease, 1_000, 600_000), settings.Between("stop-timeout-s", s.StopTimeout, 1, 600),
		settings.Between("far-factor", s.RemoteDataFactor, 1, 100), settings.Between("retention-s", s.Retention, 1, 86_400),
		settings.Between("machine-turn-ms", s.MachineHandoverDelay, 0, 60_000), s.Check(), settings.Level(s.LogLevel),
		settings.Between("drain-ms", s.Drain, 0, 600_000), settings.Between("evacuate-ms", s.Evacuate, 0, 600_000),
		settings.Between("cancel-ms", s.Cancel, 0, 600_000),
		settings.Switch("job-admission", s.JobAdmission),
	)
}
