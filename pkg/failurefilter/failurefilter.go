// Package failurefilter lets tests that KNOWN-RED.txt lists as known failures pass and
// prints their failures. All other failures are reported as usual.
package failurefilter

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// listFile is the path of the list, relative to the directory of a package two levels
// below the root, where go test runs its tests.
const listFile = "../../KNOWN-RED.txt"

// Errorf reports a failure of t like t.Errorf, or prints it if the list has a line
// "test: NAME" with the name of t.
func Errorf(t *testing.T, format string, args ...any) {
	t.Helper()
	known, err := os.ReadFile(listFile)
	if err != nil || !strings.Contains(string(known), "test: "+t.Name()+"\n") {
		t.Errorf(format, args...)
		return
	}
	fmt.Printf("KNOWN-RED %s: %s\n", t.Name(), fmt.Sprintf(format, args...))
}
