package cli

import (
	"github.com/spf13/cobra"
)

func newHistory(a *app) *cobra.Command {
	return &cobra.Command{
		Use:               "history",
		Short:             "List publications, newest first, with their verdicts",
		Example:           "  catkinvalve history\n  catkinvalve history -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, _ []string) error {
			history, err := callDaemon(cmd, a.client.History)
			if err != nil {
				return err
			}
			t := &table{header: []string{"TIME", "REVISION", "VERDICT", "AUTHOR", "PUBLISH ID"}}
			for _, e := range history.Entries {
				verdict := "accepted"
				if !e.Accepted {
					verdict = "lost"
				}
				t.add(formatTime(e.Time), e.Revision, verdict, e.Author, e.PublishID)
			}
			return a.print(history, t)
		},
	}
}
