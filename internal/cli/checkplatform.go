package cli

import (
	"fmt"

	"catkinvalve/internal/core/tenant"
	"catkinvalve/platform"
)

// maxPlatformConfigBytes limits the file of a platform's configuration.
const maxPlatformConfigBytes = 32 << 20

// platformCheckResult is the JSON output of check --platform.
type platformCheckResult struct {
	Valid    bool             `json:"valid"`
	Problems []tenant.Problem `json:"problems"`
}

// checkPlatform reports the problems of a configuration that is published on the users' platform.
func (a *app) checkPlatform(name string) error {
	data, err := readFile(name, maxPlatformConfigBytes)
	if err != nil {
		return err
	}
	problems, err := platform.CheckConfig(data)
	if err != nil {
		return usageError("%s: %v", name, err)
	}
	if err := a.printTenantProblems(name, problems); err != nil {
		return err
	}
	if len(problems) > 0 {
		return exitCodeError(ExitUsage)
	}
	return nil
}

func (a *app) printTenantProblems(name string, problems []tenant.Problem) error {
	if a.output == outputJSON {
		return a.print(platformCheckResult{len(problems) == 0, append([]tenant.Problem{}, problems...)}, nil)
	}
	for _, p := range problems {
		fmt.Fprintf(a.out, "%s: %s\n", name, p)
	}
	return nil
}
