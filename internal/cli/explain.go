package cli

import (
	"context"

	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
)

func newExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:               "explain KEY",
		Short:             "Explain why a request is waiting, is running or was refused",
		Example:           "  catkinvalve explain breizh-a:retrain-2026-12",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := callDaemon(cmd, func(ctx context.Context) (api.Explanation, error) { return a.client.Explain(ctx, args[0]) })
			if err != nil {
				return err
			}
			t := &table{header: []string{"KEY", "FATE", "SUMMARY", "COUNTS"}}
			t.add(e.Key, e.Fate, e.Summary, formatCounts(e.Counts))
			return a.print(e, t)
		},
	}
}
