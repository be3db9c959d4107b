package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"bronzehook/api"
)

// Kinds of files besides the workload kinds (api.Kind).
const (
	// KindTeam is the kind of a file that declares a team and its quotas.
	KindTeam = "team"
	// KindFloors is the kind of the file that declares the floors, which are the guaranteed shares of the urgencies.
	KindFloors = "floors"
)

// Keys in the files.
const (
	keyKind              = "kind"
	keyName              = "name"
	keyOverride          = "override"
	keyTeam              = "team"
	keyUrgency           = "urgency"
	keyReplicas          = "replicas"
	keyCPU               = "cpu"
	keyMemory            = "memory"
	keyAccelerators      = "accelerators"
	keyRunTime           = "runTime"
	keyDeadline          = "deadline"
	keyRegions           = "regions"
	keyCommand           = "command"
	keyRequestsPerSecond = "requestsPerSecond"
)

// valueParser converts a YAML node into a value. If the second result is not empty, it is the reason why the node is
// refused.
type valueParser func(node ast.Node) (any, string)

// schema lists the accepted and the required keys of one kind of file.
type schema struct {
	keys     map[string]valueParser
	required []string
}

var schemas = map[string]schema{
	string(api.KindService): workloadSchema(nil),
	string(api.KindWatcher): workloadSchema(nil),
	string(api.KindJob):     workloadSchema(map[string]valueParser{keyRunTime: scalar(parseDuration), keyDeadline: scalar(parseDuration)}),
	KindTeam: {keys: map[string]valueParser{
		keyCPU: scalar(parseCPU), keyMemory: scalar(parseMemory), keyAccelerators: scalar(parseAccelerators),
		keyRequestsPerSecond: scalar(parseRate),
	}},
	KindFloors: floorsSchema(),
}

func workloadSchema(additional map[string]valueParser) schema {
	keys := map[string]valueParser{
		keyTeam: scalar(parseName), keyUrgency: scalar(parseUrgency), keyReplicas: scalar(parseReplicas),
		keyCPU: scalar(parseCPU), keyMemory: scalar(parseMemory), keyAccelerators: scalar(parseAccelerators),
		keyRegions: readRegions, keyCommand: readCommand,
	}
	for key, parse := range additional {
		keys[key] = parse
	}
	return schema{keys: keys, required: []string{keyTeam, keyUrgency, keyCPU, keyMemory}}
}

func floorsSchema() schema {
	s := schema{keys: map[string]valueParser{}}
	for u := api.Low; u <= api.Critical; u++ {
		s.keys[u.String()] = scalar(parsePercent)
	}
	return s
}

// accepted returns the accepted keys of a kind for error messages.
func (s schema) accepted() string {
	names := []string{keyKind, keyName, keyOverride}
	for key := range s.keys {
		names = append(names, key)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func kindNames() string {
	return strings.Join([]string{string(api.KindService), string(api.KindJob), string(api.KindWatcher), KindTeam, KindFloors}, ", ")
}

func scalar[T any](parse func(string) (T, string)) valueParser {
	return func(node ast.Node) (any, string) {
		text, ok := scalarText(node)
		if !ok {
			return nil, "a single value is expected"
		}
		return parse(text)
	}
}

// scalarText returns the text of a node that holds a single value. Aliases, tags and nulls are refused: values have to be
// written out, because an alias could expand to a large value.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func parseName(text string) (string, string) { return text, checkName(text) }

func parseReplicas(text string) (int, string) {
	value, reason := parseInteger(text, 0, maxReplicas)
	return int(value), reason
}

func parseAccelerators(text string) (int64, string) { return parseInteger(text, 0, maxAccelerators) }

func parseBool(text string) (bool, string) {
	if text != "true" && text != "false" {
		return false, fmt.Sprintf("%q is not accepted; accepted: true, false", text)
	}
	return text == "true", ""
}

func readRegions(node ast.Node) (any, string) {
	names, reason := readList(node, maxRegions)
	for _, name := range names {
		if reason == "" {
			reason = checkName(name)
		}
	}
	return names, reason
}

func readCommand(node ast.Node) (any, string) {
	arguments, reason := readList(node, maxCommandArguments)
	for _, argument := range arguments {
		if len(argument) > maxCommandArgumentBytes {
			return nil, fmt.Sprintf("an argument of the command has %d bytes; at most %d are accepted", len(argument), maxCommandArgumentBytes)
		}
	}
	return arguments, reason
}

func readList(node ast.Node, limit int) ([]string, string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		return nil, "a list of values is expected"
	}
	if len(sequence.Values) == 0 || len(sequence.Values) > limit {
		return nil, fmt.Sprintf("the list has %d entries; accepted: 1 to %d", len(sequence.Values), limit)
	}
	texts := make([]string, 0, len(sequence.Values))
	for _, value := range sequence.Values {
		text, ok := scalarText(value)
		if !ok {
			return nil, "each entry of the list must be a single value"
		}
		texts = append(texts, text)
	}
	return texts, ""
}
