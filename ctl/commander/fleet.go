package commander

import (
	"context"
	"net/http"
	"time"

	"samphiremux/ctl/inspector"
)

type fleetCommand struct {
	Addresses []string      `arg:"positional,required" help:"metrics addresses of entries on the platform: IP number and port"`
	Interval  time.Duration `arg:"--interval" default:"1s" help:"time between looks"`
	Count     int           `arg:"--count" default:"1" help:"number of looks; 0 means until interrupted"`
}

// fleetStatus is the output of one look.
type fleetStatus struct {
	Entries     []inspector.Entry `json:"entries"`
	Differences []string          `json:"differences"`
}

// fleet shows the entries on the platform by their metrics.
func (s *session) fleet(ctx context.Context) error {
	return repeat(ctx, s.Fleet.Count, s.Fleet.Interval, func() error {
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		all := inspector.Inspect(callCtx, &http.Client{}, s.Fleet.Addresses)
		st := fleetStatus{Entries: all, Differences: inspector.Differences(all)}
		var lines []string
		for _, e := range all {
			lines = append(lines, e.Line())
		}
		s.print(st, append(lines, st.Differences...)...)
		return nil
	})
}

// repeat calls f count times, or until ctx ends if count is zero.
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
