package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
)

func newFate(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "fate KEY",
		Short: "Show the state of a request",
		Long: "Fate exits with 0 for done with success, queued and running, with 1 for a\n" +
			"request that ran without success or was cancelled, with 3 for not_run and\n" +
			"with 4 when the fate is not known.",
		Example:           "  catkinvalve fate klang-a:order-17\n  catkinvalve fate -o json klang-a:order-17",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := callDaemon(cmd, func(ctx context.Context) (api.RequestStatus, error) { return a.client.Fate(ctx, args[0]) })
			if err != nil {
				return err
			}
			if err := a.printStatuses(status, []api.RequestStatus{status}); err != nil {
				return err
			}
			return errorForExitCode(fateExitCode(status, false))
		},
	}
}

// fateExitCode returns the exit code for a request's state. If the command waited for the
// final fate, a request that is still queued or running is a temporary failure.
func fateExitCode(s api.RequestStatus, waited bool) int {
	switch {
	case s.Fate == model.NotRun:
		return ExitRefused
	case s.Fate == model.Unknown:
		return ExitTempFailure
	case s.Fate == model.Cancelled, s.Fate == model.Done && !s.OK:
		return ExitFailed
	case !s.Fate.Terminal() && waited:
		return ExitTempFailure
	}
	return ExitOK
}

// errorForExitCode returns the error that ends the command with code, or nil for ExitOK.
func errorForExitCode(code int) error {
	if code == ExitOK {
		return nil
	}
	return exitCodeError(code)
}

// printStatuses prints v as JSON, or a table with a row per request, depending on --output.
func (a *app) printStatuses(v any, statuses []api.RequestStatus) error {
	t := &table{header: []string{"KEY", "SERVICE", "FATE", "OK", "REASON", "SIDE", "HOME", "TASKS", "ANSWER BYTES"}}
	for _, s := range statuses {
		ok := ""
		if s.Fate == model.Done {
			ok = yesNo(s.OK)
		}
		t.add(s.Key, s.Service, s.Fate, ok, s.Reason, s.Side, s.Home, len(s.Tasks), len(s.Answer))
	}
	return a.print(v, t)
}

// formatCounts returns counts as text, sorted by reason.
func formatCounts(counts model.Counts) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, counts[reason]))
	}
	return strings.Join(parts, " ")
}
