package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/joblog"
)

// traceTimeFormat is the format of times in a timeline.
const traceTimeFormat = "15:04:05.000"

func newTrace(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Show what happened to a job, from the daemons' logs",
		Long: "Trace reads the logs of any number of daemons (- for standard input) and prints one timeline of a job: every " +
			"decision about it with its reasons, and the changes of the leader, the store and its workers in between.",
		Example: "  catkinvalve trace 5c0e7a21d94b36f8 logs/*.jsonl",
		Args:    cobra.MinimumNArgs(2),
		RunE:    func(cmd *cobra.Command, args []string) error { return a.trace(cmd, args[0], args[1:]) },
	}
}

func (a *app) trace(cmd *cobra.Command, job string, files []string) error {
	var lines []joblog.Line
	for _, name := range files {
		fileLines, err := readLog(cmd.InOrStdin(), name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	t := joblog.NewTimeline(job, lines)
	if len(t.Rows) == 0 {
		return fault.New(fault.NotFound, "add the logs of all daemons, in particular of the leader", "no line about %s", job)
	}
	if a.output == outputJSON {
		return a.print(t, nil)
	}
	rows := &table{header: []string{"TIME", "DAEMON", "EVENT", "WHAT", "WORKER", "WHY"}}
	for i := range t.Rows {
		r := &t.Rows[i]
		rows.add(r.Time.Format(traceTimeFormat), r.Daemon, r.Event, r.Subject(), r.Worker, r.Details())
	}
	if err := a.print(nil, rows); err != nil {
		return err
	}
	if t.Outcome == nil {
		fmt.Fprintln(a.out, "\nThese logs contain no final event of the job.")
	} else {
		outcome := joblog.Row{Line: *t.Outcome, Count: 1}
		fmt.Fprintf(a.out, "\nSettled at %s by %s on %s: %s\n", outcome.Time.Format(traceTimeFormat), outcome.Event, outcome.Daemon, outcome.Details())
	}
	if t.Dropped > 0 {
		fmt.Fprintf(a.out, "%d lines of these kinds were dropped because the log buffer was full.\n", t.Dropped)
	}
	return nil
}

// readLog reads the log lines of the file with the given name, or of in if name is "-".
func readLog(in io.Reader, name string) (lines []joblog.Line, err error) {
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError("cannot read the log: %v", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	lines, err = joblog.Read(in)
	if err != nil {
		return nil, usageError("cannot read %s: %v", name, err)
	}
	return lines, nil
}
