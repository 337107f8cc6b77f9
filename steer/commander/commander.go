// Package commander parses the command line of samphire-steer and runs the entry with
// the platform's settings.
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

	"samphiremux/entry/allotter"
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

// gcPercent is the garbage collector's target percentage.
const gcPercent = allotter.GCPercent

const (
	// logBufferLines is the number of log lines buffered for a slow output: about 300
	// bytes each, and four seconds at the highest rate of request log lines.
	logBufferLines = 1024
	// logFlushTimeout bounds the wait at exit for an output that does not accept the
	// last lines.
	logFlushTimeout = 100 * time.Millisecond
)

type arguments struct {
	Settings   string   `arg:"--settings" help:"settings file; the platform names the default one in the environment"`
	Policy     string   `arg:"--policy" default:"expected-completion" help:"policy by which backend servers are chosen"`
	HedgeLimit *float64 `arg:"--hedge-limit" help:"hedged requests as a share of the requests of a service, from 0 to 1; without it, the built-in delay applies and the share is not limited"`
	Queue      bool     `arg:"--queue" help:"requests of lower ranks leave room at full servers for more urgent ones, and requests wait for capacity while they can be in time"`
	LogLevel   string   `arg:"--log-level" default:"info" help:"trace, debug, info, warn, error or off"`
	Check      bool     `arg:"--check" help:"check the settings file and exit"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphire-steer forwards callers' requests to backend servers on the users' platform."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return versioner.BuildString("samphire-steer") }

// Run runs the entry until SIGINT or SIGTERM and returns the exit code.
func Run(args []string, out io.Writer) int {
	began := time.Now()
	var a arguments
	if _, code, ends := flagparser.Parse(flagparser.CommandLine{Program: "samphire-steer", Args: args, Out: out, Err: out}, &a); ends {
		return code
	}
	policy, err := chooser.ParsePolicy(a.Policy)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitUsage
	}
	if a.HedgeLimit != nil && !(*a.HedgeLimit >= 0 && *a.HedgeLimit <= 1) {
		_, _ = fmt.Fprintf(out, "--hedge-limit %g must be from 0 to 1\n", *a.HedgeLimit)
		return exitUsage
	}
	if a.Settings == "" {
		a.Settings = os.Getenv(translator.SettingsVariable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// While nothing waits for them, at the start and until the exit, these signals would
	// end the process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGHUP)
	s, err := translator.ReadSettings(a.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return exitSettings
	}
	if a.Check {
		_, _ = fmt.Fprintln(out, "settings are good")
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	if heap := allotter.New(s.MemoryBytes, s.MaxDescriptors).HeapBytes(); heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	lines := logwriter.New(out, logBufferLines)
	defer lines.Close(logFlushTimeout)
	log := hclog.New(&hclog.LoggerOptions{
		Name: "samphire", Level: hclog.LevelFromString(a.LogLevel), Output: lines, JSONFormat: true,
	})
	// The store's client in net/http logs warnings about connections to the standard
	// logger.
	stdlog.SetOutput(log.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}))
	signal.Ignore(syscall.SIGPIPE)
	if err := serve(ctx, a.Settings, s, policy, features{hedgeLimit: a.HedgeLimit, queueing: a.Queue}, began, log); err != nil {
		log.Error("Entry failed; exiting.", "error", err)
		return exitFailed
	}
	return exitOK
}
