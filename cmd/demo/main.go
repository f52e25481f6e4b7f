// Command demo starts a small cell on the loopback interface and shows what happens to
// requests while a daemon is killed.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"catkinvalve/internal/demo"
)

func main() {
	self, err := os.Executable()
	if err == nil {
		err = demo.Run(filepath.Dir(self), os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
