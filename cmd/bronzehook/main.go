// Command bronzehook runs one instance.
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
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend/httpbackend"
	"bronzehook/entry"
	"bronzehook/fault"
	"bronzehook/instance"
	"bronzehook/logging"
	"bronzehook/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// entryCommand runs an entry instance on the users' platform.
const entryCommand = "entry"

func run(args []string) int {
	if len(args) > 0 && args[0] == entryCommand {
		return runEntry(args[1:])
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
		logger.Error().Err(err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("instance ended with a failure")
		return fault.Describe(err).Exit
	}
	return fault.ExitOK
}

func runEntry(args []string) int {
	s, err := entry.ParseSettings(args)
	if err != nil {
		return reportStartFailure(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return reportStartFailure(err)
	}
	zerolog.TimeFieldFormat = logging.TimeFormat
	out := logging.NewBounded(os.Stdout)
	defer out.Close()
	// The level is global, so that a reload can change it.
	zerolog.SetGlobalLevel(level)
	logger := logging.New(out, zerolog.TraceLevel).With().Str(logging.KeyInstance, s.ID).Logger()
	if err := entry.Run(s, logger); err != nil {
		logger.Error().AnErr("error", err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("instance ended with a failure")
		return fault.Describe(err).Exit
	}
	return fault.ExitOK
}

func reportStartFailure(err error) int {
	var help *settings.HelpError
	if errors.As(err, &help) {
		fmt.Println(help.Text)
		return fault.ExitOK
	}
	fmt.Fprintln(os.Stderr, "bronzehook:", err)
	return fault.Describe(err).Exit
}

// bytesPerMegabyte converts the memory limit.
const bytesPerMegabyte = 1_000_000

// serve runs the instance until the first signal, then stops it gracefully. A second signal ends the process at once.
func serve(s *settings.Settings, logger zerolog.Logger) error {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimit) * bytesPerMegabyte)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	platformURL := s.PlatformURL
	if s.Dev {
		site, err := startDevSite(s)
		if err != nil {
			return err
		}
		defer site.Close()
		platformURL = site.URL
	}
	options, err := optionsOf(s, platformURL, logger)
	if err != nil {
		return err
	}
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
		logger.Warn().Msg("second signal, stop cut short")
		cancel()
	}()
	return node.Stop(ctx)
}

func selfOf(s *settings.Settings) api.Instance {
	return api.Instance{
		ID: api.InstanceID(s.ID), Addr: s.PeerAddr, Location: api.Location{Region: s.Region, DataCentre: s.DataCentre},
	}
}

func optionsOf(s *settings.Settings, platformURL string, logger zerolog.Logger) (instance.Options, error) {
	client := httpbackend.New(platformURL, nil, httpbackend.DefaultTimeout)
	options := instance.Options{
		Self: selfOf(s), Regions: s.Regions, CallerAddr: s.CallerAddr, OperatorAddr: s.OperatorAddr,
		OperatorToken: s.OperatorToken, Table: client.Table(), Objects: client.Objects(), Directory: client.Directory(),
		Workers: httpbackend.NewWorkers(nil, httpbackend.DefaultTimeout), Clock: clockwork.NewRealClock(), Logger: logger,
		Hold: s.Hold, TaskLease: s.TaskLease, StopTimeout: s.StopTimeout,
	}
	var err error
	if options.PeerTLS, err = peerTLS(s); err != nil {
		return options, err
	}
	if options.CallerTokens, err = callerTokens(s); err != nil {
		return options, err
	}
	if s.CallerCert != "" {
		certificate, err := tls.LoadX509KeyPair(s.CallerCert, s.CallerKey)
		if err != nil {
			return options, unreadable("caller-cert", s.CallerCert, err)
		}
		options.CallerTLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	return options, nil
}
