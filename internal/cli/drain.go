package cli

import (
	"context"

	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
)

func newDrain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:               "drain WORKER",
		Short:             "Assign no new tasks to a worker and move its tasks to other workers",
		Example:           "  catkinvalve drain klang-a-w17",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: a.completeWorker,
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := callDaemon(cmd, func(ctx context.Context) (api.DrainResult, error) { return a.client.Drain(ctx, args[0]) })
			if err != nil {
				return err
			}
			t := &table{header: []string{"WORKER", "RUNNING"}}
			t.add(result.Worker, result.Running)
			return a.print(result, t)
		},
	}
}

// completeWorker completes worker IDs from the status of the cell.
func (a *app) completeWorker(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 || a.prepare(cmd) != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ctx, cancel := context.WithTimeout(context.Background(), api.DialTimeout)
	defer cancel()
	status, err := a.client.Status(ctx)
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var names []string
	for _, dc := range status.DataCentres {
		for _, w := range dc.Workers {
			names = append(names, string(w.ID))
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}
