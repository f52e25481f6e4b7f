package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"catkinvalve/internal/jsonc"
	"catkinvalve/internal/settings"
)

// checkResult is the JSON output of the check command.
type checkResult struct {
	Valid    bool           `json:"valid"`
	Problems jsonc.Problems `json:"problems"`
}

func newCheck(a *app) *cobra.Command {
	var isSettings, isPlatform bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report all problems of a configuration; needs no server",
		Long: "Check prints each problem as file:line:column: problem; remedy. With --platform it\n" +
			"reports what is probably wrong with the tenants, as file: problem; remedy.\n" +
			"The exit code is 0 for a valid file and 2 otherwise.",
		Example:           "  catkinvalve check cell.jsonc\n  catkinvalve check --settings daemon.jsonc\n  catkinvalve check --platform config.json\n  catkinvalve check -o json cell.jsonc",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeConfigFile,
		RunE: func(_ *cobra.Command, args []string) error {
			if isPlatform {
				return a.checkPlatform(args[0])
			}
			return a.check(args[0], isSettings)
		},
	}
	cmd.Flags().BoolVar(&isSettings, "settings", false, "the file holds the settings of a daemon")
	cmd.Flags().BoolVar(&isPlatform, "platform", false, "the file holds a configuration of the users' platform (op/config)")
	cmd.MarkFlagsMutuallyExclusive("settings", "platform")
	return cmd
}

func (a *app) check(name string, isSettings bool) error {
	var err error
	if isSettings {
		err = checkSettings(name)
	} else {
		_, _, err = readConfig(name)
	}
	problems := jsonc.Problems{}
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if a.output == outputJSON {
		if err := a.print(checkResult{Valid: len(problems) == 0, Problems: problems}, nil); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintln(a.out, p)
		}
	}
	if len(problems) > 0 {
		return exitCodeError(ExitUsage)
	}
	return nil
}

func checkSettings(name string) error {
	data, err := readFile(name, jsonc.MaxBytes)
	if err != nil {
		return err
	}
	_, problems := settings.Parse(name, data)
	return problems.Err()
}
