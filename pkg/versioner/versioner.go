// Package versioner tells what a program was built from.
package versioner

import (
	"fmt"
	"runtime/debug"
)

// BuildString returns the program's name, the revision of its sources, and the version of
// Go. A build outside a checkout has no revision.
func BuildString(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + ", built without module information"
	}
	return describe(program, info)
}

func describe(program string, info *debug.BuildInfo) string {
	revision, at, changed := "unknown", "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.time":
			at = " of " + s.Value
		case "vcs.modified":
			if s.Value == "true" {
				changed = " with changes"
			}
		}
	}
	return fmt.Sprintf("%s, revision %s%s%s, %s", program, revision, at, changed, info.GoVersion)
}
