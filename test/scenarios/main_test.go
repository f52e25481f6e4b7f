package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxParallel limits the scenarios that run at the same time. Each has about a dozen
// processes; with more scenarios they delay one another beyond the short lease TTL.
const maxParallel = 4

var (
	// programDir is the directory with the built programs.
	programDir string
	runSlots   = make(chan struct{}, maxParallel)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "catkinvalve-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "catkinvalve/cmd/catkinvalved", "catkinvalve/cmd/standin")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	programDir = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: commands()})
}

// setup waits until fewer than maxParallel scenarios run and creates the state of
// the script.
func setup(env *testscript.Env) error {
	runSlots <- struct{}{}
	env.Defer(func() { <-runSlots })
	sc := newScenario()
	env.Values[scenarioKey{}] = sc
	env.Defer(func() { sc.close(env.T()) })
	return nil
}
