// Package encoder encodes environment documents in a normal form, so that two documents
// with the same meaning have the same text.
package encoder

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"samphiremux/pkg/parser"
)

type document struct {
	Environment string    `yaml:"environment"`
	Domains     []domain  `yaml:"failure-domains"`
	Services    []service `yaml:"services"`
}

type domain struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	Out    bool   `yaml:"out,omitempty"`
}

type service struct {
	Name             string    `yaml:"name"`
	SheddingStatuses []int     `yaml:"shedding-statuses,flow,omitempty"`
	RetryBudget      float64   `yaml:"retry-budget"`
	ProbeBudget      float64   `yaml:"probe-budget"`
	EchoesRequestID  bool      `yaml:"echoes-request-id"`
	Entries          int       `yaml:"entries,omitempty"`
	Routes           []route   `yaml:"routes"`
	Versions         []version `yaml:"versions"`
	Move             *move     `yaml:"move,omitempty"`
	Servers          []server  `yaml:"backend-servers"`
}

type route struct {
	Name       string `yaml:"name"`
	Method     string `yaml:"method,omitempty"`
	PathPrefix string `yaml:"path-prefix"`
	Idempotent bool   `yaml:"idempotent"`
	TimeLimit  string `yaml:"time-limit"`
	Importance int    `yaml:"importance"`
}

type version struct {
	Name  string `yaml:"name"`
	Share int    `yaml:"share"`
}

type move struct {
	From     string `yaml:"from"`
	To       string `yaml:"to"`
	Deadline string `yaml:"deadline"`
}

type server struct {
	Name            string `yaml:"name"`
	Address         string `yaml:"address"`
	Domain          string `yaml:"failure-domain"`
	Version         string `yaml:"version"`
	Slots           int    `yaml:"slots"`
	ConnectionLimit int    `yaml:"connection-limit"`
	Leaving         bool   `yaml:"leaving,omitempty"`
}

// Encode returns the normal form of a document as YAML: defaults are written out, and
// lists are sorted by name.
func Encode(d parser.Document) (data []byte, err error) {
	out := document{Environment: d.Environment}
	for _, dom := range d.Domains {
		out.Domains = append(out.Domains, domain{dom.Name, dom.Region, dom.Out})
	}
	for _, s := range d.Services {
		out.Services = append(out.Services, encodeService(s))
	}
	slices.SortFunc(out.Domains, func(a, b domain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Services, func(a, b service) int { return cmp.Compare(a.Name, b.Name) })
	data, err = yaml.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode document of environment %q: %w", d.Environment, err)
	}
	return data, nil
}

func encodeService(s parser.Service) (out service) {
	out = service{
		Name: s.Name, SheddingStatuses: slices.Sorted(slices.Values(s.SheddingStatuses)), RetryBudget: s.RetryBudget,
		ProbeBudget: s.ProbeBudget, EchoesRequestID: s.EchoesRequestID, Entries: s.Entries,
	}
	for _, r := range s.Routes {
		out.Routes = append(out.Routes, route{r.Name, r.Method, r.PathPrefix, r.Idempotent, r.TimeLimit.String(), r.Importance})
	}
	for _, v := range s.Versions {
		out.Versions = append(out.Versions, version{v.Name, v.Share})
	}
	if s.Move != nil {
		out.Move = &move{s.Move.From, s.Move.To, s.Move.Deadline.UTC().Format(time.RFC3339)}
	}
	for _, srv := range s.Servers {
		out.Servers = append(out.Servers, server{
			srv.Name, srv.Address.String(), srv.Domain, srv.Version, srv.Slots, srv.ConnectionLimit, srv.Leaving,
		})
	}
	slices.SortFunc(out.Routes, func(a, b route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Versions, func(a, b version) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Servers, func(a, b server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
