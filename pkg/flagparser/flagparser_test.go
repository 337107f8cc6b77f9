package flagparser_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"samphiremux/pkg/flagparser"
)

type arguments struct {
	Name string `arg:"--name"`
}

func (arguments) Version() string { return "p, revision 1" }

// TestParse checks the exit code and which stream gets the output, so that help goes to
// standard output and usage errors go to standard error.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		code int
		done bool
		out  string
		err  string
	}{
		{"valid", []string{"--name", "n"}, flagparser.ExitOK, false, "", ""},
		{"version", []string{"--version"}, flagparser.ExitOK, true, "p, revision 1\n", ""},
		{"unknown flag", []string{"--other"}, flagparser.ExitUsage, true, "", "Usage: p [--name NAME]\nunknown argument --other\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var a arguments
			var out, errOut bytes.Buffer
			_, code, done := flagparser.Parse(flagparser.CommandLine{Program: "p", Args: c.args, Out: &out, Err: &errOut}, &a)
			is.Equal(code, c.code)
			is.Equal(done, c.done)
			is.Equal(out.String(), c.out)
			is.Equal(errOut.String(), c.err)
		})
	}
}
