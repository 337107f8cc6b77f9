// Package flagparser parses the command line of a program, and answers what every
// program answers in the same way: help, version and wrong usage.
package flagparser

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// CommandLine is the command line of a program.
type CommandLine struct {
	Program string
	Args    []string
	// Out receives help and version, Err the usage after an error.
	Out, Err io.Writer
}

// Parse reads the arguments into dest. It reports true if the program ends with
// the exit code.
func Parse(l CommandLine, dest arg.Versioned) (p *arg.Parser, code int, ends bool) {
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

// ReportUsageError says what is wrong with arguments, and returns the exit code.
func ReportUsageError(p *arg.Parser, to io.Writer, err error) int {
	p.WriteUsage(to)
	_, _ = fmt.Fprintln(to, err)
	return ExitUsage
}
