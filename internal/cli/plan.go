package cli

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"catkinvalve/internal/core/jobs"
)

const (
	// maxJobBytes limits the file of a job. The daemon's limit for bodies can be lower.
	maxJobBytes = 64 << 20
	// maxKeyBytes limits the file of an API key.
	maxKeyBytes = 64 << 10
	// maxTableWorkers limits the workers in one row of the table; JSON has up to 100.
	maxTableWorkers = 6
)

// planFlags are the flags of the plan command.
type planFlags struct {
	address string
	host    string
	path    string
	keyFile string
}

func newPlan(a *app) *cobra.Command {
	var f planFlags
	cmd := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what would happen to a job now, without submitting it",
		Long: "Plan asks the leader whether a job would be accepted, where its tasks would start now\n" +
			"and what the other workers lack. FILE holds the body of the submission. The key is read\n" +
			"from a file, because command lines are visible to other users.\n\n" +
			"The exit code is 0 if the job would be accepted or is known, 3 if it would be refused,\n" +
			"and 4 if the leader cannot answer now.",
		Example: "  catkinvalve plan job.json --address 10.1.0.1:9464 --host build.example --path /build/00000000000000ff --key-file key.txt",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return a.plan(cmd, args[0], &f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.address, "address", "", addressFlagHelp)
	flags.StringVar(&f.host, "host", "", "host name of the route")
	flags.StringVar(&f.path, "path", "", "path of the submission: prefix of the route and job ID of 16 hexadecimal digits")
	flags.StringVar(&f.keyFile, "key-file", "", "file with the API key of the tenant; not needed on anonymous routes")
	for _, name := range []string{"address", "host", "path"} {
		cobra.CheckErr(cmd.MarkFlagRequired(name))
	}
	return cmd
}

func (a *app) plan(cmd *cobra.Command, name string, f *planFlags) error {
	body, err := readFile(name, maxJobBytes)
	if err != nil {
		return err
	}
	header := http.Header{}
	if f.keyFile != "" {
		key, err := readFile(f.keyFile, maxKeyBytes)
		if err != nil {
			return err
		}
		header.Set("Api-Key", strings.TrimSpace(string(key)))
	}
	path := "/plan?" + url.Values{"host": {f.host}, "path": {f.path}}.Encode()
	var plan jobs.Plan
	req := operatorRequest{method: http.MethodPost, address: f.address, path: path, header: header, body: bytes.NewReader(body)}
	if err := operatorCall(cmd.Context(), req, &plan); err != nil {
		return err
	}
	if err := a.printPlan(&plan); err != nil {
		return err
	}
	return errorForExitCode(planExitCode(&plan))
}

func planExitCode(p *jobs.Plan) int {
	switch p.Verdict {
	case jobs.PlanAccepted, jobs.PlanKnown:
		return ExitOK
	case jobs.PlanUnavailable:
		return ExitTempFailure
	}
	return ExitRefused
}

func (a *app) printPlan(p *jobs.Plan) error {
	if a.output == outputJSON {
		return a.print(p, nil)
	}
	tables := []*table{planTable(p)}
	if p.Tenant != nil {
		tables = append(tables, planTenantTable(p.Tenant))
	}
	if len(p.Steps) > 0 {
		tables = append(tables, planStepTable(p.Steps))
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(a.out)
		}
		if err := t.print(a.out); err != nil {
			return err
		}
	}
	return nil
}

func planTable(p *jobs.Plan) *table {
	t := &table{header: []string{"JOB", "QUEUE", "VERDICT", "REASON", "RETRY AFTER", "EXCESS", "OBJECTIVE"}}
	retryAfter, objective := "", ""
	if p.RetryAfterMS > 0 {
		retryAfter = millisecondsText(p.RetryAfterMS)
	}
	if len(p.Steps) > 0 {
		objective = millisecondsText(p.ObjectiveMS)
	}
	t.add(p.Job, p.Queue, p.Verdict, p.Reason, retryAfter, yesNo(p.Excess), objective)
	return t
}

func planTenantTable(s *jobs.PlanTenant) *table {
	t := &table{header: []string{"TENANT", "WEIGHT", "MILLI CPU", "MEM MB", "ACCEL", "UNPROVEN", "SHARE", "FAIR SHARE"}}
	t.add(s.Name, s.Weight, limitRatio(s.Running.MilliCPU, s.Limit.MilliCPU), limitRatio(s.Running.MemMB, s.Limit.MemMB),
		limitRatio(s.Running.Accel, s.Limit.Accel), sizeText(s.Unproven), percent(s.Share), percent(s.FairShare))
	return t
}

func planStepTable(steps []jobs.PlanStep) *table {
	t := &table{header: []string{"STEP", "TASKS", "GANG", "AFTER", "EARLIEST", "LATEST", "RUN", "START NOW", "OTHERS WAIT FOR", "ROOM IN", "WORKERS", "OTHER WORKERS LACK"}}
	for i := range steps {
		s := &steps[i]
		run, room := "", ""
		if s.RunMS > 0 {
			run = millisecondsText(s.RunMS)
		}
		if s.RoomMS > 0 {
			room = millisecondsText(s.RoomMS)
		}
		t.add(s.Step, s.Tasks, yesNo(s.Gang), strings.Trim(fmt.Sprint(s.After), "[]"), millisecondsText(s.EarliestStartMS), millisecondsText(s.LatestStartMS),
			run, s.Starting, s.Wait, room, planWorkersText(s.Workers), formatCounts(s.Lacking))
	}
	return t
}

// millisecondsText returns a duration in a short form.
func millisecondsText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// planWorkersText lists workers with the number of their tasks, as far as there is room in a table.
func planWorkersText(workers []jobs.PlanWorker) string {
	var parts []string
	for _, w := range workers[:min(len(workers), maxTableWorkers)] {
		parts = append(parts, fmt.Sprintf("%s=%d", w.Worker, w.Tasks))
	}
	if more := len(workers) - maxTableWorkers; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return cmp.Or(strings.Join(parts, " "), "-")
}
