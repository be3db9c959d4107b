package main

import (
	"bytes"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"bronzehook/fault"
	"bronzehook/gateway"
	"bronzehook/settings"
)

// maxTokenFileBytes bounds the file of callers' tokens; 54 teams with a few callers each need a few KiB.
const maxTokenFileBytes = 1 << 20

// callerToken is one entry in the file of callers' tokens.
type callerToken struct {
	Name  string `yaml:"name"`
	Team  string `yaml:"team"`
	Token string `yaml:"token"`
}

// loadCallerTokens reads the file of callers' tokens and returns the callers by token. It returns nil if no file is
// set.
func loadCallerTokens(s *settings.Settings) (map[string]gateway.Caller, error) {
	if s.CallerTokens == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.CallerTokens)
	if err != nil {
		return nil, errors.WithStack(&settings.InvalidError{Flag: "caller-tokens", Value: s.CallerTokens, Accepted: "a readable YAML file"})
	}
	return parseCallerTokens(s.CallerTokens, data)
}

// parseCallerTokens parses the file of callers' tokens. The errors contain no token.
func parseCallerTokens(file string, data []byte) (map[string]gateway.Caller, error) {
	const op = "read caller tokens"
	if len(data) > maxTokenFileBytes {
		return nil, fault.New(fault.CodeTooLarge, op, "%s has %d bytes, at most %d are accepted", file, len(data), maxTokenFileBytes)
	}
	var entries []callerToken
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&entries); err != nil {
		return nil, fault.New(fault.CodeInvalid, op, "%s: %s", file, firstLine(err))
	}
	callers := make(map[string]gateway.Caller, len(entries))
	for i, entry := range entries {
		if entry.Team == "" || entry.Token == "" {
			return nil, fault.New(fault.CodeInvalid, op, "%s: entry %d has no team or no token", file, i+1)
		}
		if _, duplicate := callers[entry.Token]; duplicate {
			return nil, fault.New(fault.CodeInvalid, op, "%s: entry %d has the same token as an earlier entry", file, i+1)
		}
		callers[entry.Token] = gateway.Caller{Name: entry.Name, Team: entry.Team}
	}
	return callers, nil
}

// firstLine returns the position and the reason of a YAML error. The lines after it quote the file and would reveal
// tokens.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
