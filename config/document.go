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

// byteOrderMark begins files of some editors; the YAML library takes it for a part of the first key.
var byteOrderMark = []byte("\ufeff")

// place is a position in a file.
type place struct {
	file         string
	line, column int
}

// field is one value with the position where it was stated.
type field struct {
	place
	value any
}

// document is one file after parsing, before merging.
type document struct {
	file     string
	start    place
	kind     string
	name     string
	named    place
	override bool
	fields   map[string]field
}

// parseDocument reads one file. The document is nil if not even its kind and name are known.
func parseDocument(file string, content []byte) (*document, problems) {
	var found problems
	whole := place{file: file}
	if reason := CheckFileName(file); reason != "" {
		found.add(whole, RuleLimit, "%s", reason)
		return nil, found
	}
	if len(content) > MaxFileBytes {
		found.add(whole, RuleLimit, "file has %d bytes; at most %d are accepted", len(content), MaxFileBytes)
		return nil, found
	}
	if !utf8.Valid(content) {
		found.add(whole, RuleSyntax, "file is not valid UTF-8")
		return nil, found
	}
	mapping, problem := parseMapping(file, content)
	if problem != nil {
		return nil, problems{*problem}
	}
	d := &document{file: file, start: position(file, mapping), fields: map[string]field{}}
	complete := d.readHead(mapping, &found)
	if _, known := schemas[d.kind]; known {
		d.readFields(mapping, &found)
	}
	if !complete {
		return nil, found
	}
	return d, found
}

// parseMapping returns the top-level mapping of a file. A panic in the YAML library refuses the file, because operators'
// input must not end the instance.
func parseMapping(file string, content []byte) (mapping *ast.MappingNode, problem *Problem) {
	defer func() {
		if cause := recover(); cause != nil {
			problem = &Problem{File: file, Line: 1, Column: 1, Rule: RuleSyntax, Reason: fmt.Sprintf("file cannot be read: %v", cause)}
		}
	}()
	if reason := checkNesting(content); reason != "" {
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
	at := position(file, bodies[0])
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

// position returns where a node begins.
func position(file string, node ast.Node) place {
	at := place{file: file, line: 1, column: 1}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if token := node.GetToken(); token != nil && token.Position != nil {
		at.line, at.column = token.Position.Line, token.Position.Column
	}
	return at
}

// readHead reads kind, name and override, and reports whether the file can take part in the merge.
func (d *document) readHead(mapping *ast.MappingNode, found *problems) bool {
	before := len(*found)
	kind, at, given := d.readKey(mapping, keyKind, scalar(parsePlain), found)
	if given {
		d.kind = kind.(string)
		if _, known := schemas[d.kind]; !known {
			found.add(at, RuleValue, "kind %q is not accepted; accepted: %s", d.kind, kindNames())
		}
	} else if len(*found) == before {
		found.add(d.start, RuleMissingKey, "key %q is missing; accepted: %s", keyKind, kindNames())
	}
	d.readName(mapping, found)
	if override, _, given := d.readKey(mapping, keyOverride, scalar(parseBool), found); given {
		d.override = override.(bool)
	}
	return len(*found) == before
}

func (d *document) readName(mapping *ast.MappingNode, found *problems) {
	before := len(*found)
	name, at, given := d.readKey(mapping, keyName, scalar(parseName), found)
	switch {
	case given && d.kind == KindFloors:
		found.add(at, RuleUnknownKey, "key %q is not accepted in a file of kind %s", keyName, KindFloors)
	case given:
		d.name, d.named = name.(string), at
	case d.kind == KindFloors:
		d.name, d.named = KindFloors, d.start
	case len(*found) == before:
		found.add(d.start, RuleMissingKey, "key %q is missing", keyName)
	}
}

// readKey reads one key of the mapping; given is false if it is absent or refused.
func (d *document) readKey(mapping *ast.MappingNode, key string, read reader, found *problems) (value any, at place, given bool) {
	for _, entry := range mapping.Values {
		if entry.Key.GetToken().Value != key {
			continue
		}
		at = position(d.file, entry.Value)
		value, reason := read(entry.Value)
		if reason != "" {
			found.add(at, RuleValue, "%s: %s", key, reason)
			return nil, at, false
		}
		return value, at, true
	}
	return nil, place{}, false
}

func (d *document) readFields(mapping *ast.MappingNode, found *problems) {
	rules := schemas[d.kind]
	for _, entry := range mapping.Values {
		key := entry.Key.GetToken().Value
		if key == keyKind || key == keyName || key == keyOverride {
			continue
		}
		read, known := rules.keys[key]
		if !known {
			found.add(position(d.file, entry.Key), RuleUnknownKey, "unknown key %q for kind %s; accepted: %s", key, d.kind, rules.accepted())
			continue
		}
		at := position(d.file, entry.Value)
		value, reason := read(entry.Value)
		if reason != "" {
			found.add(at, RuleValue, "%s: %s", key, reason)
		}
		d.fields[key] = field{place: at, value: value}
	}
}

func parsePlain(text string) (string, string) { return text, "" }
