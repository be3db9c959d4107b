package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

// Rule names the check that a file failed, in a form for programs.
type Rule string

// Values of Rule.
const (
	RuleSyntax        Rule = "syntax"
	RuleLimit         Rule = "limit"
	RuleUnknownKey    Rule = "unknown-key"
	RuleMissingKey    Rule = "missing-key"
	RuleValue         Rule = "value"
	RuleDuplicateName Rule = "duplicate-name"
	RuleOverride      Rule = "override"
	RuleUnknownTeam   Rule = "unknown-team"
	RuleUnknownRegion Rule = "unknown-region"
)

// Problem is one reason why a folder is refused. Line and Column start at 1; both are 0 if the problem concerns the whole
// file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Rule   Rule   `json:"rule"`
	Reason string `json:"reason"`
}

// Error formats the problem as file:line:column: reason.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Reason
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Reason)
}

// Code implements fault.Coded.
func (p *Problem) Code() fault.Code { return fault.CodeInvalid }

// InvalidError reports every problem of a folder, sorted by file and position.
type InvalidError struct{ Problems []Problem }

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i := range e.Problems {
		lines[i] = e.Problems[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Code implements fault.Coded.
func (e *InvalidError) Code() fault.Code { return fault.CodeInvalid }

// problems collects the problems found in a folder.
type problems []Problem

func (ps *problems) add(at position, rule Rule, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	*ps = append(*ps, Problem{File: at.file, Line: at.line, Column: at.column, Rule: rule, Reason: reason})
}

func (ps problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, compareProblems)
	return errors.WithStackDepth(&InvalidError{Problems: slices.Compact(ps)}, 1)
}

func compareProblems(a, b Problem) int {
	return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
		cmp.Compare(a.Reason, b.Reason))
}
