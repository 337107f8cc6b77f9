// Package commander holds the commands of samphirectl.
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"samphiremux/ctl/applier"
	"samphiremux/pkg/flagparser"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
	"samphiremux/pkg/storer"
	"samphiremux/pkg/versioner"
	"samphiremux/platform/storeadapter"
)

// Exit codes.
const (
	ExitOK               = flagparser.ExitOK
	ExitFailed           = flagparser.ExitFailed
	ExitUsage            = flagparser.ExitUsage
	ExitInvalid          = 3
	ExitConflict         = 4
	ExitStoreUnavailable = 5
	ExitOutcomeUnknown   = 6
	ExitNotConverged     = 7
)

type checkCommand struct {
	File string `arg:"positional,required" help:"document"`
}

type diffCommand struct {
	File string `arg:"positional,required" help:"document to compare with the one in force"`
}

type applyCommand struct {
	File string        `arg:"positional,required" help:"document"`
	Base int64         `arg:"--base" default:"-1" help:"revision that the change is based on; -1 takes the one in force"`
	Wait time.Duration `arg:"--wait" default:"8s" help:"time to wait until it is in force on every entry"`
}

type promoteCommand struct {
	From     string        `arg:"--from,required" help:"environment in which the document was tried"`
	To       string        `arg:"--to,required" help:"environment to promote it to"`
	Revision uint64        `arg:"--revision" help:"revision that was tried"`
	Digest   string        `arg:"--digest" help:"digest that was tried"`
	Overlay  string        `arg:"--overlay" help:"file with the target's addresses"`
	Base     int64         `arg:"--base" default:"-1" help:"target revision that the change is based on"`
	Wait     time.Duration `arg:"--wait" default:"8s" help:"time to wait until it is in force on every entry"`
}

type environmentCommand struct {
	Environment string `arg:"positional,required" help:"environment"`
}

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"request id"`
	Files []string `arg:"positional" help:"logs of entries; standard input if none"`
}

type watchCommand struct {
	Environment string        `arg:"positional,required" help:"environment"`
	Interval    time.Duration `arg:"--interval" default:"1s" help:"time between looks"`
	Count       int           `arg:"--count" help:"number of looks; 0 means until interrupted"`
}

type arguments struct {
	Check      *checkCommand       `arg:"subcommand:check" help:"check a document"`
	Diff       *diffCommand        `arg:"subcommand:diff" help:"compare a document with the one in force"`
	Apply      *applyCommand       `arg:"subcommand:apply" help:"apply a document"`
	Promote    *promoteCommand     `arg:"subcommand:promote" help:"apply the document of another environment"`
	History    *environmentCommand `arg:"subcommand:history" help:"list the documents that were applied"`
	Status     *environmentCommand `arg:"subcommand:status" help:"show entries, moves and domains"`
	Watch      *watchCommand       `arg:"subcommand:watch" help:"show the status again and again"`
	Explain    *explainCommand     `arg:"subcommand:explain" help:"find a request's way in the logs of entries"`
	Fleet      *fleetCommand       `arg:"subcommand:fleet" help:"show the entries on the users' platform by their metrics"`
	Completion *completionCommand  `arg:"subcommand:completion" help:"print a script for a shell that completes commands and flags"`
	Store      []string            `arg:"--store,env:SAMPHIRE_STORE" help:"base URLs of the platform's store"`
	Author     string              `arg:"--author,env:SAMPHIRE_AUTHOR" default:"operator" help:"name to record"`
	Output     string              `arg:"--output" default:"text" help:"text or json"`
	Timeout    time.Duration       `arg:"--timeout" default:"10s" help:"limit of store calls"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphirectl checks, applies and promotes environment documents."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return versioner.BuildString("samphirectl") }

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 usage, 3 invalid document, 4 conflict with another operator, " +
		"5 store does not answer, 6 outcome not known, 7 applied but not yet in force everywhere."
}

// session is one command in work.
type session struct {
	arguments
	applier *applier.Applier
	out     io.Writer
	err     io.Writer
}

// Run runs the command in args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	s := &session{out: out, err: errOut}
	p, code, ends := flagparser.Parse(flagparser.CommandLine{Program: "samphirectl", Args: args, Out: out, Err: errOut}, &s.arguments)
	if ends {
		return code
	}
	if err := s.checkArguments(p); err != nil {
		return flagparser.ReportUsageError(p, errOut, err)
	}
	switch {
	case s.Explain != nil:
		return s.finish(s.explain())
	case s.Fleet != nil:
		return s.finish(s.fleet(ctx))
	case s.Completion != nil:
		return s.finish(s.completion())
	}
	s.applier = applier.New(storeadapter.New(nil, s.Store...), &http.Client{}, time.Now)
	return s.finish(s.dispatch(ctx))
}

// checkArguments checks what the parser does not.
func (s *session) checkArguments(p *arg.Parser) error {
	switch {
	case p.Subcommand() == nil:
		return errors.New("a command is missing")
	case s.Output != "text" && s.Output != "json":
		return fmt.Errorf("output %q must be text or json", s.Output)
	case s.needsStore() && len(s.Store) == 0:
		return errors.New("--store or SAMPHIRE_STORE must name the store")
	default:
		return nil
	}
}

// needsStore tells whether the command reads the platform's store.
func (s *session) needsStore() bool {
	return s.Check == nil && s.Explain == nil && s.Fleet == nil && s.Completion == nil
}

func (s *session) dispatch(ctx context.Context) error {
	if s.Watch != nil {
		return s.watch(ctx)
	}
	if s.Check != nil {
		_, err := s.read(s.Check.File)
		if err == nil {
			s.print(struct {
				Valid bool `json:"valid"`
			}{true}, "the document is valid")
		}
		return err
	}
	switch {
	case s.Apply != nil:
		return s.apply(ctx)
	case s.Promote != nil:
		return s.promote(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	switch {
	case s.Diff != nil:
		return s.diff(ctx)
	case s.History != nil:
		return s.history(ctx)
	default:
		return s.status(ctx, s.Status.Environment)
	}
}

// finish prints an error and returns the exit code for it.
func (s *session) finish(err error) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if s.Output == "json" {
		_ = json.NewEncoder(s.err).Encode(struct {
			Error string `json:"error"`
			Code  int    `json:"exit-code"`
		}{err.Error(), code})
	} else {
		_, _ = fmt.Fprintln(s.err, err)
	}
	return code
}

func exitCode(err error) int {
	var problems parser.Problems
	var stale publisher.ErrStaleRevision
	var notTried applier.ErrSourceMismatch
	var notKnown publisher.ErrOutcomeUnknown
	var partly applier.ErrNotConverged
	var wrong applier.ErrWrongEnvironment
	var storeErr storer.ErrUnavailable
	switch {
	case errors.As(err, &problems), errors.As(err, &wrong):
		return ExitInvalid
	case errors.As(err, &stale), errors.As(err, &notTried):
		return ExitConflict
	case errors.As(err, &notKnown):
		return ExitOutcomeUnknown
	case errors.As(err, &partly):
		return ExitNotConverged
	case errors.As(err, &storeErr), errors.Is(err, context.DeadlineExceeded):
		return ExitStoreUnavailable
	default:
		return ExitFailed
	}
}

// print writes the result as JSON or as lines of text.
func (s *session) print(v any, lines ...string) {
	if s.Output == "json" {
		_ = json.NewEncoder(s.out).Encode(v)
		return
	}
	_, _ = fmt.Fprintln(s.out, strings.Join(lines, "\n"))
}

func (s *session) read(file string) (doc parser.Document, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return parser.Document{}, err
	}
	return parser.Parse(file, data, time.Now())
}
