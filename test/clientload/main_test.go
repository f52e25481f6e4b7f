package clientload

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDir is the directory with the built programs.
var programDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "catkinvalve-clientload-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "catkinvalve/cmd/catkinvalved", "catkinvalve/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	programDir = dir
	return m.Run()
}
