// Command bronzehook runs one instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bronzehook/fault"
	"bronzehook/kernel"
	"bronzehook/logging"
	"bronzehook/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
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
		logger.Error().Err(err).Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("instance stopped with a failure")
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

func serve(s *settings.Settings, logger zerolog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	k := kernel.New(kernel.NewBus())
	if err := k.Start(context.Background()); err != nil {
		return err
	}
	logger.Info().Msg("instance started")
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	return k.Stop(ctx)
}
