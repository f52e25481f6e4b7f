package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"unicode/utf8"

	"catkinvalve/internal/fault"
)

// maxDepth limits the nesting of a body; the deepest valid body has depth 2.
const maxDepth = 16

// decodeStrict decodes exactly one JSON object into target, which points to a struct. It
// rejects unknown and repeated field names, names in another case, invalid UTF-8 and
// trailing data. encoding/json alone would accept repeated names and names in another
// case. Errors contain the line and column.
func decodeStrict(body []byte, target any) error {
	if !utf8.Valid(body) {
		return malformed(body, invalidOffset(body), "invalid UTF-8")
	}
	if err := checkNames(body, fieldNames(reflect.TypeOf(target).Elem())); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return jsonFault(body, decoder.InputOffset(), err)
	}
	return nil
}

// invalidOffset returns the offset of the first byte that is not valid UTF-8.
func invalidOffset(body []byte) int64 {
	offset := 0
	for offset < len(body) {
		r, size := utf8.DecodeRune(body[offset:])
		if r == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return int64(offset)
}

// jsonFault converts an error of encoding/json to one with a line and column. offset is
// used for errors that have no offset of their own.
func jsonFault(body []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return malformed(body, syntax.Offset, syntax.Error())
	case errors.As(err, &wrongType):
		return malformed(body, wrongType.Offset, fmt.Sprintf("field %q cannot hold a JSON %s", wrongType.Field, wrongType.Value))
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return malformed(body, int64(len(body)), "the JSON object is not complete")
	default:
		return malformed(body, offset, strings.TrimPrefix(err.Error(), "json: "))
	}
}

// malformed returns an error that contains the line and column of a byte offset.
func malformed(body []byte, offset int64, problem string) error {
	before := body[:min(max(offset, 0), int64(len(body)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := 1 + len(before) - (bytes.LastIndexByte(before, '\n') + 1)
	return fault.New(fault.Malformed, "correct the body; the fields are listed in the API documentation",
		"line %d column %d: %s", line, column, problem)
}

// fieldNames returns the JSON names of a struct's fields, including those of nested
// structs. It does not distinguish levels: DisallowUnknownFields finds a name at the
// wrong level.
func fieldNames(t reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		names[name] = true
		inner := field.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			for name := range fieldNames(inner) {
				names[name] = true
			}
		}
	}
	return names
}
