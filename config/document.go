package config

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// byteOrderMark is written by some editors at the start of a file. The YAML library takes it as part of the first key.
var byteOrderMark = []byte("\ufeff")

// position is a position in a configuration file.
type position struct {
	file         string
	line, column int
}

// field is one parsed value and its position in the file.
type field struct {
	position
	value any
}

// document is one parsed file before the merge.
type document struct {
	file         string
	start        position
	kind         string
	name         string
	namePosition position
	override     bool
	fields       map[string]field
}

// parseDocument parses one file. The document is nil if the file cannot be merged, for example because its kind or name is
// missing or invalid.
func parseDocument(file string, content []byte) (*document, problems) {
	var found problems
	wholeFile := position{file: file}
	if reason := CheckFileName(file); reason != "" {
		found.add(wholeFile, RuleLimit, "%s", reason)
		return nil, found
	}
	if len(content) > MaxFileBytes {
		found.add(wholeFile, RuleLimit, "file has %d bytes; at most %d are accepted", len(content), MaxFileBytes)
		return nil, found
	}
	if !utf8.Valid(content) {
		found.add(wholeFile, RuleSyntax, "file is not valid UTF-8")
		return nil, found
	}
	mapping, problem := parseMapping(file, content)
	if problem != nil {
		return nil, problems{*problem}
	}
	d := &document{file: file, start: nodePosition(file, mapping), fields: map[string]field{}}
	mergeable := d.readHeader(mapping, &found)
	if _, known := schemas[d.kind]; known {
		d.readFields(mapping, &found)
	}
	if !mergeable {
		return nil, found
	}
	return d, found
}

// parseMapping returns the top-level mapping of a file. A panic in the YAML library is reported as a problem of the file,
// because invalid input from operators must not crash the instance.
func parseMapping(file string, content []byte) (mapping *ast.MappingNode, problem *Problem) {
	defer func() {
		if cause := recover(); cause != nil {
			problem = &Problem{File: file, Line: 1, Column: 1, Rule: RuleSyntax, Reason: fmt.Sprintf("file cannot be read: %v", cause)}
		}
	}()
	if reason := checkBrackets(content); reason != "" {
		return nil, &Problem{File: file, Rule: RuleLimit, Reason: reason}
	}
	tree, err := parser.ParseBytes(bytes.TrimPrefix(content, byteOrderMark), 0)
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	return topMapping(file, tree)
}

func topMapping(file string, tree *ast.File) (*ast.MappingNode, *Problem) {
	var bodies []ast.Node
	for _, doc := range tree.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		reason := fmt.Sprintf("file has %d YAML documents; exactly 1 is expected", len(bodies))
		return nil, &Problem{File: file, Line: 1, Column: 1, Rule: RuleSyntax, Reason: reason}
	}
	switch body := bodies[0].(type) {
	case *ast.MappingNode:
		return body, nil
	case *ast.MappingValueNode:
		return &ast.MappingNode{BaseNode: &ast.BaseNode{}, Start: body.Key.GetToken(), Values: []*ast.MappingValueNode{body}}, nil
	}
	at := nodePosition(file, bodies[0])
	return nil, &Problem{File: file, Line: at.line, Column: at.column, Rule: RuleSyntax, Reason: "keys with values are expected"}
}

func syntaxProblem(file string, err error) *Problem {
	p := &Problem{File: file, Line: 1, Column: 1, Rule: RuleSyntax, Reason: err.Error()}
	var located yaml.Error
	if !errors.As(err, &located) {
		return p
	}
	p.Reason = located.GetMessage()
	if token := located.GetToken(); token != nil && token.Position != nil {
		p.Line, p.Column = token.Position.Line, token.Position.Column
	}
	return p
}

// nodePosition returns the position at which a node starts.
func nodePosition(file string, node ast.Node) position {
	at := position{file: file, line: 1, column: 1}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if token := node.GetToken(); token != nil && token.Position != nil {
		at.line, at.column = token.Position.Line, token.Position.Column
	}
	return at
}

// readHeader reads the kind, name and override keys. It reports whether the document can be merged.
func (d *document) readHeader(mapping *ast.MappingNode, found *problems) bool {
	countBefore := len(*found)
	kind, at, given := d.readKey(mapping, keyKind, scalar(parseString), found)
	if given {
		d.kind = kind.(string)
		if _, known := schemas[d.kind]; !known {
			found.add(at, RuleValue, "kind %q is not accepted; accepted: %s", d.kind, kindNames())
		}
	} else if len(*found) == countBefore {
		found.add(d.start, RuleMissingKey, "key %q is missing; accepted: %s", keyKind, kindNames())
	}
	d.readName(mapping, found)
	if override, _, given := d.readKey(mapping, keyOverride, scalar(parseBool), found); given {
		d.override = override.(bool)
	}
	return len(*found) == countBefore
}

func (d *document) readName(mapping *ast.MappingNode, found *problems) {
	countBefore := len(*found)
	name, at, given := d.readKey(mapping, keyName, scalar(parseName), found)
	switch {
	case given && d.kind == KindFloors:
		found.add(at, RuleUnknownKey, "key %q is not accepted in a file of kind %s", keyName, KindFloors)
	case given:
		d.name, d.namePosition = name.(string), at
	case d.kind == KindFloors:
		d.name, d.namePosition = KindFloors, d.start
	case len(*found) == countBefore:
		found.add(d.start, RuleMissingKey, "key %q is missing", keyName)
	}
}

// readKey parses the value of one key of the mapping. given is false if the key is absent or its value is refused.
func (d *document) readKey(mapping *ast.MappingNode, key string, parse valueParser, found *problems) (value any, at position, given bool) {
	for _, pair := range mapping.Values {
		if pair.Key.GetToken().Value != key {
			continue
		}
		at = nodePosition(d.file, pair.Value)
		value, reason := parse(pair.Value)
		if reason != "" {
			found.add(at, RuleValue, "%s: %s", key, reason)
			return nil, at, false
		}
		return value, at, true
	}
	return nil, position{}, false
}

func (d *document) readFields(mapping *ast.MappingNode, found *problems) {
	kindSchema := schemas[d.kind]
	for _, pair := range mapping.Values {
		key := pair.Key.GetToken().Value
		if key == keyKind || key == keyName || key == keyOverride {
			continue
		}
		parse, known := kindSchema.keys[key]
		if !known {
			found.add(nodePosition(d.file, pair.Key), RuleUnknownKey, "unknown key %q for kind %s; accepted: %s", key, d.kind, kindSchema.accepted())
			continue
		}
		at := nodePosition(d.file, pair.Value)
		value, reason := parse(pair.Value)
		if reason != "" {
			found.add(at, RuleValue, "%s: %s", key, reason)
		}
		d.fields[key] = field{position: at, value: value}
	}
}

func parseString(text string) (string, string) { return text, "" }
