package settings

import (
	"fmt"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"bronzehook/fault"
)

// InvalidError reports a setting that stops the start.
type InvalidError struct {
	Flag  string
	Value string
	// Accepted says in words what would be accepted.
	Accepted string
}

// Error names the flag, its value and the accepted range.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("--%s: value %q is not accepted; accepted: %s", e.Flag, e.Value, e.Accepted)
}

// Code implements fault.Coded.
func (e *InvalidError) Code() fault.Code { return fault.CodeInvalid }

// HelpError is returned when help was asked for; its text is the help page.
type HelpError struct{ Text string }

// Error returns the help page.
func (e *HelpError) Error() string { return e.Text }

// Read fills the settings of a program from arguments and the environment.
func Read(program string, into any, args []string) error {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", into); err != nil {
		return errors.Wrap(err, "declare settings")
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return parseFailure(err)
	}
	if len(rest) > 0 {
		return errors.WithStack(&InvalidError{Flag: "", Value: rest[0], Accepted: "no arguments besides flags"})
	}
	return nil
}

func parseFailure(err error) error {
	var failure *flags.Error
	if !errors.As(err, &failure) {
		return errors.Wrap(err, "parse settings")
	}
	if failure.Type == flags.ErrHelp {
		return &HelpError{Text: failure.Message}
	}
	return fault.New(fault.CodeInvalid, "parse settings", "%s", failure.Message)
}

// First returns the first failure of several checks.
func First(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func invalid(flag, value, accepted string) error {
	return errors.WithStackDepth(&InvalidError{Flag: flag, Value: value, Accepted: accepted}, 1)
}

// Required refuses an empty text.
func Required(flag, value string) error {
	if value == "" {
		return invalid(flag, value, "a text that is not empty")
	}
	return nil
}

// Address refuses what is not an IP address and a port.
func Address(flag, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return invalid(flag, value, "an IP address and a port, for example 127.0.0.1:8080")
	}
	return nil
}

// Between refuses a number outside of two bounds, which are accepted themselves.
func Between(flag string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return invalid(flag, strconv.FormatFloat(value, 'f', -1, 64), fmt.Sprintf("%v to %v", low, high))
	}
	return nil
}

// Level refuses an unknown level of the log.
func Level(value string) error {
	if _, err := zerolog.ParseLevel(value); err != nil || value == "" {
		return invalid("log-level", value, "debug, info, warn or error")
	}
	return nil
}
