package commander

import (
	"context"
	"net/http"
	"time"

	"samphiremux/ctl/inspector"
)

type fleetCommand struct {
	Addresses []string      `arg:"positional,required" help:"metrics addresses of entries on the platform: IP address and port"`
	Interval  time.Duration `arg:"--interval" default:"1s" help:"polling interval"`
	Count     int           `arg:"--count" default:"1" help:"number of polls; 0 polls until interrupted"`
}

// fleetStatus is the output of one poll.
type fleetStatus struct {
	Entries     []inspector.Entry `json:"entries"`
	Differences []string          `json:"differences"`
}

// fleet prints the state of the entries from their metrics, and the values in which
// they differ.
func (s *session) fleet(ctx context.Context) error {
	return repeat(ctx, s.Fleet.Count, s.Fleet.Interval, func() error {
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		entries := inspector.Inspect(callCtx, &http.Client{}, s.Fleet.Addresses)
		st := fleetStatus{Entries: entries, Differences: inspector.Differences(entries)}
		var lines []string
		for _, e := range entries {
			lines = append(lines, e.Line())
		}
		s.print(st, append(lines, st.Differences...)...)
		return nil
	})
}

// repeat calls f count times with interval in between, without limit if count is
// zero. It stops early when f fails or ctx ends; the end of ctx is no error.
func repeat(ctx context.Context, count int, interval time.Duration, f func() error) error {
	for n := 1; ; n++ {
		if err := f(); err != nil {
			return err
		}
		if n == count {
			return nil
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
}
