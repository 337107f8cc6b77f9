// Samphire-standin emulates the platform, backend servers and callers.
package main

import (
	"os"

	"samphiremux/standin/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
