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

// InvalidError reports an invalid setting. The process does not start with it.
type InvalidError struct {
	Flag  string
	Value string
	// Accepted describes the accepted values.
	Accepted string
}

// Error names the flag, its value and the accepted values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("--%s: value %q is not accepted; accepted: %s", e.Flag, e.Value, e.Accepted)
}

// Code implements fault.Coded.
func (e *InvalidError) Code() fault.Code { return fault.CodeInvalid }

// HelpError is returned if help was requested. Text is the help page.
type HelpError struct{ Text string }

// Error returns the help page.
func (e *HelpError) Error() string { return e.Text }

// Read reads the settings of a program from arguments and the environment into the struct that into points to.
func Read(program string, into any, args []string) error {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", into); err != nil {
		return errors.Wrap(err, "declare settings")
	}
	positional, err := parser.ParseArgs(args)
	if err != nil {
		return parseFailure(err)
	}
	if len(positional) > 0 {
		return errors.WithStack(&InvalidError{Flag: "", Value: positional[0], Accepted: "no arguments besides flags"})
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

// First returns the first error among the results of several checks, or nil.
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

// Required rejects an empty value.
func Required(flag, value string) error {
	if value == "" {
		return invalid(flag, value, "a non-empty text")
	}
	return nil
}

// Address rejects a value that is not an IP address and a port.
func Address(flag, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return invalid(flag, value, "an IP address and a port, for example 127.0.0.1:8080")
	}
	return nil
}

// Between rejects a number outside the inclusive range from low to high.
func Between(flag string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return invalid(flag, strconv.FormatFloat(value, 'f', -1, 64), fmt.Sprintf("%v to %v", low, high))
	}
	return nil
}

// Level rejects an unknown log level.
func Level(value string) error {
	if _, err := zerolog.ParseLevel(value); err != nil || value == "" {
		return invalid("log-level", value, "debug, info, warn or error")
	}
	return nil
}

// Switch rejects values other than on and off.
func Switch(flag, value string) error {
	if value != "on" && value != "off" {
		return invalid(flag, value, "on or off")
	}
	return nil
}
