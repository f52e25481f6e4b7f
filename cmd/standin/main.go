// Command standin runs test stand-ins for the platform's services.
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
