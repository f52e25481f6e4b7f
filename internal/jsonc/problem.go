// Package jsonc reads JSON with comments into Go structs and reports every
// fault with its file, line and column.
package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of an input file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; Column counts bytes, as Go tools do.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns "file:line:column: fault; remedy".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.Fault, p.Remedy)
}

// Problems is a list of faults. It is an error when it is not empty.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// sorted returns the distinct problems in order of position, then of fault.
func sortedDistinct(ps Problems) Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Fault, b.Fault))
	})
	return slices.Compact(ps)
}
