package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits of a document. Nesting is checked before the parser runs because the
// parser is recursive and hostile input could exhaust the stack.
const (
	MaxBytes = 1 << 20 // 1 MiB
	MaxDepth = 32      // open objects and arrays
	// MaxElements bounds the length of an array, and MaxProblems the number of
	// problems. Without them, checking a text of 1 MiB with 340,000 empty services
	// took 10 s.
	MaxElements = 20_000
	MaxProblems = 10_000
)

// Document is a parsed file. It collects problems and keeps the position of each
// decoded value by its path, such as "services[2].size.slots".
type Document struct {
	file          string
	data          []byte
	lineStarts    []int // byte offset of each line
	root          hujson.Value
	positions     map[string]int  // byte offsets of values by path
	invalid       map[string]bool // paths that could not be decoded
	invalidWithin map[string]bool // the same paths and those of all enclosing values
	problems      Problems
}

// Parse parses data. The document has problems if the syntax is wrong or a limit
// is exceeded; Decode does nothing in this case.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, data: data, lineStarts: lineStartOffsets(data), positions: map[string]int{"": 0}, invalid: map[string]bool{}, invalidWithin: map[string]bool{}}
	if len(data) > MaxBytes {
		d.report(0, "split the content or remove what is not needed", "file has %d bytes, more than the limit of %d", len(data), MaxBytes)
		return d
	}
	if offset := excessDepthOffset(data); offset >= 0 {
		d.report(offset, "flatten the structure", "objects and arrays are nested more than %d deep", MaxDepth)
		return d
	}
	root, err := hujson.Parse(data)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		// The parser requires a line break after a line comment at the end.
		if r, retryErr := hujson.Parse(append(bytes.Clone(data), '\n')); retryErr == nil {
			root, err = r, nil
		}
	}
	if err != nil {
		d.reportSyntaxError(err)
		return d
	}
	d.root = root
	return d
}

// Problems returns all problems so far, sorted by position.
func (d *Document) Problems() Problems { return sortedDistinct(d.problems) }

// Report adds a problem at the value with the given path, or at the closest
// enclosing value that exists. It ignores a path whose value has the wrong type,
// because that has already been reported.
func (d *Document) Report(path, remedy, format string, args ...any) {
	if d.Invalid(path) || len(d.problems) > MaxProblems {
		return
	}
	for path != "" {
		if _, ok := d.positions[path]; ok {
			break
		}
		path = parentPath(path)
	}
	d.report(d.positions[path], remedy, format, args...)
}

// Has reports whether the file contains a value at path.
func (d *Document) Has(path string) bool {
	_, ok := d.positions[path]
	return ok
}

// Invalid reports whether the value at path, or one that encloses it, could not
// be decoded.
func (d *Document) Invalid(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if d.invalid[path] {
			return true
		}
	}
	return d.invalid[""]
}

// InvalidWithin reports whether the value at path, or one inside it, could not be
// decoded.
func (d *Document) InvalidWithin(path string) bool { return d.invalidWithin[path] || d.invalid[""] }

// markInvalid records that the value at path could not be decoded.
func (d *Document) markInvalid(path string) {
	d.invalid[path] = true
	for ; path != ""; path = parentPath(path) {
		d.invalidWithin[path] = true
	}
}

// CheckRange reports a problem at path if value is less than low or greater than
// high.
func CheckRange[T int | int64](d *Document, path string, value, low, high T) {
	if value < low || value > high {
		d.Report(path, "use a number in this range", "%s is %d, outside of %d to %d", path, value, low, high)
	}
}

// report adds a problem at a byte offset. After MaxProblems problems it adds one that
// says that the rest is not shown, and ignores all further ones.
func (d *Document) report(offset int, remedy, format string, args ...any) {
	switch {
	case len(d.problems) > MaxProblems:
		return
	case len(d.problems) == MaxProblems:
		offset, remedy, format, args = 0, "correct the faults below first", "more than %d faults; the rest is not shown", []any{MaxProblems}
	}
	line, column := d.lineColumn(offset)
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Column: column, Fault: fmt.Sprintf(format, args...), Remedy: remedy})
}

// lineColumn returns the line and the column of a byte offset, both counted from 1.
func (d *Document) lineColumn(offset int) (line, column int) {
	next, _ := slices.BinarySearch(d.lineStarts, offset+1)
	return next, offset - d.lineStarts[next-1] + 1
}

func lineStartOffsets(data []byte) []int {
	offsets := []int{0}
	for i, c := range data {
		if c == '\n' {
			offsets = append(offsets, i+1)
		}
	}
	return offsets
}

// parserPosition matches the position in error messages of the parser, which
// provides it in no other form.
var parserPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (d *Document) reportSyntaxError(err error) {
	message, line, column := err.Error(), 1, 1
	if m := parserPosition.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		column, _ = strconv.Atoi(m[2])
		message = message[len(m[0]):]
	}
	remedy := "correct the JSON syntax here or just before"
	if errors.Is(err, io.ErrUnexpectedEOF) {
		remedy = "close the open string, comment, object or array"
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Column: column, Fault: "syntax error: " + message, Remedy: remedy})
}

// excessDepthOffset returns the offset at which nesting exceeds MaxDepth, or -1.
// It skips strings and comments.
func excessDepthOffset(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '"':
			i = skipString(data, i)
		case c == '/' && i+1 < len(data) && data[i+1] == '/':
			i = skipUntil(data, i+2, "\n")
		case c == '/' && i+1 < len(data) && data[i+1] == '*':
			i = skipUntil(data, i+2, "*/")
		case c == '{' || c == '[':
			if depth++; depth > MaxDepth {
				return i
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string starting at i.
// For an unterminated string the result is at least len(data).
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipUntil returns the offset of the last byte of the next occurrence of end, or
// len(data) if there is none.
func skipUntil(data []byte, from int, end string) int {
	n := bytes.Index(data[from:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return from + n + len(end) - 1
}

// FieldPath returns the path of a field of the object at path.
func FieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ElementPath returns the path of an element of the array at path.
func ElementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}
