// Package commander implements the command line of samphirectl.
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

// Exit codes of samphirectl. Epilogue lists them for operators.
const (
	ExitOK     = flagparser.ExitOK
	ExitFailed = flagparser.ExitFailed
	ExitUsage  = flagparser.ExitUsage
	// ExitInvalid means an invalid document, or one for another environment.
	ExitInvalid = 3
	// ExitConflict means that the document in force is not the expected one:
	// another operator published since the base revision, or the source of a
	// promotion has another revision or digest.
	ExitConflict = 4
	// ExitStoreUnavailable means that the store did not answer, or not within the
	// timeout.
	ExitStoreUnavailable = 5
	// ExitOutcomeUnknown means that a publication may or may not have happened.
	ExitOutcomeUnknown = 6
	// ExitNotConverged means that the document was published, but not every entry
	// had it in force within the wait.
	ExitNotConverged = 7
)

type applyCommand struct {
	File string        `arg:"positional,required" help:"document"`
	Base int64         `arg:"--base" default:"-1" help:"revision that the change is based on; -1 takes the one in force"`
	Wait time.Duration `arg:"--wait" default:"8s" help:"time to wait until it is in force on every entry; 0 does not wait"`
}

type promoteCommand struct {
	From     string        `arg:"--from,required" help:"environment to promote the document from"`
	To       string        `arg:"--to,required" help:"environment to promote it to"`
	Revision uint64        `arg:"--revision" help:"expected revision in the source environment; 0 takes the one in force"`
	Digest   string        `arg:"--digest" help:"expected digest in the source environment"`
	Overlay  string        `arg:"--overlay" help:"file with the target's addresses"`
	Base     int64         `arg:"--base" default:"-1" help:"target revision that the change is based on; -1 takes the one in force"`
	Wait     time.Duration `arg:"--wait" default:"8s" help:"time to wait until it is in force on every entry; 0 does not wait"`
}

type environmentCommand struct {
	Environment string `arg:"positional,required" help:"environment"`
}

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"request ID"`
	Files []string `arg:"positional" help:"log files of entries; standard input if none"`
}

type watchCommand struct {
	Environment string        `arg:"positional,required" help:"environment"`
	Interval    time.Duration `arg:"--interval" default:"1s" help:"polling interval"`
	Count       int           `arg:"--count" help:"number of polls; 0 polls until interrupted"`
}

type arguments struct {
	Check      *checkCommand       `arg:"subcommand:check" help:"check a document or a configuration of the platform"`
	Diff       *diffCommand        `arg:"subcommand:diff" help:"compare a document with the current one, or two files"`
	Apply      *applyCommand       `arg:"subcommand:apply" help:"apply a document"`
	Promote    *promoteCommand     `arg:"subcommand:promote" help:"apply the document of another environment"`
	History    *environmentCommand `arg:"subcommand:history" help:"list the applied documents"`
	Status     *environmentCommand `arg:"subcommand:status" help:"show entries, version moves and failure domains"`
	Watch      *watchCommand       `arg:"subcommand:watch" help:"show the status repeatedly"`
	Explain    *explainCommand     `arg:"subcommand:explain" help:"trace a request through the logs of entries"`
	Fleet      *fleetCommand       `arg:"subcommand:fleet" help:"show the entries on the users' platform by their metrics"`
	Completion *completionCommand  `arg:"subcommand:completion" help:"print a shell completion script"`
	Store      []string            `arg:"--store,env:SAMPHIRE_STORE" help:"base URLs of the platform's store"`
	Author     string              `arg:"--author,env:SAMPHIRE_AUTHOR" default:"operator" help:"author to record with a publication"`
	Output     string              `arg:"--output" default:"text" help:"output format: text or json"`
	JSON       bool                `arg:"--json" help:"same as --output json"`
	Timeout    time.Duration       `arg:"--timeout" default:"10s" help:"timeout of store calls"`
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
		"5 store does not answer, 6 outcome not known, 7 applied but not yet in force everywhere. " +
		"Of check, and of diff with --against: 0 nothing found, 1 findings or differences, 2 a file could not be read."
}

// session is one run of samphirectl: its arguments, outputs and dependencies.
type session struct {
	arguments
	applier *applier.Applier
	out     io.Writer
	err     io.Writer
}

// Run parses args, runs the command and returns the exit code. Results go to out,
// errors to errOut. An interrupt cancels the command.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	s := &session{out: out, err: errOut}
	p, code, done := flagparser.Parse(flagparser.CommandLine{Program: "samphirectl", Args: args, Out: out, Err: errOut}, &s.arguments)
	if done {
		return code
	}
	if err := s.checkArguments(p); err != nil {
		return flagparser.ReportUsageError(p, errOut, err)
	}
	if s.JSON {
		s.Output = "json"
	}
	switch {
	case s.Check != nil:
		return s.finish(s.check())
	case s.Diff != nil && s.Diff.Against != "":
		return s.finish(s.diffFiles())
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

// checkArguments validates what the parser does not.
func (s *session) checkArguments(p *arg.Parser) error {
	switch {
	case p.Subcommand() == nil:
		return errors.New("no command given")
	case s.Output != "text" && s.Output != "json":
		return fmt.Errorf("output %q must be text or json", s.Output)
	case s.Check != nil && !isFormat(s.Check.Format), s.Diff != nil && !isFormat(s.Diff.Format):
		return errors.New("--format must be auto, document or platform")
	case s.needsStore() && len(s.Store) == 0:
		return errors.New("--store or SAMPHIRE_STORE must name the store")
	default:
		return nil
	}
}

// isFormat reports whether s is a value of the flag --format.
func isFormat(s string) bool {
	return s == formatAuto || s == formatDocument || s == formatPlatform
}

// needsStore reports whether the command uses the platform's store.
func (s *session) needsStore() bool {
	if s.Diff != nil && s.Diff.Against != "" {
		return false
	}
	return s.Check == nil && s.Explain == nil && s.Fleet == nil && s.Completion == nil
}

// dispatch runs a command that works on the store. Apply, promote
// and watch bound their store calls themselves, since they also wait.
func (s *session) dispatch(ctx context.Context) error {
	if s.Watch != nil {
		return s.watch(ctx)
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

// finish prints err, if any, and returns the exit code for it.
func (s *session) finish(err error) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if errors.Is(err, errFindings) {
		return code
	}
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

// exitCode maps the type of an error to an exit code.
func exitCode(err error) int {
	var problems parser.Problems
	var stale publisher.ErrStaleRevision
	var mismatch applier.ErrSourceMismatch
	var unknown publisher.ErrOutcomeUnknown
	var notConverged applier.ErrNotConverged
	var wrongEnvironment applier.ErrWrongEnvironment
	var unavailable storer.ErrUnavailable
	var unreadable ErrUnreadable
	switch {
	case errors.Is(err, errFindings):
		return ExitFindings
	case errors.As(err, &unreadable):
		return ExitUnreadable
	case errors.As(err, &problems), errors.As(err, &wrongEnvironment):
		return ExitInvalid
	case errors.As(err, &stale), errors.As(err, &mismatch):
		return ExitConflict
	case errors.As(err, &unknown):
		return ExitOutcomeUnknown
	case errors.As(err, &notConverged):
		return ExitNotConverged
	case errors.As(err, &unavailable), errors.Is(err, context.DeadlineExceeded):
		return ExitStoreUnavailable
	default:
		return ExitFailed
	}
}

// print writes a result: v as JSON or lines as text, by the output format.
func (s *session) print(v any, lines ...string) {
	if s.Output == "json" {
		_ = json.NewEncoder(s.out).Encode(v)
		return
	}
	_, _ = fmt.Fprintln(s.out, strings.Join(lines, "\n"))
}

// read reads and validates a document.
func (s *session) read(file string) (doc parser.Document, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return parser.Document{}, err
	}
	return parser.Parse(file, data, time.Now())
}
