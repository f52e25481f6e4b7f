package cli

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
)

// Limits of input files. The daemon's limit for payloads can be lower.
const (
	maxPayloadBytes  = 64 << 20  // 64 MiB
	maxRequestsBytes = 256 << 20 // 256 MiB, of a file of requests
)

// submitFlags are the flags of the submit command.
type submitFlags struct {
	file        string
	parallel    int
	wait        time.Duration
	req         api.SubmitRequest
	size        model.Size
	idempotent  bool
	startWithin time.Duration
	issuedAt    string
	runTime     time.Duration
	payload     string
	payloadFile string
}

func newSubmit(a *app) *cobra.Command {
	var f submitFlags
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit one request, or many from a file",
		Long: "Submit sends one request that the flags describe, or with --file one JSON request\n" +
			"per line. Submitting the same key again joins the earlier request.\n\n" +
			"The exit code is that of fate; with several requests it is the highest one.\n" +
			"With --wait, the exit code for a request that has not ended in time is 4.",
		Example: "  catkinvalve submit --key klang-a:slot-17 --service slot-confirmation --payload '{\"slot\":17}' --wait 5s\n" +
			"  catkinvalve submit --file requests.jsonl --parallel 16 -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.submit(cmd, &f)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.file, "file", "", "file with one JSON request per line")
	flags.IntVar(&f.parallel, "parallel", 8, "requests of a file in flight at once")
	flags.DurationVar(&f.wait, "wait", 0, "wait this long for the final fate")
	flags.StringVar(&f.req.Key, "key", "", "key of the request, such as klang-a:order-17")
	flags.StringVar(&f.req.Service, "service", "", "service of the request")
	flags.StringVar(&f.req.Team, "team", "", "team, if not the team of the service")
	flags.BoolVar(&f.idempotent, "idempotent", false, "override the service's setting")
	flags.DurationVar(&f.startWithin, "start-within", 0, "deadline for the start, from now")
	flags.StringVar(&f.issuedAt, "issued-at", "", "when the request was first issued, as 2026-12-04T10:00:00Z; never a later time for a repeated key")
	flags.IntVar(&f.req.Tasks, "tasks", 0, "number of tasks of an all-at-once request")
	flags.Int64Var(&f.size.MilliCPU, "milli-cpu", 0, "processor time of a task in thousandths of a core")
	flags.Int64Var(&f.size.MemMB, "mem-mb", 0, "memory of a task in MiB")
	flags.Int64Var(&f.size.Accel, "accel", 0, "accelerators of a task")
	flags.Int64Var(&f.size.Slots, "slots", 1, "slots of a task")
	flags.Int64Var(&f.size.Conns, "conns", 0, "connections of a task")
	flags.DurationVar(&f.runTime, "run", 0, "expected run time")
	flags.StringVar(&f.payload, "payload", "", "payload for the worker")
	flags.StringVar(&f.payloadFile, "payload-file", "", "file with the payload")
	cmd.MarkFlagsMutuallyExclusive("file", "key")
	cmd.MarkFlagsMutuallyExclusive("payload", "payload-file")
	cmd.MarkFlagsOneRequired("file", "key")
	return cmd
}

func (a *app) submit(cmd *cobra.Command, f *submitFlags) error {
	if f.wait < 0 || f.startWithin < 0 || f.runTime < 0 || f.parallel < 1 {
		return usageError("durations must not be negative and --parallel must be at least 1")
	}
	if f.file != "" {
		return a.submitFile(cmd, f)
	}
	if err := f.fillRequest(cmd); err != nil {
		return err
	}
	status, err := callDaemon(cmd, func(ctx context.Context) (api.RequestStatus, error) { return a.client.Submit(ctx, f.req) })
	if err != nil {
		return err
	}
	if err := a.printStatuses(status, []api.RequestStatus{status}); err != nil {
		return err
	}
	return errorForExitCode(fateExitCode(status, f.wait > 0))
}

// fillRequest sets the fields of the request whose flags do not set them directly.
func (f *submitFlags) fillRequest(cmd *cobra.Command) error {
	if f.req.Key == "" || f.req.Service == "" {
		return usageError("--key and --service must not be empty")
	}
	if cmd.Flags().Changed("idempotent") {
		f.req.Idempotent = &f.idempotent
	}
	if f.startWithin > 0 {
		deadline := time.Now().Add(f.startWithin)
		f.req.Deadline = &deadline
	}
	if f.issuedAt != "" {
		issued, err := time.Parse(time.RFC3339, f.issuedAt)
		if err != nil {
			return usageError("--issued-at %q is not a time such as 2026-12-04T10:00:00Z", f.issuedAt)
		}
		f.req.IssuedAt = &issued
	}
	for _, name := range []string{"milli-cpu", "mem-mb", "accel", "slots", "conns"} {
		if cmd.Flags().Changed(name) {
			f.req.Size = &f.size
		}
	}
	if f.req.Size != nil && (f.size.MilliCPU < 1 || f.size.MemMB < 1 || f.size.Slots < 1) {
		return usageError("a size needs --milli-cpu, --mem-mb and --slots of at least 1")
	}
	f.req.RunMS, f.req.WaitMS = milliseconds(f.runTime), milliseconds(f.wait)
	f.req.Payload = []byte(f.payload)
	if f.payloadFile != "" {
		payload, err := readFile(f.payloadFile, maxPayloadBytes)
		if err == nil && len(payload) > maxPayloadBytes {
			err = usageError("payload is larger than %d bytes", maxPayloadBytes)
		}
		f.req.Payload = payload
		return err
	}
	return nil
}

// milliseconds converts a duration to milliseconds. It rounds up, so that a positive duration
// does not become 0.
func milliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// submitResult is the result of submitting one request of a file.
type submitResult struct {
	Key    string             `json:"key"`
	Status *api.RequestStatus `json:"status,omitempty"`
	Error  *fault.Error       `json:"error,omitempty"`
	code   int
}

// submitFile submits the requests of a file and prints one result for each, in the order of
// the file. It submits none if a request of the file is invalid.
func (a *app) submitFile(cmd *cobra.Command, f *submitFlags) error {
	data, err := readFile(f.file, maxRequestsBytes)
	if err != nil {
		return err
	}
	if len(data) > maxRequestsBytes {
		return fault.New(fault.Usage, "split the file", "%s is larger than %d bytes", f.file, maxRequestsBytes)
	}
	requests, problems := parseRequests(f.file, data)
	if len(problems) > 0 {
		return problems
	}
	results := make([]submitResult, len(requests))
	submitters := pool.New().WithMaxGoroutines(f.parallel)
	for i := range requests {
		submitters.Go(func() { results[i] = a.submitOne(cmd.Context(), requests[i], f.wait) })
	}
	submitters.Wait()
	return a.printResults(results)
}

// submitOne submits one request of a file. A positive wait replaces the wait_ms of the
// request.
func (a *app) submitOne(ctx context.Context, req api.SubmitRequest, wait time.Duration) submitResult {
	req.WaitMS = cmp.Or(milliseconds(wait), req.WaitMS)
	status, err := a.client.Submit(ctx, req)
	if err != nil {
		return submitResult{Key: req.Key, Error: fault.From(err), code: exitCode(daemonError{err})}
	}
	return submitResult{Key: req.Key, Status: &status, code: fateExitCode(status, req.WaitMS > 0)}
}

// printResults prints the results and returns an error with the highest exit code.
func (a *app) printResults(results []submitResult) error {
	t := &table{header: []string{"KEY", "FATE", "OK", "REASON", "ERROR"}}
	code := ExitOK
	for _, r := range results {
		code = max(code, r.code)
		if r.Error != nil {
			t.add(r.Key, "", "", "", r.Error)
			continue
		}
		t.add(r.Key, r.Status.Fate, fmt.Sprint(r.Status.OK), r.Status.Reason, "")
	}
	if err := a.print(results, t); err != nil {
		return err
	}
	return errorForExitCode(code)
}
