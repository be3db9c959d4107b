// Command bronzehook runs one instance. With the subcommand entry it runs a scheduler instance (package entry),
// otherwise an instance of package instance.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend/httpbackend"
	"bronzehook/entry"
	"bronzehook/fault"
	"bronzehook/instance"
	"bronzehook/invalid"
	"bronzehook/logging"
	"bronzehook/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// entryCommand is the subcommand that runs a scheduler instance.
const entryCommand = "entry"

func run(args []string) int {
	if len(args) > 0 && args[0] == entryCommand {
		return runSchedulerInstance(args[1:])
	}
	s, err := settings.Parse(args)
	if err != nil {
		return reportStartFailure(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return reportStartFailure(err)
	}
	logger := logging.New(os.Stderr, level).With().Str(logging.KeyInstance, s.ID).Logger()
	if err := serve(s, logger); err != nil {
		logger.Error().Err(err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("instance failed")
		return fault.Describe(err).Exit
	}
	return fault.ExitOK
}

// runSchedulerInstance runs a scheduler instance until it stops and returns the exit code.
func runSchedulerInstance(args []string) int {
	s, err := entry.ParseSettings(args)
	if err != nil {
		return reportStartFailure(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return reportStartFailure(err)
	}
	zerolog.TimeFieldFormat = logging.TimeFormat
	out := logging.NewBoundedWriter(os.Stdout)
	defer out.Close()
	// The log level is global, so that a reload of the settings can change it.
	zerolog.SetGlobalLevel(level)
	logger := logging.New(out, zerolog.TraceLevel).With().Str(logging.KeyInstance, s.ID).Logger()
	if err := entry.Run(s, logger, out); err != nil {
		logger.Error().AnErr("error", err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("instance failed")
		return fault.Describe(err).Exit
	}
	return fault.ExitOK
}

// reportStartFailure prints the help, or the error that prevented the start, and returns the exit code.
func reportStartFailure(err error) int {
	var help *settings.HelpError
	if errors.As(err, &help) {
		fmt.Println(help.Text)
		return fault.ExitOK
	}
	fmt.Fprintln(os.Stderr, "bronzehook:", err)
	return fault.Describe(err).Exit
}

// softMemoryShare is the share of the memory limit that is set as the soft memory limit of the Go runtime. The resident
// memory is larger by the program itself and by what the runtime has not returned yet.
const softMemoryShare = 0.8

// bytesPerMegabyte converts the memory limit, which is set in MB.
const bytesPerMegabyte = 1_000_000

// serve runs the instance until the first signal, then stops it gracefully. A second signal cancels the graceful stop.
func serve(s *settings.Settings, logger zerolog.Logger) error {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit*bytesPerMegabyte) * softMemoryShare))
	}
	registry := prometheus.NewRegistry()
	bounds := newBounds(s, registry, logger)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	platformURL := s.PlatformURL
	if s.Dev {
		cluster, err := startFakeCluster(s, bounds)
		if err != nil {
			return err
		}
		defer cluster.Close()
		platformURL = cluster.URL
	}
	options, err := instanceOptions(s, platformURL, registry, logger)
	if err != nil {
		return err
	}
	options.Bounds = bounds
	node := instance.New(options)
	if err := node.Start(context.Background()); err != nil {
		return err
	}
	logger.Info().Str("callers", node.CallerAddr()).Str("operators", node.OperatorAddr()).Msg("instance started")
	if s.Dev {
		printDevHelp(os.Stdout, node.CallerAddr(), node.OperatorAddr(), platformURL)
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	go func() {
		<-signals
		logger.Warn().Msg("second signal received, graceful stop cancelled")
		cancel()
	}()
	return node.Stop(ctx)
}

// selfInstance returns the directory entry of this instance.
func selfInstance(s *settings.Settings) api.Instance {
	return api.Instance{
		ID: api.InstanceID(s.ID), Addr: s.PeerAddr, Location: api.Location{Region: s.Region, DataCentre: s.DataCentre},
	}
}

// instanceOptions builds the options of the instance from the settings.
func instanceOptions(s *settings.Settings, platformURL string, registry *prometheus.Registry, logger zerolog.Logger) (instance.Options, error) {
	client := httpbackend.New(platformURL, nil, httpbackend.DefaultTimeout)
	client.Invalid = invalid.NewReporter(registry, logger)
	options := instance.Options{
		Registry: registry,
		Self:     selfInstance(s), Regions: s.Regions, CallerAddr: s.CallerAddr, OperatorAddr: s.OperatorAddr,
		OperatorToken: s.OperatorToken, Table: client.Table(), Objects: client.Objects(), Directory: client.Directory(),
		Workers: httpbackend.NewWorkers(nil, httpbackend.DefaultTimeout), Clock: clockwork.NewRealClock(), Logger: logger,
		InstanceLeaseDuration: s.InstanceLease, AttemptLeaseDuration: s.AttemptLease, StopTimeout: s.StopTimeout,
	}
	var err error
	if options.PeerTLS, err = loadPeerTLS(s); err != nil {
		return options, err
	}
	if options.CallerTokens, err = loadCallerTokens(s); err != nil {
		return options, err
	}
	if s.CallerCert != "" {
		certificate, err := tls.LoadX509KeyPair(s.CallerCert, s.CallerKey)
		if err != nil {
			return options, invalidFile("caller-cert", s.CallerCert, err)
		}
		options.CallerTLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	return options, nil
}
