// Samphire-entry is the load balancer process on each entry VM. It answers callers'
// queries for the entries that serve a service, forwards requests to backend
// servers, and shares the control tasks with the other entries.
package main

import (
	"os"

	"samphiremux/entry/commander"
)

func main() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) }
