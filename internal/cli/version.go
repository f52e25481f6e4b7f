package cli

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionInfo is the JSON output of the version command.
type versionInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

func newVersion(a *app) *cobra.Command {
	return &cobra.Command{
		Use:               "version",
		Short:             "Show the version of this tool",
		Example:           "  catkinvalve version",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(*cobra.Command, []string) error {
			v := currentVersion()
			t := &table{header: []string{"VERSION", "COMMIT", "GO"}}
			t.add(v.Version, v.Commit, v.Go)
			return a.print(v, t)
		},
	}
}

func currentVersion() versionInfo {
	v := versionInfo{Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}
