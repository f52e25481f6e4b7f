// Command standin runs stand-ins of the platform's services for tests.
package main

import (
	"os"

	"catkinvalve/internal/standin"
)

func main() {
	if err := standin.NewCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
