package commander

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// run runs a command line and returns the exit code and both outputs.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

// TestExitCodes checks the exit codes, and that results and errors go to separate
// outputs.
func TestExitCodes(t *testing.T) {
	t.Setenv("SAMPHIRE_STORE", "")
	for _, c := range []struct {
		name string
		args []string
		code int
	}{
		{"help", []string{"--help"}, ExitOK},
		{"version", []string{"--version"}, ExitOK},
		{"no command", nil, ExitUsage},
		{"no such flag", []string{"--nothing"}, ExitUsage},
		{"no such output", []string{"--output", "xml", "completion", "bash"}, ExitUsage},
		{"no store", []string{"history", "production"}, ExitUsage},
		{"no such file", []string{"check", "none.yaml"}, ExitUnreadable},
		{"completion", []string{"completion", "bash"}, ExitOK},
		{"no such shell", []string{"completion", "sh"}, ExitFailed},
		{"unreachable entry is shown", []string{"fleet", "127.0.0.1:1"}, ExitOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := run(c.args...)
			is.Equal(code, c.code)
			is.Equal(out != "", c.code == ExitOK)    // only results go to standard output
			is.Equal(errOut != "", c.code != ExitOK) // only errors go to standard error
		})
	}
}

// TestCompletionNamesCommandsAndFlags fails when the completion misses commands,
// their flags or the flags that the parser adds.
func TestCompletionNamesCommandsAndFlags(t *testing.T) {
	is := is.New(t)
	_, out, _ := run("completion", "bash")
	for _, word := range []string{"apply", "fleet", "explain", "--store", "--interval", "--version"} {
		is.True(strings.Contains(out, word))
	}
}

// TestFleetAsJSON checks that an unreachable entry appears in the JSON output with
// its problem.
func TestFleetAsJSON(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("--output", "json", "fleet", "127.0.0.1:1")
	is.Equal(code, ExitOK)
	var st fleetStatus
	is.NoErr(json.Unmarshal([]byte(out), &st))
	is.Equal(len(st.Entries), 1)
	is.True(st.Entries[0].Problem != "")
}
