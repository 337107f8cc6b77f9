package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"samphiremux/ctl/applier"
	"samphiremux/ctl/differ"
	"samphiremux/pkg/parser"
	"samphiremux/pkg/publisher"
)

// diff prints the differences between a document and the one in force.
func (s *session) diff(ctx context.Context) error {
	doc, err := s.read(s.Diff.File)
	if err != nil {
		return err
	}
	_, current, err := s.applier.Current(ctx, doc.Environment)
	if err != nil {
		return err
	}
	changes := differ.Diff(current, doc)
	s.print(changes, changeLines(changes)...)
	return nil
}

// changeLines returns one line of text for each change.
func changeLines(changes []differ.Change) (lines []string) {
	if len(changes) == 0 {
		return []string{"no change"}
	}
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

// apply publishes a document and waits until it is in force.
func (s *session) apply(ctx context.Context) error {
	doc, err := s.read(s.Apply.File)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	e, err := s.applier.Apply(callCtx, doc, s.Apply.Base, s.Author, "")
	return s.reportPublication(ctx, e, err, doc, s.Apply.Wait)
}

// promote publishes the document of one environment to another and waits until it
// is in force there.
func (s *session) promote(ctx context.Context) error {
	promotion := applier.Promotion{
		From: s.Promote.From, To: s.Promote.To, Revision: publisher.Revision(s.Promote.Revision), Digest: s.Promote.Digest,
	}
	if s.Promote.Overlay != "" {
		data, err := os.ReadFile(s.Promote.Overlay)
		if err != nil {
			return err
		}
		if promotion.Overlay, err = parser.ParseOverlay(s.Promote.Overlay, data); err != nil {
			return err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	e, err := s.applier.Promote(callCtx, promotion, s.Promote.Base, s.Author)
	var doc parser.Document
	if err == nil {
		doc, err = parser.Parse("promoted", []byte(e.Document), time.Time{})
	}
	return s.reportPublication(ctx, e, err, doc, s.Promote.Wait)
}

// reportPublication prints the result of a publication and waits until it is in
// force on every entry. After a conflict it prints what the other operator changed.
// A wait of zero or less returns at once.
func (s *session) reportPublication(ctx context.Context, e publisher.Envelope, err error, doc parser.Document, wait time.Duration) error {
	var stale publisher.ErrStaleRevision
	if errors.As(err, &stale) {
		changes, diffErr := s.applier.Changes(ctx, stale)
		if diffErr == nil {
			s.print(changes, append([]string{"another operator changed:"}, changeLines(changes)...)...)
		}
	}
	if err != nil {
		return err
	}
	s.print(struct {
		Applied  bool               `json:"applied"`
		Revision publisher.Revision `json:"revision"`
		Digest   string             `json:"digest"`
	}{true, e.Revision, e.Digest}, fmt.Sprintf("applied as revision %d, digest %s", e.Revision, e.Digest))
	if wait <= 0 {
		return nil
	}
	started := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	entries, err := s.applier.AwaitConvergence(waitCtx, e, doc)
	if err != nil {
		return err
	}
	s.print(entries, fmt.Sprintf("in force on all %d entries after %v", len(entries), time.Since(started).Round(time.Millisecond)))
	return nil
}

// history prints the past documents of an environment, oldest first.
func (s *session) history(ctx context.Context) error {
	envelopes, err := s.applier.History(ctx, s.History.Environment)
	if err != nil {
		return err
	}
	type line struct {
		Revision publisher.Revision `json:"revision"`
		Digest   string             `json:"digest"`
		Author   string             `json:"author"`
		At       time.Time          `json:"published-at"`
		Source   string             `json:"source,omitempty"`
	}
	lines := make([]line, 0, len(envelopes))
	text := make([]string, 0, len(envelopes))
	for _, e := range envelopes {
		lines = append(lines, line{e.Revision, e.Digest, e.Author, e.PublishedAt, e.Source})
		text = append(text, fmt.Sprintf("%d  %s  %s  %s  %s", e.Revision, e.PublishedAt.Format(time.RFC3339), e.Author, e.Digest[:12], e.Source))
	}
	s.print(lines, text...)
	return nil
}

// environmentStatus is the output of status and watch.
type environmentStatus struct {
	Revision publisher.Revision `json:"revision"`
	Digest   string             `json:"digest"`
	Domains  []domainStatus     `json:"failure-domains"`
	Entries  []applier.Entry    `json:"entries"`
	Moves    []applier.Move     `json:"moves"`
}

// domainStatus reports whether a failure domain is taken out of service.
type domainStatus struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// status prints the state of an environment.
func (s *session) status(ctx context.Context, environment string) error {
	e, doc, err := s.applier.Current(ctx, environment)
	if err != nil {
		return err
	}
	st := environmentStatus{Revision: e.Revision, Digest: e.Digest}
	for _, d := range doc.Domains {
		st.Domains = append(st.Domains, domainStatus{Name: d.Name, Out: d.Out})
	}
	if st.Entries, err = s.applier.Entries(ctx, environment, doc); err != nil {
		return err
	}
	if st.Moves, err = s.applier.Moves(ctx, environment); err != nil {
		return err
	}
	s.print(st, st.lines()...)
	return nil
}

// lines returns the status as lines of text.
func (st environmentStatus) lines() (lines []string) {
	lines = append(lines, fmt.Sprintf("revision %d, digest %s", st.Revision, st.Digest))
	for _, d := range st.Domains {
		state := "in"
		if d.Out {
			state = "out"
		}
		lines = append(lines, fmt.Sprintf("failure domain %s: %s", d.Name, state))
	}
	for _, e := range st.Entries {
		state := fmt.Sprintf("revision %d", e.Revision)
		if e.Problem != "" {
			state = e.Problem
		}
		lines = append(lines, fmt.Sprintf("entry %s in %s: %s", e.ID, e.Domain, state))
	}
	for _, m := range st.Moves {
		lines = append(lines, moveLine(m))
	}
	return lines
}

// watch prints the status repeatedly. A failed poll is printed and does not end
// the command.
func (s *session) watch(ctx context.Context) error {
	return repeat(ctx, s.Watch.Count, s.Watch.Interval, func() error {
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		if err := s.status(callCtx, s.Watch.Environment); err != nil {
			_ = s.finish(err) // the next poll may succeed
		}
		return nil
	})
}

// moveLine returns a move as one line of text, or the reason why its record cannot
// be decoded.
func moveLine(m applier.Move) string {
	var r struct {
		Move   string  `json:"move"`
		Phase  string  `json:"phase"`
		Share  float64 `json:"share"`
		Reason string  `json:"reason"`
	}
	if err := json.Unmarshal(m.Record, &r); err != nil {
		return fmt.Sprintf("move of %s: %v", m.Service, err)
	}
	line := fmt.Sprintf("move of %s, %s: %s, share %.0f %%", m.Service, r.Move, r.Phase, 100*r.Share)
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	return line
}
