package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is a table that is printed with aligned columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cellText(fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

// cellText returns the text of a table cell. It replaces control characters, which names from
// servers and callers can contain and which would break the table or the terminal, by
// question marks, and an empty text by a dash.
func cellText(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
	if s == "" {
		return "-"
	}
	return s
}

// print prints v as JSON or the table t, depending on --output.
func (a *app) print(v any, t *table) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	return t.print(a.out)
}

func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// formatTime returns a time as text, and an empty string for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
