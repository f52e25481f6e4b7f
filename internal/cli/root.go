// Package cli implements the command-line tool catkinvalve. Each command has its own file.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that a request ran without success or was cancelled, or that the
	// tool has a defect.
	ExitFailed = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitRefused means that the daemon refused the call or that a request was not run.
	ExitRefused = 3
	// ExitTempFailure means that no server responded, that a part of the system is
	// unavailable, or that a fate is not known yet. The command can safely be repeated
	// later.
	ExitTempFailure = 4
)

// DefaultServer is the server when neither --server nor the environment variable is set.
const DefaultServer = "http://127.0.0.1:7180"

// ServerEnvVar is the environment variable with the default of --server.
const ServerEnvVar = "CATKINVALVE_SERVER"

// exitCodeError ends a command that has printed its result with an exit code. The error
// itself is not printed.
type exitCodeError int

func (e exitCodeError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// daemonError wraps an error that came from a daemon, so that exitCode distinguishes it from
// errors in the command line or an input file.
type daemonError struct{ error }

func (e daemonError) Unwrap() error { return e.error }

// app is the state that the commands share.
type app struct {
	servers []string
	output  string
	out     io.Writer
	client  *api.Client
}

// Execute runs a command and returns the exit code. Panics are printed without a stack.
func Execute(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if p := recover(); p != nil {
			printPanic(errOut, p)
			code = ExitFailed
		}
	}()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	printError(errOut, err)
	return exitCode(err)
}

// printPanic prints the value of a panic. For a panic that the goroutine pool propagated it
// prints the original value, because the text of the propagated one contains a stack
// trace, which does not help operators.
func printPanic(w io.Writer, p any) {
	if r, ok := p.(*panics.Recovered); ok {
		p = r.Value
	}
	fmt.Fprintf(w, "internal: %v; report this as a defect with the command line\n", p)
}

func newRoot() *cobra.Command {
	a := &app{}
	root := &cobra.Command{
		Use:           "catkinvalve",
		Short:         "Operate the catkinvalve cluster scheduler",
		SilenceErrors: true,
		SilenceUsage:  true,
		Example:       "  catkinvalve check cell.jsonc\n  catkinvalve --server http://10.1.0.1:7180,http://10.1.0.2:7180 status",
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return a.prepare(cmd)
		},
	}
	root.PersistentFlags().StringSliceVar(&a.servers, "server", defaultServers(),
		"server URLs, repeatable or separated by commas; default from $"+ServerEnvVar)
	root.PersistentFlags().StringVarP(&a.output, "output", "o", outputTable, "output format: table or json")
	cobra.CheckErr(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)))
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error { return usageError("%v", err) })
	for _, command := range []func(*app) *cobra.Command{
		newCheck, newDiff, newPublish, newHistory, newStatus, newSubmit, newFate, newCancel, newExplain, newDrain, newTrace, newTenants, newPlan, newVersion,
	} {
		root.AddCommand(command(a))
	}
	return root
}

func defaultServers() []string {
	if v := os.Getenv(ServerEnvVar); v != "" {
		return strings.Split(v, ",")
	}
	return []string{DefaultServer}
}

// prepare checks the global flags and creates the client.
func (a *app) prepare(cmd *cobra.Command) error {
	if a.output != outputTable && a.output != outputJSON {
		return usageError("unknown output format %q", a.output)
	}
	a.out = cmd.OutOrStdout()
	client, err := api.NewClient(a.servers)
	a.client = client
	return err
}

// usageError returns an error of kind usage.
func usageError(format string, args ...any) error {
	return fault.New(fault.Usage, "see --help", format, args...)
}

// printError prints err in one line, or in one line per problem of an input file.
func printError(w io.Writer, err error) {
	if _, ok := err.(exitCodeError); ok || err == nil {
		return
	}
	fmt.Fprintln(w, strings.TrimRight(err.Error(), "\n"))
}

// temporaryKinds are the error kinds after which the same command may succeed later.
var temporaryKinds = map[fault.Kind]bool{
	api.Unreachable: true, fault.FateUnknownYet: true, fault.FateInDoubt: true, fault.HomeUnreachable: true,
	fault.NoOwner: true, fault.NotReady: true, fault.Draining: true, fault.LogUnavailable: true,
	fault.ListUnavailable: true, fault.WorkerUnavailable: true, fault.OldSystemUnavailable: true,
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var code exitCodeError
	var daemonErr daemonError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &code):
		return int(code)
	case temporaryKinds[fault.KindOf(err)]:
		return ExitTempFailure
	case errors.As(err, &daemonErr):
		return ExitRefused
	}
	// All other errors concern the command line or an input file.
	return ExitUsage
}

// callDaemon calls f with the context of the command. It returns the error of f as a
// daemonError.
func callDaemon[T any](cmd *cobra.Command, f func(ctx context.Context) (T, error)) (T, error) {
	v, err := f(cmd.Context())
	if err != nil {
		err = daemonError{err}
	}
	return v, err
}

// sleep returns after d, or as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
