package commander

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"samphiremux/ctl/differ"
	"samphiremux/pkg/auditor"
	"samphiremux/pkg/parser"
	"samphiremux/platform/drafter"
	"samphiremux/platform/translator"
)

// Exit codes of check, and of diff between two files.
const (
	// ExitFindings means that a file has findings, or that two files differ.
	ExitFindings = 1
	// ExitUnreadable means that a file could not be read or compared.
	ExitUnreadable = 2
)

// The values of the flag --format.
const (
	formatAuto     = "auto"
	formatDocument = "document"
	formatPlatform = "platform"
)

type checkCommand struct {
	File     string `arg:"positional,required" help:"document, or configuration of the platform"`
	Against  string `arg:"--against" help:"file with the current version"`
	Format   string `arg:"--format" default:"auto" help:"format of the files: auto, document or platform"`
	Settings string `arg:"--settings" help:"settings file of an entry, for the retry budget; the deployments' default if not given"`
}

type diffCommand struct {
	File    string `arg:"positional,required" help:"document to compare with the current one"`
	Against string `arg:"--against" help:"file to compare with, in place of the current document"`
	Format  string `arg:"--format" default:"auto" help:"format of the files, with --against: auto, document or platform"`
}

// ErrUnreadable reports that a file could not be read or compared.
type ErrUnreadable struct{ Cause error }

func (e ErrUnreadable) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrUnreadable) Unwrap() error { return e.Cause }

// errFindings reports that a result with findings or differences has been printed.
var errFindings = errors.New("findings")

// ErrFormatMismatch reports that two files to compare have different formats.
type ErrFormatMismatch struct{ File, Against string }

func (e ErrFormatMismatch) Error() string {
	return fmt.Sprintf("%s and %s have different formats", e.File, e.Against)
}

// ErrUnparsed reports that a file is not valid enough to be compared.
type ErrUnparsed struct{ Findings []auditor.Finding }

func (e ErrUnparsed) Error() string {
	var text bytes.Buffer
	for i, f := range e.Findings {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(f.String())
	}
	return text.String()
}

// source is a file in one of the two formats.
type source struct {
	file   string
	format string
	data   []byte
	doc    parser.Document
	draft  auditor.Draft
	// findings are the values that could not be read.
	findings []auditor.Finding
	// readable reports that there is something to check and to compare.
	readable bool
}

// load reads a file. The deadline of a move must be later than now unless now is zero.
func load(file, format string, now time.Time) (s source, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return source{}, err
	}
	s = source{file: file, format: format, data: data}
	if format == formatAuto {
		s.format = detectFormat(file, data)
	}
	if s.format == formatPlatform {
		s.draft, s.findings, s.readable = drafter.Read(file, data)
		return s, nil
	}
	s.doc, err = parser.Parse(file, data, now)
	var problems parser.Problems
	if err != nil && !errors.As(err, &problems) {
		return source{}, err
	}
	for _, p := range problems {
		at := auditor.Place{Path: p.Path, Line: p.Line, Column: p.Column}
		s.findings = append(s.findings, auditor.Finding{File: p.File, Place: at, Kind: auditor.Invalid, Text: p.Rule})
	}
	s.readable = len(problems) == 0
	return s, nil
}

// detectFormat determines the format of a file. JSON is the platform's format unless it is a
// valid document, since YAML includes JSON.
func detectFormat(file string, data []byte) string {
	if _, err := parser.Parse(file, data, time.Time{}); err == nil {
		return formatDocument
	}
	text := bytes.TrimSpace(bytes.TrimPrefix(data, []byte("\uFEFF")))
	if filepath.Ext(file) == ".json" || bytes.HasPrefix(text, []byte("{")) {
		return formatPlatform
	}
	return formatDocument
}

// check prints the findings for a file, and the differences from the current version.
func (s *session) check() (err error) {
	defer func() {
		if err != nil && !errors.Is(err, errFindings) {
			err = ErrUnreadable{Cause: err}
		}
	}()
	bounds := translator.DefaultBounds()
	if s.Check.Settings != "" {
		settings, err := translator.ReadSettings(s.Check.Settings)
		if err != nil {
			return err
		}
		bounds = settings.Bounds
	}
	checked, err := load(s.Check.File, s.Check.Format, time.Now())
	if err != nil {
		return err
	}
	var findings []auditor.Finding
	switch {
	case !checked.readable:
	case checked.format == formatPlatform:
		budget := auditor.RetryBudget{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack}
		findings = auditor.Audit(checked.file, checked.draft, budget)
	default:
		findings = auditor.AuditDocument(checked.file, checked.doc, parser.Positions(checked.data))
	}
	// Values that could not be read would look as if they were not set.
	result := checkResult{compared: s.Check.Against != "" && checked.readable && len(checked.findings) == 0}
	if s.Check.Against != "" {
		inForce, err := load(s.Check.Against, s.Check.Format, time.Time{})
		if err != nil {
			return err
		}
		if !inForce.readable {
			return ErrUnparsed{Findings: inForce.findings}
		}
		if checked.format != inForce.format {
			return ErrFormatMismatch{File: checked.file, Against: inForce.file}
		}
		if checked.readable {
			findings = append(findings, auditor.AuditSuccession(checked.file, checked.draft, inForce.draft)...)
		}
		if result.compared {
			result.Differences = compare(inForce, checked)
		}
	}
	findings = auditor.Merge(checked.findings, findings)
	result.Findings, result.Valid = findings, len(findings) == 0
	s.printCheck(checked.format, result)
	if !result.Valid {
		return errFindings
	}
	return nil
}

// checkResult is the result of a check.
type checkResult struct {
	Valid       bool              `json:"valid"`
	Findings    []auditor.Finding `json:"findings"`
	Differences []differ.Change   `json:"differences,omitempty"`
	// compared reports that the file was compared with the current version.
	compared bool
}

func (s *session) printCheck(format string, r checkResult) {
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, f.String())
	}
	switch {
	case r.Valid && format == formatPlatform:
		lines = append(lines, "the configuration is valid")
	case r.Valid:
		lines = append(lines, "the document is valid")
	}
	if r.compared {
		lines = append(lines, "differences from "+s.Check.Against+":")
		lines = append(lines, changeLines(r.Differences)...)
	}
	// Scripts get an empty list in place of null.
	r.Findings = append([]auditor.Finding{}, r.Findings...)
	s.print(r, lines...)
}

// compare lists the differences between two readable files of the same format.
func compare(before, after source) []differ.Change {
	if after.format == formatPlatform {
		return differ.DiffDrafts(before.draft, after.draft)
	}
	return differ.Diff(before.doc, after.doc)
}

// diffFiles prints the differences between two files. A file with values that cannot be read
// is not compared, since these would look as if they were not set.
func (s *session) diffFiles() (err error) {
	defer func() {
		if err != nil && !errors.Is(err, errFindings) {
			err = ErrUnreadable{Cause: err}
		}
	}()
	before, err := load(s.Diff.Against, s.Diff.Format, time.Time{})
	if err != nil {
		return err
	}
	after, err := load(s.Diff.File, s.Diff.Format, time.Time{})
	if err != nil {
		return err
	}
	if findings := append(before.findings, after.findings...); len(findings) > 0 {
		return ErrUnparsed{Findings: findings}
	}
	if before.format != after.format {
		return ErrFormatMismatch{File: after.file, Against: before.file}
	}
	changes := compare(before, after)
	s.print(append([]differ.Change{}, changes...), changeLines(changes)...)
	if len(changes) > 0 {
		return errFindings
	}
	return nil
}
