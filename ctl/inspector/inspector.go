// Package inspector scrapes the metrics of the entries on the platform, and reports
// their state and the values in which they differ.
package inspector

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Names of the metrics that the inspector reads.
const (
	storeReachedMetric  = "samphire_store_reached"
	storeRevisionMetric = "samphire_store_revision"
	storeCallsMetric    = "samphire_store_calls_total"
	versionMetric       = "samphire_configuration_version"
	entriesMetric       = "samphire_entries"
	serversMetric       = "samphire_backend_servers"
	requestsMetric      = "samphire_requests_total"
	refusalsMetric      = "samphire_refusals_total"
	retriesMetric       = "samphire_retries_total"
	droppedLinesMetric  = "samphire_dropped_lines_total"
)

// metricNames lists the metrics that the inspector reads.
func metricNames() []string {
	return []string{
		storeReachedMetric, storeRevisionMetric, storeCallsMetric, versionMetric, entriesMetric,
		serversMetric, requestsMetric, refusalsMetric, retriesMetric, droppedLinesMetric,
	}
}

// ErrBadStatus reports an answer to a scrape with a status other than 200.
type ErrBadStatus struct{ Status int }

func (e ErrBadStatus) Error() string { return fmt.Sprintf("scrape got status %d, want 200", e.Status) }

// Entry is the state of one entry by its metrics.
type Entry struct {
	Address string `json:"address"`
	// Problem is the reason why the metrics could not be read. The other fields
	// are zero then.
	Problem              string `json:"problem,omitempty"`
	StoreReached         bool   `json:"store-reached"`
	StoreRevision        int64  `json:"store-revision"`
	StoreCalls           int64  `json:"store-calls"`
	ConfigurationVersion int64  `json:"configuration-version"`
	Entries              int64  `json:"entries"`
	Servers              int64  `json:"backend-servers"`
	Answers              int64  `json:"answers"`
	Refusals             int64  `json:"refusals"`
	Retries              int64  `json:"retries"`
	DroppedLines         int64  `json:"dropped-lines"`
}

// Line returns the state of the entry as one line of text.
func (e Entry) Line() string {
	if e.Problem != "" {
		return fmt.Sprintf("%s: %s", e.Address, e.Problem)
	}
	reached := "reached"
	if !e.StoreReached {
		reached = "not reached"
	}
	return fmt.Sprintf("%s: configuration %d, store %s at revision %d after %d calls, %d entries, %d servers; "+
		"%d answers, %d refusals, %d retries, %d lines dropped", e.Address, e.ConfigurationVersion, reached, e.StoreRevision,
		e.StoreCalls, e.Entries, e.Servers, e.Answers, e.Refusals, e.Retries, e.DroppedLines)
}

// Inspect scrapes the entries at addresses, an IP address and port each, in parallel.
// The result is in the order of the addresses.
func Inspect(ctx context.Context, client *http.Client, addresses []string) []Entry {
	inspected := make([]Entry, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			e, err := read(ctx, client, address)
			if err != nil {
				e = Entry{Problem: err.Error()}
			}
			e.Address = address
			inspected[i] = e
		})
	}
	wg.Wait()
	return inspected
}

// read scrapes the entry at address.
func read(ctx context.Context, client *http.Client, address string) (e Entry, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return Entry{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Entry{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Entry{}, ErrBadStatus{Status: resp.StatusCode}
	}
	return parse(resp.Body)
}

// parse reads the state of an entry from the Prometheus text format.
func parse(r io.Reader) (e Entry, err error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return Entry{}, err
	}
	value := func(name string) int64 { return total(families[name]) }
	return Entry{
		StoreReached: value(storeReachedMetric) > 0, StoreRevision: value(storeRevisionMetric), StoreCalls: value(storeCallsMetric),
		ConfigurationVersion: value(versionMetric), Entries: value(entriesMetric), Servers: value(serversMetric),
		Answers: value(requestsMetric), Refusals: value(refusalsMetric), Retries: value(retriesMetric), DroppedLines: value(droppedLinesMetric),
	}, nil
}

// total sums a metric family over its labels. A missing family counts as zero, since
// a counter is not exposed before its first event.
func total(f *dto.MetricFamily) int64 {
	n := 0.0
	for _, m := range f.GetMetric() {
		n += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return int64(n)
}

// Differences returns one line for each value in which the entries that answered do
// not agree.
func Differences(inspected []Entry) (lines []string) {
	for _, c := range []struct {
		name  string
		value func(Entry) int64
	}{
		{"configuration", func(e Entry) int64 { return e.ConfigurationVersion }},
		{"store revision", func(e Entry) int64 { return e.StoreRevision }},
		{"number of entries", func(e Entry) int64 { return e.Entries }},
		{"number of servers", func(e Entry) int64 { return e.Servers }},
	} {
		var values []int64
		for _, e := range inspected {
			if e.Problem == "" {
				values = append(values, c.value(e))
			}
		}
		if len(values) > 0 && slices.Min(values) != slices.Max(values) {
			lines = append(lines, c.name+" differs: "+strconv.FormatInt(slices.Min(values), 10)+" to "+
				strconv.FormatInt(slices.Max(values), 10))
		}
	}
	return lines
}
