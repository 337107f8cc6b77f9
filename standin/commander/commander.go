// Package commander holds the commands of samphire-standin.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"samphiremux/pkg/flagparser"
	"samphiremux/pkg/versioner"
)

// Exit codes.
const (
	exitOK     = flagparser.ExitOK
	exitFailed = flagparser.ExitFailed
	exitUsage  = flagparser.ExitUsage
)

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"show the whole system in one process"`
	Platform *platformCommand `arg:"subcommand:platform" help:"stand in for the platform's store and list of VMs"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"stand in for one backend server"`
	Load     *loadCommand     `arg:"subcommand:load" help:"call services as callers do, and measure"`
	Overhead *overheadCommand `arg:"subcommand:overhead" help:"measure the latency that one entry adds"`
	InForce  *inForceCommand  `arg:"subcommand:in-force" help:"measure how soon applied documents are in force"`
	Capacity *capacityCommand `arg:"subcommand:capacity" help:"measure what control costs and add it up for the target size"`
	Sample   *sampleCommand   `arg:"subcommand:sample" help:"print the document of a deployment"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphire-standin stands in for the platform, backend servers and callers."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return versioner.BuildString("samphire-standin") }

// Run runs the command in args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var a arguments
	p, code, ends := flagparser.Parse(flagparser.CommandLine{Program: "samphire-standin", Args: args, Out: out, Err: errOut}, &a)
	if ends {
		return code
	}
	switch {
	case a.Demo != nil:
		return a.Demo.run(ctx, out, errOut)
	case a.Platform != nil:
		return a.Platform.run(ctx, out, errOut)
	case a.Backend != nil:
		return a.Backend.run(ctx, out, errOut)
	case a.Load != nil:
		return a.Load.run(ctx, out, errOut)
	case a.Overhead != nil:
		return a.Overhead.run(ctx, out, errOut)
	case a.InForce != nil:
		return a.InForce.run(ctx, out, errOut)
	case a.Capacity != nil:
		return a.Capacity.run(out, errOut)
	case a.Sample != nil:
		return a.Sample.run(out, errOut)
	default:
		p.WriteHelp(errOut)
		return exitUsage
	}
}

func fail(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, "samphire-standin:", err)
	return exitFailed
}
