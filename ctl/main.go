// Samphirectl is the operators' command-line tool. It validates, diffs, applies
// and promotes environment documents, and shows the state of entries, moves and
// failure domains.
package main

import (
	"os"

	"samphiremux/ctl/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
