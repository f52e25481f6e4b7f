package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/jsonc"
	"catkinvalve/internal/text"
)

// readFile reads at most limit+1 bytes of a file. The additional byte lets the caller detect
// a file that is too large.
func readFile(name string, limit int64) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.Usage, "give the name of a readable file", "cannot open the file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Usage, "give the name of a readable file", "cannot read %s", name)
	}
	return data, nil
}

// readConfig reads and validates a configuration file. It returns the file's content and the
// parsed configuration.
func readConfig(name string) ([]byte, *text.Config, error) {
	data, err := readFile(name, jsonc.MaxBytes)
	if err != nil {
		return nil, nil, err
	}
	cfg, problems := text.Parse(name, data)
	return data, cfg, problems.Err()
}

// completeConfigFile completes the name of a configuration file.
func completeConfigFile(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"jsonc", "json", "hujson"}, cobra.ShellCompDirectiveFilterFileExt
}
