package versioner

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// TestDescribe checks builds without and with version control, and with uncommitted changes.
func TestDescribe(t *testing.T) {
	is := is.New(t)
	is.Equal(describe("p", &debug.BuildInfo{GoVersion: "go1"}), "p, revision unknown, go1")
	is.Equal(describe("p", &debug.BuildInfo{GoVersion: "go1", Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.time", Value: "2026-01-02"}, {Key: "vcs.modified", Value: "true"},
	}}), "p, revision abc of 2026-01-02 with changes, go1")
}
