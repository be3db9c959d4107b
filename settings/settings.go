// Package settings reads and checks the settings of the instance binary from flags and environment variables.
package settings

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the memory limit in MB. An idle instance uses 14 MB.
const (
	minMemoryLimit = 16
	maxMemoryLimit = 65_536
)

// Settings holds every setting of an instance.
type Settings struct {
	Dev bool `long:"dev" env:"BRONZEHOOK_DEV" description:"run one instance with embedded stand-ins and a few workers on loopback; the other settings get defaults"`

	ID         string `long:"id" env:"BRONZEHOOK_ID" description:"name of this instance, unique in the fleet"`
	Region     string `long:"region" env:"BRONZEHOOK_REGION" description:"region of this instance"`
	DataCentre string `long:"data-centre" env:"BRONZEHOOK_DATA_CENTRE" description:"data centre of this instance"`

	Regions []string `long:"regions" env:"BRONZEHOOK_REGIONS" env-delim:"," description:"all regions of the fleet, the same on all instances; repeat the flag for each"`

	CallerAddr   string `long:"caller-addr" env:"BRONZEHOOK_CALLER_ADDR" default:"127.0.0.1:8080" description:"IP address and port for callers (HTTP)"`
	OperatorAddr string `long:"operator-addr" env:"BRONZEHOOK_OPERATOR_ADDR" default:"127.0.0.1:8081" description:"IP address and port for operators, metrics and readiness (HTTP)"`
	PeerAddr     string `long:"peer-addr" env:"BRONZEHOOK_PEER_ADDR" default:"127.0.0.1:8082" description:"IP address and port for other instances (QUIC)"`

	PlatformURL string `long:"platform-url" env:"BRONZEHOOK_PLATFORM_URL" description:"base URL of the platform's table, object store and directory"`

	PeerCert string `long:"peer-cert" env:"BRONZEHOOK_PEER_CERT" description:"PEM file with the certificate chain shown to other instances"`
	PeerKey  string `long:"peer-key" env:"BRONZEHOOK_PEER_KEY" description:"PEM file with the key of peer-cert"`
	PeerCA   string `long:"peer-ca" env:"BRONZEHOOK_PEER_CA" description:"PEM file with the authorities that other instances' certificates must come from"`

	CallerCert string `long:"caller-cert" env:"BRONZEHOOK_CALLER_CERT" description:"PEM file with the certificate chain shown to callers and operators; empty means plain HTTP"`
	CallerKey  string `long:"caller-key" env:"BRONZEHOOK_CALLER_KEY" description:"PEM file with the key of caller-cert"`

	CallerTokens string `long:"caller-tokens" env:"BRONZEHOOK_CALLER_TOKENS" description:"YAML file with a list of {team, name, token}: callers then have to send a bearer token; empty means that their team header is trusted"`

	OperatorToken string `long:"operator-token" env:"BRONZEHOOK_OPERATOR_TOKEN" description:"bearer token that operators have to send; empty accepts all, which only --dev allows"`

	StopTimeout   time.Duration `long:"stop-timeout" env:"BRONZEHOOK_STOP_TIMEOUT" default:"30s" description:"longest wait for requests in flight during a planned stop, 1s to 10m"`
	InstanceLease time.Duration `long:"hold" env:"BRONZEHOOK_HOLD" default:"5s" description:"time that authority lasts after its last confirmation, 3s to 5m; the same on all instances"`
	AttemptLease  time.Duration `long:"task-lease" env:"BRONZEHOOK_TASK_LEASE" default:"30s" description:"lease of a task on a worker, 3s to 1h"`
	MemoryLimit   int           `long:"memory-limit" env:"BRONZEHOOK_MEMORY_LIMIT" default:"0" description:"memory in MB near which the garbage collector runs more often, 16 to 65536; 0 leaves it to the Go runtime"`
	Bodies
	LogLevel string `long:"log-level" env:"BRONZEHOOK_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// minInstanceLease is the minimum of the instance lease duration (setting hold). It tolerates one lost renewal of the
// session row, which is renewed every 2 s. With 1 s, instance leases expired between two renewals.
const minInstanceLease = 3 * time.Second

// Parse reads the settings from arguments and the environment and checks them.
func Parse(args []string) (*Settings, error) {
	s := &Settings{}
	if err := Read("bronzehook", s, args); err != nil {
		return nil, err
	}
	if s.Dev {
		s.applyDevDefaults()
	}
	return s, s.validate()
}

func (s *Settings) applyDevDefaults() {
	setDefault(&s.ID, "dev-1")
	setDefault(&s.Region, "local")
	setDefault(&s.DataCentre, "local-1")
	if len(s.Regions) == 0 {
		s.Regions = []string{s.Region}
	}
}

func setDefault(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

func (s *Settings) validate() error {
	checks := []error{
		Required("id", s.ID), Required("region", s.Region), Required("data-centre", s.DataCentre),
		member("regions", s.Regions, s.Region),
		Address("caller-addr", s.CallerAddr), Address("operator-addr", s.OperatorAddr), Address("peer-addr", s.PeerAddr),
		duration("stop-timeout", s.StopTimeout, time.Second, 10*time.Minute),
		duration("hold", s.InstanceLease, minInstanceLease, 5*time.Minute),
		duration("task-lease", s.AttemptLease, 3*time.Second, time.Hour),
		memoryLimit(s.MemoryLimit), s.Check(), Level(s.LogLevel),
		pair("caller-cert", s.CallerCert, "caller-key", s.CallerKey),
		readable("caller-cert", s.CallerCert), readable("caller-key", s.CallerKey),
	}
	if !s.Dev {
		checks = append(checks, Required("platform-url", s.PlatformURL), Required("operator-token", s.OperatorToken),
			Required("peer-cert", s.PeerCert), Required("peer-key", s.PeerKey), Required("peer-ca", s.PeerCA))
	}
	checks = append(checks, readable("peer-cert", s.PeerCert), readable("peer-key", s.PeerKey), readable("peer-ca", s.PeerCA))
	return First(checks...)
}

func member(flag string, names []string, value string) error {
	if !slices.Contains(names, value) {
		return invalid(flag, strings.Join(names, ","), "the names of all regions, "+value+" among them")
	}
	return nil
}

func duration(flag string, value, low, high time.Duration) error {
	if value < low || value > high {
		return invalid(flag, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
	return nil
}

// memoryLimit rejects limits below the memory of an idle instance, with which garbage collection would run all the time.
func memoryLimit(megabytes int) error {
	if megabytes != 0 && (megabytes < minMemoryLimit || megabytes > maxMemoryLimit) {
		return invalid("memory-limit", strconv.Itoa(megabytes), fmt.Sprintf("0, or %d to %d", minMemoryLimit, maxMemoryLimit))
	}
	return nil
}

func pair(flagA, valueA, flagB, valueB string) error {
	if (valueA == "") == (valueB == "") {
		return nil
	}
	if valueA == "" {
		return invalid(flagA, valueA, "a PEM file, because --"+flagB+" is set")
	}
	return invalid(flagB, valueB, "a PEM file, because --"+flagA+" is set")
}

func readable(flag, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return invalid(flag, path, "a readable PEM file")
	}
	return errors.Wrapf(file.Close(), "close %s", path)
}
