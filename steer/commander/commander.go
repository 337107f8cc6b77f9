// Package commander runs samphire-steer from the platform's settings.
package commander

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
	"samphiremux/entry/logwriter"
	"samphiremux/pkg/flagparser"
	"samphiremux/pkg/versioner"
	"samphiremux/platform/translator"
)

// Exit codes.
const (
	exitOK       = flagparser.ExitOK
	exitFailed   = flagparser.ExitFailed
	exitUsage    = flagparser.ExitUsage
	exitSettings = 3
)

// collectPercent is the garbage collector's target. Peak memory costs more than
// processor time on the users' VMs.
const collectPercent = 40

const (
	// heldLines is the number of log lines that wait for a slow output: about 300
	// bytes each, four seconds at the rate that requests may log.
	heldLines = 1024
	// lastLines bounds the wait for an output that does not take the last lines.
	lastLines = 100 * time.Millisecond
)

type arguments struct {
	Settings string `arg:"--settings" help:"file of settings; the platform names it in the environment"`
	Policy   string `arg:"--policy" default:"expected-completion" help:"how backend servers are chosen"`
	LogLevel string `arg:"--log-level" default:"info" help:"trace, debug, info, warn, error or off"`
	Check    bool   `arg:"--check" help:"check the settings and end"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphire-steer steers callers' requests to backend servers on the users' platform."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return versioner.BuildString("samphire-steer") }

// Run runs the entry until a signal and returns the exit code.
func Run(args []string, out io.Writer) int {
	var a arguments
	if _, code, ends := flagparser.Parse(flagparser.CommandLine{Program: "samphire-steer", Args: args, Out: out, Err: out}, &a); ends {
		return code
	}
	policy, err := chooser.ParsePolicy(a.Policy)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitUsage
	}
	if a.Settings == "" {
		a.Settings = os.Getenv(translator.SettingsVariable)
	}
	s, err := translator.ReadSettings(a.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitSettings
	}
	if a.Check {
		_, _ = fmt.Fprintln(out, "settings are good")
		return exitOK
	}
	debug.SetGCPercent(collectPercent)
	lines := logwriter.New(out, heldLines)
	defer lines.Close(lastLines)
	log := hclog.New(&hclog.LoggerOptions{
		Name: "samphire", Level: hclog.LevelFromString(a.LogLevel), Output: lines, JSONFormat: true,
	})
	// The store's client in net/http warns of connections on the standard logger.
	stdlog.SetOutput(log.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	if err := serve(ctx, a.Settings, s, policy, log); err != nil {
		log.Error("Entry ends.", "error", err)
		return exitFailed
	}
	return exitOK
}
