package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
)

func newStatus(a *app) *cobra.Command {
	var workers bool
	cmd := &cobra.Command{
		Use:               "status",
		Short:             "Show data centres, daemons and queues",
		Example:           "  catkinvalve status\n  catkinvalve status --workers\n  catkinvalve status -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := callDaemon(cmd, a.client.Status)
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return a.print(status, nil)
			}
			return a.printStatus(status, workers)
		},
	}
	cmd.Flags().BoolVar(&workers, "workers", false, "also list the workers")
	return cmd
}

// printStatus prints the tables of a status. Empty tables are left out, except that of the
// data centres.
func (a *app) printStatus(s api.Status, workers bool) error {
	tables := []*table{dataCentreTable(s), daemonTable(s), queueTable(s)}
	if workers {
		tables = append(tables, workerTable(s))
	}
	for i, t := range tables {
		if len(t.rows) == 0 && i > 0 {
			continue
		}
		if i > 0 {
			fmt.Fprintln(a.out)
		}
		if err := t.print(a.out); err != nil {
			return err
		}
	}
	return nil
}

func dataCentreTable(s api.Status) *table {
	t := &table{header: []string{"DATA CENTRE", "REGION", "REACHABLE", "OWNER", "TERM", "IN DOUBT", "WORKERS", "RUNNING"}}
	for _, dc := range s.DataCentres {
		t.add(dc.DataCentre, dc.Region, yesNo(dc.Reachable), dc.Owner, dc.Term, yesNo(dc.InDoubt), len(dc.Workers), dc.Running)
	}
	return t
}

func daemonTable(s api.Status) *table {
	t := &table{header: []string{"DAEMON", "DATA CENTRE", "READY", "OWNER", "DRAINING", "REACHABLE", "REVISION"}}
	for _, dc := range s.DataCentres {
		for _, d := range dc.Daemons {
			t.add(d.ID, dc.DataCentre, yesNo(d.Ready), yesNo(d.Owner), yesNo(d.Draining), yesNo(d.Reachable), d.Revision)
		}
	}
	return t
}

func queueTable(s api.Status) *table {
	t := &table{header: []string{"DATA CENTRE", "TEAM", "CLASS", "WAITING", "REASONS"}}
	for _, dc := range s.DataCentres {
		for _, q := range dc.Queues {
			t.add(dc.DataCentre, q.Team, q.Class, q.Waiting, formatCounts(q.Reasons))
		}
	}
	return t
}

func workerTable(s api.Status) *table {
	t := &table{header: []string{"WORKER", "DATA CENTRE", "RACK", "STATE", "TASKS", "SLOTS", "MILLI CPU", "MEM MB"}}
	for _, dc := range s.DataCentres {
		for _, w := range dc.Workers {
			t.add(w.ID, dc.DataCentre, w.Rack, w.State, w.Tasks, ratio(w.Planned.Slots, w.Capacity.Slots),
				ratio(w.Planned.MilliCPU, w.Capacity.MilliCPU), ratio(w.Planned.MemMB, w.Capacity.MemMB))
		}
	}
	return t
}

func ratio(used, all int64) string { return fmt.Sprintf("%d/%d", used, all) }
