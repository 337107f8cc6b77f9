package commander

import (
	"context"
	"errors"
	"time"

	"samphiremux/entry/usagereporter"
	"samphiremux/pkg/linker/linkpb"
	"samphiremux/platform/cloudadapter"
	"samphiremux/platform/translator"
)

// usageKey is the key of the record of usage reports.
const usageKey = translator.ProjectKeyPrefix + "usage"

// usageLimits returns the current limits of usage reports, and whether there are any.
func (e *entry) usageLimits() (l usagereporter.Limits, enabled bool) {
	s := e.settings.Load()
	l = usagereporter.Limits{Window: s.Bounds.UsageWindow, LeaseTime: s.Bounds.LeaseTime, CallInterval: s.CloudAPI.CallInterval}
	return l, s.CloudAPI.ReportsUsage && l.Window > 0
}

// timeOfDay returns the time since the start of 1970 by the clock of the VM, which differs
// from that of others and may be set. It determines the windows of usage reports, which the
// platform defines by the time of day, and nothing else.
func timeOfDay() time.Duration {
	return time.Duration(time.Now().UnixNano()) //nolint:forbidigo // see above
}

// sendUsage sends a usage report to the platform.
func (e *entry) sendUsage(dial dialFunc) func(context.Context, usagereporter.Send, func() bool) (usagereporter.SendResult, error) {
	return func(ctx context.Context, s usagereporter.Send, mayBegin func() bool) (usagereporter.SendResult, error) {
		client := cloudadapter.New(dial, e.settings.Load().CloudAPI.Address)
		err := client.ReportUsage(ctx, cloudadapter.Usage{
			Holder: e.id, Token: int64(s.Token), Window: s.Report.Window, Counts: s.Report.Counts,
		}, mayBegin)
		var status cloudadapter.ErrStatus
		switch {
		case err == nil:
			return usagereporter.Accepted, nil
		case errors.As(err, &status) && status.Permanent():
			return usagereporter.Rejected, err
		default:
			return usagereporter.Unsettled, err
		}
	}
}

// forwardUsage sends usage counts to another entry.
func (e *entry) forwardUsage(ctx context.Context, address string, counts []*linkpb.UsageCounts) error {
	return e.pool.Call(ctx, address, func(ctx context.Context, c linkpb.DRPCLinkClient) error {
		_, err := c.Report(ctx, &linkpb.ReportRequest{EntryId: e.id, Usage: counts})
		return err
	})
}

// addUsageGauges registers the metrics of usage reports.
func (e *entry) addUsageGauges() {
	gauge := func(name, help string, read func(usagereporter.Stats) float64) {
		e.metrics.Gauge(name, help, func() float64 { return read(e.usage.Stats()) })
	}
	gauge("usage_windows_reported_total", "Windows whose usage report was accepted from this entry.", func(s usagereporter.Stats) float64 { return float64(s.Reported) })
	gauge("usage_reports_repeated_total", "Usage reports that this entry sent again.", func(s usagereporter.Stats) float64 { return float64(s.Repeated) })
	gauge("usage_windows_omitted_total", "Windows that this entry, as the holder, left out of usage reports.", func(s usagereporter.Stats) float64 { return float64(s.Omitted) })
	gauge("usage_requests_dropped_total", "Requests that came too late for the usage report of their window, or beyond its bounds.", func(s usagereporter.Stats) float64 { return float64(s.Dropped) })
	gauge("usage_holder", "1 if this entry holds usage reporting.", func(s usagereporter.Stats) float64 {
		if s.Holder {
			return 1
		}
		return 0
	})
	gauge("usage_report_age_seconds", "Time since the end of the last window with a usage report, 0 without one.", func(s usagereporter.Stats) float64 { return s.Age.Seconds() })
}
