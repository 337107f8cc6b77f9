// Package flagparser parses the command line of a program. It handles help, version
// and usage errors in the same way for all programs.
package flagparser

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// CommandLine is the command line of a program.
type CommandLine struct {
	Program string
	Args    []string
	// Out receives the help and the version, Err errors and the usage.
	Out, Err io.Writer
}

// Parse parses the arguments into dest. Done reports that the program must exit with
// the code: after help, version or an error.
func Parse(l CommandLine, dest arg.Versioned) (p *arg.Parser, code int, done bool) {
	p, err := arg.NewParser(arg.Config{Program: l.Program}, dest)
	if err != nil {
		_, _ = fmt.Fprintln(l.Err, err)
		return nil, ExitFailed, true
	}
	switch err := p.Parse(l.Args); {
	case err == nil:
		return p, ExitOK, false
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(l.Out)
		return p, ExitOK, true
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(l.Out, dest.Version())
		return p, ExitOK, true
	default:
		return p, ReportUsageError(p, l.Err, err), true
	}
}

// ReportUsageError writes the usage and the error, and returns the exit code.
func ReportUsageError(p *arg.Parser, w io.Writer, err error) int {
	p.WriteUsage(w)
	_, _ = fmt.Fprintln(w, err)
	return ExitUsage
}
