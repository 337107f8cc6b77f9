// Samphire-entry is the process on each entry VM: it answers callers which
// entries to use, forwards requests, and shares the control duties with the other
// entries.
package main

import (
	"os"

	"samphiremux/entry/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
