package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// Command returns the loadgen command.
func Command() *cobra.Command {
	var o Options
	var mix, jsonFile string
	cmd := &cobra.Command{
		Use:   "loadgen",
		Short: "Send requests to a running cell and measure how long they take",
		Long: "Loadgen sends requests at a fixed mean rate, whether earlier ones have finished\n" +
			"or not, and follows each until its fate is final. Times start at the planned arrival.",
		Example:       "  loadgen --server http://127.0.0.1:7180 --rate 200 --duration 30s --seed 7",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if o.Mix, err = parseMix(mix); err != nil {
				return err
			}
			if o.KeyPrefix == "" {
				o.KeyPrefix = fmt.Sprintf("load-%d-%d-", o.Seed, time.Now().Unix())
			}
			res, err := Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			return errors.Join(res.Print(cmd.OutOrStdout()), writeJSON(jsonFile, res), res.failure())
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&o.Servers, "server", nil, "base URL of a daemon; repeat it to spread the load")
	f.Float64Var(&o.Rate, "rate", 100, "mean number of arrivals per second")
	f.IntVar(&o.Count, "count", 0, "largest number of requests; 0 means no limit other than the duration")
	f.DurationVar(&o.Duration, "duration", 30*time.Second, "time during which requests arrive")
	f.IntVar(&o.Connections, "connections", 500, "largest number of requests in progress")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, services and keys")
	f.StringVar(&mix, "mix", "", "weights of services, such as fill-plan=3,daily-report=1; default is equal weights")
	f.StringVar(&o.KeyPrefix, "key-prefix", "", "prefix of the keys; default is one unique to the run")
	f.Int64Var(&o.RunMS, "run-ms", 0, "run time of each task in milliseconds; default is that of the service")
	f.DurationVar(&o.FateTimeout, "fate-timeout", time.Minute, "time for each request to reach its final fate")
	f.StringVar(&jsonFile, "json", "", "file for the result as JSON; - is standard output")
	return cmd
}

// parseMix parses a flag of the form service=weight,...; an empty one gives nil.
func parseMix(s string) ([]ServiceWeight, error) {
	if s == "" {
		return nil, nil
	}
	var out []ServiceWeight
	for part := range strings.SplitSeq(s, ",") {
		name, weight, found := strings.Cut(part, "=")
		n, err := strconv.Atoi(weight)
		if !found || err != nil || n < 0 {
			return nil, fmt.Errorf("mix %q is not of the form service=weight", part)
		}
		out = append(out, ServiceWeight{name, n})
	}
	return out, nil
}

// writeJSON writes the result to a file, or to standard output for the name "-". An empty
// name writes nothing.
func writeJSON(name string, res Result) error {
	if name == "" {
		return nil
	}
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if name == "-" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(name, data, 0o644)
}

// failure returns an error if the result contains wrong answers, which a correct cell
// never gives.
func (r Result) failure() error {
	if r.WrongAnswers > 0 {
		return fmt.Errorf("%d answers did not match their request", r.WrongAnswers)
	}
	return nil
}
