package text

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "catkinvalve/internal/propseed"
)

const valid = `{
  "cell": "c",
  "data_centres": [{"name": "a", "region": "r"}],
  "teams": [{"name": "t", "quota": {"milli_cpu": 1000, "slots": 8}}],
  "services": [
    {"name": "s", "team": "t", "class": "batch", "size": {"milli_cpu": 1, "mem_mb": 1}, "run_ms": 1, "new_percent": 10},
    {"name": "g", "team": "t", "class": "all_at_once", "tasks": 2, "size": {"milli_cpu": 1, "mem_mb": 1}, "run_ms": 1, "depends_on": ["s"]},
    {"name": "l", "team": "t", "class": "service", "instances": 1, "size": {"milli_cpu": 1, "mem_mb": 1}}
  ]
}`

// extractMarks removes the marks '@' from a text and returns it with the positions
// of the marks as "line:column".
func extractMarks(in string) (out string, positions []string) {
	line, column := 1, 1
	for _, r := range in {
		switch r {
		case '@':
			positions = append(positions, fmt.Sprintf("%d:%d", line, column))
			continue
		case '\n':
			line, column = line+1, 0
		}
		out += string(r)
		column++
	}
	return out, positions
}

// Each rule must be reported exactly once: each case edits a valid text, and the
// expected problems are at the positions marked by '@'.
func TestRules(t *testing.T) {
	const cell, s, g, l = `"cell": "c"`, `"name": "s",`, `"name": "g",`, `"name": "l",`
	for _, c := range []struct {
		name  string
		edits []string
		want  string
	}{
		{"valid", nil, ""},
		{"cell name", []string{cell, `"cell": @""`}, "cell is missing or empty"},
		{"name form", []string{cell, `"cell": @"-c"`}, `cell "-c" is not a valid name`},
		{"long name", []string{cell, `"cell": @"` + strings.Repeat("c", 64) + `"`}, "cell has 64 bytes"},
		{"no data centre", []string{`[{"name": "a", "region": "r"}]`, `@[]`}, "there is no data centre"},
		{"colon", []string{`"name": "a"`, `"name": @"a:b"`}, `data centre "a:b" contains a colon`},
		{"region", []string{`{"name": "a", "region": "r"}`, `@{"name": "a"}`}, "data_centres[0].region is missing"},
		{"same data centre", []string{`[{"name": "a"`, `[{"name": "a", "region": "r"}, {"name": @"a"`}, `data centre "a" is listed before as number 1`},
		{"weigh range", []string{cell, cell + `, "weigh": {"waiting": @101}`}, "weigh.waiting is 101, outside of 0 to 100"},
		{"weigh zero", []string{cell, cell + `, "weigh": @{"waiting": 0, "packing": 0}`}, "weigh.waiting and weigh.packing are both 0"},
		{"queue order", []string{cell, cell + `, "limits": {"queue_per_team": @9, "queue_total": 8}`}, "limits.queue_per_team 9 exceeds limits.queue_total 8"},
		{"headroom", []string{cell, cell + `, "limits": {"interactive_headroom_percent": @-1}`}, "limits.interactive_headroom_percent is -1"},
		{"urgent wait", []string{cell, cell + `, "limits": {"urgent_wait_ms": @0}`}, "limits.urgent_wait_ms is 0"},
		{"attempts", []string{cell, cell + `, "retry": {"max_attempts": @0}`}, "retry.max_attempts is 0"},
		{"budget", []string{cell, cell + `, "retry": {"budget_percent": @101}`}, "retry.budget_percent is 101"},
		{"backoff", []string{cell, cell + `, "retry": {"backoff_ms": 9, "backoff_max_ms": @8}`}, "retry.backoff_max_ms 8 is below"},
		{"team name", []string{`"name": "t"`, `"name": @"T"`, `"team": "t"`, `"team": @"t"`}, `teams[0].name "T" is not a valid name|` +
			`service "s" names the unknown team "t"|service "g" names the unknown team "t"|service "l" names the unknown team "t"`},
		{"same team", []string{`"teams": [`, `"teams": [{"name": "t"}, `, `"name": "t"`, `"name": @"t"`}, `team "t" is listed before`},
		{"quota range", []string{`"slots": 8`, `"slots": @-8`}, "teams[0].quota.slots is -8"},
		{"quota unusable", []string{`{"milli_cpu": 1000, "slots": 8}`, `@{"slots": 8, "borrow": false}`, `"size": {`, `"size": @{`},
			`team "t" may not borrow and lacks|service "s" needs 1|service "g" needs 2|service "l" needs 1`},
		{"over quota", []string{`"slots": 8`, `"slots": 1, "borrow": false`, `"tasks": 2, "size": {`, `"tasks": 2, "size": @{`}, `service "g" needs 2 milli_cpu and 2 slots`},
		{"old reserve", []string{cell, cell + `, "old": {"slots_per_worker": @-1}`}, "old.slots_per_worker is -1"},
		{"service name", []string{`{` + l, `@{`}, "services[2].name is missing"},
		{"same service", []string{l, `"name": @"g",`}, `service "g" is listed before as number 2`},
		{"no team", []string{`{` + s + ` "team": "t",`, `@{` + s}, `service "s" has no team`},
		{"unknown team", []string{s + ` "team": "t",`, s + ` "team": @"x",`}, `service "s" names the unknown team "x"`},
		{"unknown class", []string{`"batch"`, `@"bath"`}, `service "s" has the unknown class "bath"`},
		{"size zero", []string{`"batch", "size": {"milli_cpu": 1,`, `"batch", "size": {"milli_cpu": @0,`}, "services[0].size.milli_cpu is 0"},
		{"memory absent", []string{`"batch", "size": {"milli_cpu": 1, "mem_mb": 1}`, `"batch", "size": @{"milli_cpu": 1}`}, "services[0].size.mem_mb is 0"},
		{"slots", []string{`"batch", "size": {`, `"batch", "size": {"slots": @0, `}, "services[0].size.slots is 0"},
		{"run time", []string{`{` + s, `@{` + s, `"run_ms": 1, "new_percent"`, `"new_percent"`}, "services[0].run_ms is 0"},
		{"one task", []string{`"tasks": 2`, `"tasks": @1`}, `service "g" of class all_at_once has 1 tasks`},
		{"tasks of batch", []string{s, s + ` "tasks": @2,`}, `service "s" of class "batch" has 2 tasks`},
		{"no instances", []string{`{` + l, `@{` + l, `"instances": 1, `, ``}, `service "l" of class service has 0 instances`},
		{"instances of batch", []string{s, s + ` "instances": @2,`}, `service "s" of class "batch" has 2 instances`},
		{"not idempotent", []string{l, l + ` "idempotent": @false,`}, `service "l" of class service is not idempotent`},
		{"percent", []string{`"new_percent": 10`, `"new_percent": @101`}, "services[0].new_percent is 101"},
		{"on deadline", []string{s, s + ` "on_deadline": @"x",`}, `service "s" has the unknown on_deadline "x"`},
		{"unknown dependency", []string{`["s"]`, `["s", @"x"]`}, `service "g" depends on the unknown service "x"`},
		{"same dependency", []string{`["s"]`, `["s", @"s"]`}, `service "g" depends on "s" twice`},
		{"cycle", []string{s, s + ` "depends_on": ["g"],`, `["s"]`, `[@"s"]`, `, "new_percent": 10`, ``}, `dependency cycle s -> g -> s`},
		{"self", []string{`["s"]`, `[@"g"]`}, `dependency cycle g -> g`},
		{"share", []string{g, g + ` "new_percent": @11,`}, `new_percent 11 of service "g" exceeds new_percent 10 of "s"`},
		{"wrong type once", []string{`"slots": 8`, `"slots": @"8"`}, `teams[0].quota.slots is "8"; write a whole number`},
	} {
		t.Run(c.name, func(t *testing.T) {
			in, positions := extractMarks(strings.NewReplacer(c.edits...).Replace(valid))
			cfg, ps := Parse("f", []byte(in))
			assert.Equal(t, cfg == nil, c.want != "", "%s", ps.Error())
			assert.Equal(t, len(ps), len(positions), "%s", ps.Error())
			for i, want := range strings.Split(c.want, "|")[:len(ps)] {
				assert.Assert(t, strings.HasPrefix(ps[i].String(), "f:"+positions[i]+": "+want), "%s, want %s: %s", ps[i], positions[i], want)
				assert.Assert(t, ps[i].Remedy != "")
			}
		})
	}
}

// All problems must be reported at once, not only the first.
func TestFiveFaultsAtOnce(t *testing.T) {
	in := `{
  "cell": "c", "colour": "red",
  "data_centres": [{"name": "a:b", "region": "r"}],
  "teams": [{"name": "t"}],
  "services": [
    {"name": "s", "team": "u", "class": "batch", "run_ms": "1",
     "size": {"milli_cpu": 1, "mem_mb": 0}}
  ]
}`
	_, ps := Parse("cell.jsonc", []byte(in))
	var got []string
	for _, p := range ps {
		got = append(got, fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column))
	}
	assert.DeepEqual(t, got, []string{"cell.jsonc:2:16", "cell.jsonc:3:29", "cell.jsonc:6:27", "cell.jsonc:6:60", "cell.jsonc:7:41"})
}

// The examples must be valid, so that operators can publish them.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"kembang-udara", "kerlann"} {
		data, err := os.ReadFile(filepath.Join("../../examples", name+".jsonc"))
		assert.NilError(t, err)
		cfg, ps := Parse(name, data)
		assert.NilError(t, ps.Err())
		assert.Equal(t, cfg.Cell, name)
	}
}

// Diff must report all differences, and none between equal texts.
func TestDiff(t *testing.T) {
	before, ps := Parse("f", []byte(valid))
	assert.NilError(t, ps.Err())
	in := strings.NewReplacer(`"new_percent": 10`, `"new_percent": 25`, `"milli_cpu": 1000, `, ``, `"name": "l"`, `"name": "m"`).Replace(valid)
	after, ps := Parse("f", []byte(in))
	assert.NilError(t, ps.Err())
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"service l: removed",
		"service m: added",
		"service s: share on the new system moves from 10% to 25%",
		"team t: quota.milli_cpu changes from 1000 to 0",
	})
	assert.Equal(t, len(Diff(before, before)), 0)
	assert.Equal(t, len(Diff(nil, before)), 6)
}

// On random graphs, a text must be valid exactly if the dependencies have no cycle
// and no service has a larger share on the new system than a dependency.
func TestDependencyRulesOnRandomGraphs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "services")
		shares := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "shares")
		edges := make([][]bool, n)
		var services []string
		shareExceeds := false
		for i := range n {
			edges[i] = rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "edges")
			var names []string
			for j, on := range edges[i] {
				// Back edges are rare, so that graphs without a cycle are common.
				if edges[i][j] = on && (j < i || rapid.IntRange(0, 9).Draw(t, "back") == 0); edges[i][j] {
					names = append(names, fmt.Sprintf("%q", fmt.Sprint("s", j)))
					shareExceeds = shareExceeds || shares[i] > shares[j]
				}
			}
			services = append(services, fmt.Sprintf(`{"name": "s%d", "team": "t", "class": "batch", "run_ms": 1, "new_percent": %d,
				"size": {"milli_cpu": 1, "mem_mb": 1}, "depends_on": [%s]}`, i, shares[i], strings.Join(names, ",")))
		}
		_, ps := Parse("f", []byte(valid[:strings.Index(valid, `"services"`)]+`"services": [`+strings.Join(services, ",")+`]}`))
		if want := !cyclic(edges) && !shareExceeds; (len(ps) == 0) != want {
			t.Fatalf("valid should be %v: %v", want, ps)
		}
	})
}

// cyclic reports whether a graph has a cycle. It computes the transitive closure,
// an algorithm that differs from that of the code under test.
func cyclic(edges [][]bool) bool {
	for k := range edges {
		for i := range edges {
			for j := range edges {
				edges[i][j] = edges[i][j] || edges[i][k] && edges[k][j]
			}
		}
	}
	for i := range edges {
		if edges[i][i] {
			return true
		}
	}
	return false
}

// Parse must not panic, problems must be at positions inside the text, and the
// canonical form must be valid and stable.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, ps := Parse("f", data)
		assert.Equal(t, cfg == nil, len(ps) > 0)
		lines := strings.Count(string(data), "\n") + 1
		for _, p := range ps {
			assert.Assert(t, p.Line >= 1 && p.Line <= lines && p.Column >= 1 && p.Column <= len(data)+1, "%s", p)
		}
		if cfg == nil {
			return
		}
		first, err := Canonical(cfg)
		assert.NilError(t, err)
		again, ps := Parse("f", first)
		assert.NilError(t, ps.Err())
		second, err := Canonical(again)
		assert.NilError(t, err)
		assert.Equal(t, string(first), string(second))
	})
}
