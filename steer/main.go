// Samphire-steer is the lightweight entry for the users' platform: it tells callers
// which entries to use, forwards their requests to backend servers, and keeps its
// state in sync with the other entries.
package main

import (
	"os"

	"samphiremux/steer/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout)) }
