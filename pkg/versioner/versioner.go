// Package versioner reports the sources and the Go version that a program was built
// from.
package versioner

import (
	"fmt"
	"runtime/debug"
)

// BuildString returns the name of the program, the revision of its sources and the
// version of Go. A build outside a checkout has revision "unknown".
func BuildString(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + ", built without module information"
	}
	return describe(program, info)
}

// describe formats the build information of a program.
func describe(program string, info *debug.BuildInfo) string {
	revision, committed, modified := "unknown", "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.time":
			committed = " of " + s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = " with changes"
			}
		}
	}
	return fmt.Sprintf("%s, revision %s%s%s, %s", program, revision, committed, modified, info.GoVersion)
}
