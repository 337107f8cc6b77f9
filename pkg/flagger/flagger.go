// Package flagger parses the command line of a program, and answers what every
// program answers in the same way: help, version and wrong usage.
package flagger

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes that all programs share.
const (
	OK     = 0
	Failed = 1
	Usage  = 2
)

// Line is the command line of a program.
type Line struct {
	Program string
	Args    []string
	// Out receives help and version, Err the usage after an error.
	Out, Err io.Writer
}

// Parse reads the arguments into dest. It reports true if the program ends with
// the exit code.
func Parse(l Line, dest arg.Versioned) (p *arg.Parser, code int, ends bool) {
	p, err := arg.NewParser(arg.Config{Program: l.Program}, dest)
	if err != nil {
		_, _ = fmt.Fprintln(l.Err, err)
		return nil, Failed, true
	}
	switch err := p.Parse(l.Args); {
	case err == nil:
		return p, OK, false
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(l.Out)
		return p, OK, true
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(l.Out, dest.Version())
		return p, OK, true
	default:
		return p, Refuse(p, l.Err, err), true
	}
}

// Refuse says what is wrong with arguments, and returns the exit code.
func Refuse(p *arg.Parser, to io.Writer, err error) int {
	p.WriteUsage(to)
	_, _ = fmt.Fprintln(to, err)
	return Usage
}
