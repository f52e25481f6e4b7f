package cli

import (
	"context"

	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
)

func newCancel(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel KEY",
		Short: "Cancel a request",
		Long: "Cancel exits with 0 when the request was cancelled, did not run or is being\n" +
			"stopped, and with 3 when it had ended before.",
		Example:           "  catkinvalve cancel klang-a:order-17",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := callDaemon(cmd, func(ctx context.Context) (api.RequestStatus, error) { return a.client.Cancel(ctx, args[0]) })
			if err != nil {
				return err
			}
			if err := a.printStatuses(status, []api.RequestStatus{status}); err != nil {
				return err
			}
			return errorForExitCode(cancelExitCode(status.Fate))
		},
	}
}

// cancelExitCode returns the exit code for the fate that a cancellation reports: the
// request may have ended before, or its fate may be unknown.
func cancelExitCode(f model.Fate) int {
	switch f {
	case model.Done:
		return ExitRefused
	case model.Unknown:
		return ExitTempFailure
	}
	return ExitOK
}
