// Package commander implements the commands of samphire-standin.
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

// Exit codes of the program.
const (
	exitOK     = flagparser.ExitOK
	exitFailed = flagparser.ExitFailed
	exitUsage  = flagparser.ExitUsage
)

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run the whole system in one process and check its answers"`
	Platform *platformCommand `arg:"subcommand:platform" help:"emulate the platform's store and list of VMs"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"emulate one backend server"`
	Load     *loadCommand     `arg:"subcommand:load" help:"call services as callers do, and measure latency"`
	Overhead *overheadCommand `arg:"subcommand:overhead" help:"measure the latency that one entry adds"`
	InForce  *inForceCommand  `arg:"subcommand:in-force" help:"measure how soon applied documents are in force"`
	Capacity *capacityCommand `arg:"subcommand:capacity" help:"measure the cost of the control plane and sum it up for the target size"`
	Sample   *sampleCommand   `arg:"subcommand:sample" help:"print the document of a deployment"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphire-standin emulates the platform, backend servers and callers."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return versioner.BuildString("samphire-standin") }

// Run runs the command in args until it ends or is interrupted, and returns the exit
// code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var parsed arguments
	parser, code, done := flagparser.Parse(flagparser.CommandLine{Program: "samphire-standin", Args: args, Out: out, Err: errOut}, &parsed)
	if done {
		return code
	}
	switch {
	case parsed.Demo != nil:
		return parsed.Demo.run(ctx, out, errOut)
	case parsed.Platform != nil:
		return parsed.Platform.run(ctx, out, errOut)
	case parsed.Backend != nil:
		return parsed.Backend.run(ctx, out, errOut)
	case parsed.Load != nil:
		return parsed.Load.run(ctx, out, errOut)
	case parsed.Overhead != nil:
		return parsed.Overhead.run(ctx, out, errOut)
	case parsed.InForce != nil:
		return parsed.InForce.run(ctx, out, errOut)
	case parsed.Capacity != nil:
		return parsed.Capacity.run(out, errOut)
	case parsed.Sample != nil:
		return parsed.Sample.run(out, errOut)
	default:
		parser.WriteHelp(errOut)
		return exitUsage
	}
}

func fail(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, "samphire-standin:", err)
	return exitFailed
}
