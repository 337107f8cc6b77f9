// Package commander holds the commands of samphire-standin.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"samphiremux/standin/demonstrator"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type demoCommand struct {
	Entries int           `arg:"--entries" default:"4" help:"entries per deployment"`
	Length  time.Duration `arg:"--length" default:"8s" help:"time of load per deployment"`
	Seed    uint64        `arg:"--seed" default:"1" help:"seed of all random choices"`
	Verbose bool          `arg:"-v,--verbose" help:"log what entries do"`
}

type arguments struct {
	Demo *demoCommand `arg:"subcommand:demo" help:"show the whole system in one process"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphire-standin stands in for the platform, backend servers and callers."
}

// Run runs the command in args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "samphire-standin"}, &a)
	if err != nil {
		return fail(errOut, err)
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitOK
	case err != nil:
		p.WriteUsage(errOut)
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	switch {
	case a.Demo != nil:
		return a.Demo.run(ctx, out, errOut)
	default:
		p.WriteHelp(errOut)
		return exitUsage
	}
}

func fail(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, "samphire-standin:", err)
	return exitFailed
}

func (c *demoCommand) run(ctx context.Context, out, errOut io.Writer) int {
	log := hclog.NewNullLogger()
	if c.Verbose {
		log = hclog.New(&hclog.LoggerOptions{Name: "demo", Output: errOut, Level: hclog.Info})
	}
	v, err := demonstrator.Run(ctx, demonstrator.Options{Entries: c.Entries, Length: c.Length, Seed: c.Seed, Log: log}, out)
	if err != nil {
		return fail(errOut, err)
	}
	if !v.Good() {
		_, _ = fmt.Fprintln(out, "FAILED: an answer was wrong, cut or doubled")
		return exitFailed
	}
	_, _ = fmt.Fprintln(out, "OK: no answer was wrong, cut or doubled")
	return exitOK
}
