// Command catkinvalved is the entry daemon of catkinvalve.
package main

import (
	"os"

	"catkinvalve/internal/daemon/command"
)

func main() { os.Exit(command.Main()) }
