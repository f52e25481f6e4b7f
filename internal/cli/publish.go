package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
)

// publishRetryInterval is the delay between two attempts of a publication.
const publishRetryInterval = 500 * time.Millisecond

type publishFlags struct {
	base      uint64
	publishID string
	author    string
	timeout   time.Duration
}

func newPublish(a *app) *cobra.Command {
	var f publishFlags
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a configuration",
		Long: "Publish submits a configuration as the successor of a base revision. It is refused\n" +
			"when another revision was accepted after the base. Without --base the base is the\n" +
			"newest revision when the command starts. Use --base if you edited an earlier one,\n" +
			"and --base 0 for the first configuration of a cell.\n\n" +
			"When the response is lost or the log is unavailable, the command retries with the\n" +
			"same publish_id, so that the configuration is accepted at most once. After the\n" +
			"timeout it prints the publish_id, with which you can repeat the publication.",
		Example: "  catkinvalve publish cell.jsonc\n  catkinvalve publish --base 41 cell.jsonc\n" +
			"  catkinvalve publish --base 41 --publish-id 5XQ7ZJ... cell.jsonc",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeConfigFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.publish(cmd, args[0], f)
		},
	}
	cmd.Flags().Uint64Var(&f.base, "base", 0, "revision that the text was edited from")
	cmd.Flags().StringVar(&f.publishID, "publish-id", "", "repeat an earlier publication; needs its --base")
	cmd.Flags().StringVar(&f.author, "author", "", "author for the history; default is the user's name")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "how long to repeat while the outcome is not known")
	return cmd
}

func (a *app) publish(cmd *cobra.Command, name string, f publishFlags) error {
	baseGiven := cmd.Flags().Changed("base")
	if f.publishID != "" && !baseGiven {
		return usageError("--publish-id needs the --base of the earlier publication")
	}
	data, _, err := readConfig(name)
	if err != nil {
		return err
	}
	if !baseGiven {
		doc, err := callDaemon(cmd, a.client.Config)
		// On a failure the base is not known. It must not default to 0, which stands for
		// a cell without a configuration.
		if err != nil {
			return err
		}
		f.base = doc.Revision
	}
	req := api.PublishRequest{PublishID: f.publishID, Base: f.base, Text: string(data), Author: f.author}
	if req.PublishID == "" {
		req.PublishID = rand.Text()
	}
	if req.Author == "" {
		req.Author = userName()
	}
	result, err := a.publishUntilKnown(cmd.Context(), req, f.timeout)
	if err != nil {
		return daemonError{err}
	}
	return a.printVerdict(result, f.base)
}

// publishUntilKnown retries a publication until its verdict is known or the timeout has
// passed. After the timeout it returns an error that contains the publish ID.
func (a *app) publishUntilKnown(ctx context.Context, req api.PublishRequest, timeout time.Duration) (api.PublishResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	maybeAccepted := false // an earlier attempt may have been accepted
	for {
		result, err := a.client.Publish(ctx, req)
		if err == nil || verdictKnown(err, maybeAccepted) {
			return result, err
		}
		kind := fault.KindOf(err)
		maybeAccepted = maybeAccepted || kind == fault.FateUnknownYet || kind == fault.LogUnavailable
		sleep(ctx, publishRetryInterval)
		if ctx.Err() != nil {
			return result, fault.Wrap(err, fault.FateUnknownYet,
				fmt.Sprintf("repeat with --base %d --publish-id %s to learn the verdict", req.Base, req.PublishID),
				"the verdict on the publication is not known")
		}
	}
}

// verdictKnown reports whether err means that the publication was not accepted. If an earlier
// attempt may have been accepted, this is certain only after a publish conflict, which the
// order of publications in the log determines.
func verdictKnown(err error, maybeAccepted bool) bool {
	kind := fault.KindOf(err)
	return kind == fault.PublishConflict || !temporaryKinds[kind] && !maybeAccepted
}

// printVerdict prints the verdict on a publication. A refused one ends the command with
// ExitRefused.
func (a *app) printVerdict(r api.PublishResult, base uint64) error {
	t := &table{header: []string{"PUBLISH ID", "VERDICT"}}
	if r.Accepted {
		t.add(r.PublishID, fmt.Sprintf("accepted as revision %d", r.Revision))
	} else {
		t.add(r.PublishID, fmt.Sprintf("refused: based on revision %d, lost to revision %d; run diff, merge and publish again", base, r.Revision))
	}
	if err := a.print(r, t); err != nil {
		return err
	}
	if !r.Accepted {
		return exitCodeError(ExitRefused)
	}
	return nil
}

// userName returns the name of the current user, or an empty string if it is not known.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
