package jsonc_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/jsonc"
)

type sample struct {
	Name string        `json:"name"`
	Wait time.Duration `json:"wait"`
	List []struct {
		N int64 `json:"n"`
	} `json:"list"`
}

// Each problem must be reported once and at the right position.
func TestDecodeReportsPositions(t *testing.T) {
	deep := strings.Repeat("[", jsonc.MaxDepth+1)
	for _, c := range []struct{ name, in, want string }{
		{"valid", "// c\n{\"name\": \"a\", \"wait\": \"2s\", \"list\": [{\"n\": 1},],}", ""},
		{"syntax", "{\n \"name\": \"a\" \"wait\"}", `f:2:14: syntax error: invalid character '"' after object value`},
		{"unfinished", "{\"name\": \"a", "f:1:12: syntax error: parsing string: unexpected EOF; close"},
		{"unknown field", "{\n  \"nam\": 1}", `f:2:3: unknown field "nam"; use one of list, name, wait`},
		{"duplicate", `{"name": "a", "name": "b"}`, `f:1:15: field "name" is stated twice`},
		{"wrong type", `{"list": [{"n": 1.5}]}`, "f:1:17: list[0].n is 1.5; write a whole number"},
		{"null", `{"name": null}`, "f:1:10: name is null; write a string"},
		{"duration", `{"wait": 3}`, "f:1:10: wait is 3; write a duration"},
		{"not an object", `[]`, "f:1:1: the document is a list; write an object"},
		{"too deep", deep, "f:1:33: objects and arrays are nested more than 32 deep"},
		{"brackets in strings and comments", `{"name": "` + deep + `\"["} /*` + deep + "*/ //" + deep, ""},
		{"too many elements", `{"list": [` + strings.Repeat("{},", jsonc.MaxElements+1) + `]}`, "f:1:10: list has 20001 elements"},
		{"too large", strings.Repeat(" ", jsonc.MaxBytes+1), "f:1:1: file has 1048577 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			doc := jsonc.Parse("f", []byte(c.in))
			var s sample
			doc.Decode(&s)
			got := doc.Problems().Error()
			assert.Assert(t, strings.HasPrefix(got, c.want) && (c.want != "" || got == ""), "got %q", got)
			assert.Assert(t, len(doc.Problems()) <= 1)
		})
	}
}

// The number of problems must be bounded, because reporting them all would take
// seconds, and a truncated list must say that it is truncated.
func TestProblemsAreBounded(t *testing.T) {
	in := `{"list": [` + strings.Repeat(`{"n": ""},`, jsonc.MaxProblems+5) + `]}`
	doc := jsonc.Parse("f", []byte(in))
	var s sample
	doc.Decode(&s)
	ps := doc.Problems()
	assert.Equal(t, len(ps), jsonc.MaxProblems+1)
	assert.Equal(t, ps[0].String(), "f:1:1: more than 10000 faults; the rest is not shown; correct the faults below first")
}
