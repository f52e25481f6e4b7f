package cli

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"catkinvalve/internal/core/jobs"
	"catkinvalve/internal/core/model"
)

func newTenants(a *app) *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "tenants",
		Short: "Show the limits, use, shares and refused jobs of all tenants",
		Long: "Tenants prints the state that the leader has of each tenant. Sizes are processors in\n" +
			"thousandths of a core, memory in MB and accelerators: used/limit, where a dash is no limit.\n" +
			"UNPROVEN is what may run besides on workers that have not answered the leader.",
		Example:           "  catkinvalve tenants --address 10.1.0.1:9464\n  catkinvalve tenants --address 10.1.0.1:9464 -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var tenants []jobs.TenantStatus
			if err := operatorCall(cmd.Context(), operatorRequest{method: http.MethodGet, address: address, path: "/tenants"}, &tenants); err != nil {
				return err
			}
			return a.print(tenants, tenantTable(tenants))
		},
	}
	cmd.Flags().StringVar(&address, "address", "", addressFlagHelp)
	cobra.CheckErr(cmd.MarkFlagRequired("address"))
	return cmd
}

func tenantTable(tenants []jobs.TenantStatus) *table {
	t := &table{header: []string{"TENANT", "WEIGHT", "MILLI CPU", "MEM MB", "ACCEL", "UNPROVEN", "WAITING", "FOR LIMIT", "SHARE", "FAIR SHARE", "JOBS", "REFUSED"}}
	for i := range tenants {
		s := &tenants[i]
		name := s.Name
		if !s.Configured {
			name += " (removed)"
		}
		t.add(name, s.Weight, limitRatio(s.Running.MilliCPU, s.Limit.MilliCPU), limitRatio(s.Running.MemMB, s.Limit.MemMB), limitRatio(s.Running.Accel, s.Limit.Accel),
			sizeText(s.Unproven), s.WaitingTasks, s.WaitingForLimit, percent(s.Share), percent(s.FairShare), s.UnfinishedJobs, formatCounts(refusedCounts(s)))
	}
	return t
}

// limitRatio returns the used part of a limit, in which 0 is no limit.
func limitRatio(used, limit int64) string {
	if limit == 0 {
		return fmt.Sprintf("%d/-", used)
	}
	return ratio(used, limit)
}

// sizeText returns a size as processors, memory and accelerators, and a dash for the zero size.
func sizeText(s model.Size) string {
	if s == (model.Size{}) {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", s.MilliCPU, s.MemMB, s.Accel)
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func refusedCounts(s *jobs.TenantStatus) model.Counts {
	counts := model.Counts{}
	for reason, n := range s.Refused {
		counts[reason] = int(n)
	}
	return counts
}
