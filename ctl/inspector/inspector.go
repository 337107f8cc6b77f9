// Package inspector reads the metrics of the entries on the platform and tells how
// they are and whether they agree.
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

// Names of the metrics that are read.
const (
	storeReached  = "samphire_store_reached"
	storeRevision = "samphire_store_revision"
	storeCalls    = "samphire_store_calls_total"
	version       = "samphire_configuration_version"
	entries       = "samphire_entries"
	servers       = "samphire_backend_servers"
	requests      = "samphire_requests_total"
	refusals      = "samphire_refusals_total"
	retries       = "samphire_retries_total"
	droppedLines  = "samphire_dropped_lines_total"
)

// names lists the metrics that are read.
func names() []string {
	return []string{
		storeReached, storeRevision, storeCalls, version, entries, servers, requests, refusals, retries, droppedLines,
	}
}

// ErrBadStatus is an answer other than 200.
type ErrBadStatus struct{ Status int }

func (e ErrBadStatus) Error() string { return fmt.Sprintf("metrics answered with status %d", e.Status) }

// Entry is what one entry says of itself.
type Entry struct {
	Address string `json:"address"`
	// Problem is why it could not be read. The rest is empty then.
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

// Line returns the entry as a line of text.
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

// Inspect reads the entries at addresses, an IP number and port each, at the same
// time. They come back in the order of the addresses.
func Inspect(ctx context.Context, client *http.Client, addresses []string) []Entry {
	all := make([]Entry, len(addresses))
	var work sync.WaitGroup
	for i, address := range addresses {
		work.Go(func() {
			e, err := read(ctx, client, address)
			if err != nil {
				e = Entry{Problem: err.Error()}
			}
			e.Address = address
			all[i] = e
		})
	}
	work.Wait()
	return all
}

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

func parse(r io.Reader) (e Entry, err error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return Entry{}, err
	}
	sum := func(name string) int64 { return total(families[name]) }
	return Entry{
		StoreReached: sum(storeReached) > 0, StoreRevision: sum(storeRevision), StoreCalls: sum(storeCalls),
		ConfigurationVersion: sum(version), Entries: sum(entries), Servers: sum(servers), Answers: sum(requests),
		Refusals: sum(refusals), Retries: sum(retries), DroppedLines: sum(droppedLines),
	}, nil
}

// total sums a family over its labels. A family that is missing is zero: a
// counter appears with its first event.
func total(f *dto.MetricFamily) int64 {
	n := 0.0
	for _, m := range f.GetMetric() {
		n += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return int64(n)
}

// Differences says in which respects the entries that answered do not agree.
func Differences(all []Entry) (lines []string) {
	for _, c := range []struct {
		what string
		of   func(Entry) int64
	}{
		{"configuration", func(e Entry) int64 { return e.ConfigurationVersion }},
		{"store revision", func(e Entry) int64 { return e.StoreRevision }},
		{"number of entries", func(e Entry) int64 { return e.Entries }},
		{"number of servers", func(e Entry) int64 { return e.Servers }},
	} {
		var values []int64
		for _, e := range all {
			if e.Problem == "" {
				values = append(values, c.of(e))
			}
		}
		if len(values) > 0 && slices.Min(values) != slices.Max(values) {
			lines = append(lines, c.what+" differs: "+strconv.FormatInt(slices.Min(values), 10)+" to "+
				strconv.FormatInt(slices.Max(values), 10))
		}
	}
	return lines
}
