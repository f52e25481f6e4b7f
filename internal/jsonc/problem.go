// Package jsonc decodes JSON with comments into Go structs and reports every
// problem with its file, line and column.
package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in an input file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; Column counts bytes, as Go tools do.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Fault says what is wrong, and Remedy how to correct it.
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns "file:line:column: fault; remedy".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.Fault, p.Remedy)
}

// Problems is a list of problems. It implements error; use Err to get nil for an
// empty list.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if it is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// sortedDistinct sorts ps in place by position, then by fault, and returns it
// without duplicates.
func sortedDistinct(ps Problems) Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Fault, b.Fault))
	})
	return slices.Compact(ps)
}
