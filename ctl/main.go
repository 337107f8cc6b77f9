// Samphirectl is the operators' command: it checks, compares, applies and
// promotes environment documents, and shows what is in force.
package main

import (
	"os"

	"samphiremux/ctl/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
