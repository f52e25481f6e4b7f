package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

// diffResult is the JSON output of the diff command.
type diffResult struct {
	// Revision is the published revision with which the file was compared; 0 means that
	// it was compared with another file or that no configuration was published yet.
	Revision uint64        `json:"revision"`
	Changes  []text.Change `json:"changes"`
}

func newDiff(a *app) *cobra.Command {
	var against string
	cmd := &cobra.Command{
		Use:               "diff FILE",
		Short:             "Show the differences between a configuration and the published one",
		Example:           "  catkinvalve diff cell.jsonc\n  catkinvalve diff --against old.jsonc cell.jsonc",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeConfigFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.diff(cmd, args[0], against)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "compare with this file instead of the published configuration; needs no server")
	return cmd
}

func (a *app) diff(cmd *cobra.Command, name, against string) error {
	_, after, err := readConfig(name)
	if err != nil {
		return err
	}
	before, revision, err := a.baseConfig(cmd, against)
	if err != nil {
		return err
	}
	result := diffResult{Revision: revision, Changes: text.Diff(before, after)}
	if a.output == outputJSON {
		return a.print(result, nil)
	}
	for _, change := range result.Changes {
		fmt.Fprintln(a.out, change)
	}
	if len(result.Changes) == 0 {
		fmt.Fprintln(a.out, "no changes")
	}
	return nil
}

// baseConfig returns the configuration to compare with and its revision. It returns nil and 0
// when no configuration was published yet.
func (a *app) baseConfig(cmd *cobra.Command, against string) (*text.Config, uint64, error) {
	if against != "" {
		_, cfg, err := readConfig(against)
		return cfg, 0, err
	}
	doc, err := callDaemon(cmd, a.client.Config)
	if err != nil || doc.Revision == 0 {
		return nil, 0, err
	}
	cfg, problems := text.Parse(fmt.Sprintf("revision-%d", doc.Revision), []byte(doc.Text))
	if len(problems) > 0 {
		return nil, 0, daemonError{fault.Wrap(problems, fault.Malformed, "use the version of this tool that matches the daemons",
			"this tool cannot parse the published revision %d", doc.Revision)}
	}
	return cfg, doc.Revision, nil
}
