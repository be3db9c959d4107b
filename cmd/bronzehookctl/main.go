// Command bronzehookctl is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"bronzehook/ctl"
	"bronzehook/replay"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &ctl.App{
		Out: os.Stdout, Err: os.Stderr, Terminal: isTerminal(os.Stderr), DefaultAuthor: accountName(),
		Measurer: traceMeasurer{traces: replay.Traces()},
	}
	return app.Run(ctx, args)
}

// accountName returns the name of the operating system account, or an empty text if it is unknown.
func accountName() string {
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
