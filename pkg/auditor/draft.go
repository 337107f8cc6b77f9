// Package auditor checks a configuration before it is sent: it reports errors, items that
// can never take effect and limits that contradict each other, each with its position. It
// knows neither the layout of the file nor the names in it; the reader of a format supplies
// the path and the position of each value.
package auditor

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"time"
)

// Place is the position of a value in a file. Line and column count from 1. The path holds
// the names of the file's format.
type Place struct {
	Path   string `json:"path"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Value is a value with its place. Present is false if the file lacks it or if its type is
// wrong; the place is then that of the object that should contain it.
type Value[T any] struct {
	V       T
	At      Place
	Present bool
}

// Draft is a configuration of the users' platform as an operator has written it.
type Draft struct {
	At      Place
	Version Value[int64]
	// Base is the version that the configuration is meant to replace.
	Base     Value[int64]
	Routes   []Route
	Services []Service
	// Workspaces is present if there is a list, even an empty one: callers need API keys then.
	Workspaces Value[[]Workspace]
	Limits     Limits
}

// Route is a route of a Draft.
type Route struct {
	At     Place
	Name   Value[string]
	Host   Value[string]
	Prefix Value[string]
	Kind   Value[string]
	// Service is the only service of the route. Split takes precedence over it.
	Service Value[string]
	Split   Value[[]Part]
	// TimeLimit bounds the time that a caller waits, TargetLatency is the objective.
	TimeLimit     Value[time.Duration]
	TargetLatency Value[time.Duration]
	MaxAttempts   Value[int64]
	Importance    Value[int64]
	Public        Value[bool]
	// HeadBytes is the size of the smallest request head that matches the route, without an
	// API key.
	HeadBytes int64
}

// Part is one service of a route with its relative weight.
type Part struct {
	At      Place
	Service Value[string]
	Weight  Value[float64]
}

// Service is a service of a Draft.
type Service struct {
	At              Place
	Name            Value[string]
	HealthPath      Value[string]
	ConnectionLimit Value[int64]
	ColdRate        Value[float64]
}

// Workspace is a workspace of a Draft.
type Workspace struct {
	At         Place
	Name       Value[string]
	Importance Value[int64]
	Keys       []Key
	// Incomplete reports that keys could not be read, so that there may be more of them.
	Incomplete bool
}

// Key is an API key. It holds the hash only, so that no output can contain the key.
type Key struct {
	At   Place
	Hash [sha256.Size]byte
	// Empty reports that the key has no characters but spaces.
	Empty bool
	// Unsendable reports that no request can carry the key: it begins or ends with a space
	// or contains control characters.
	Unsendable bool
	// HeadBytes is the size that the key adds to the head of a request.
	HeadBytes int64
}

// Limits are the limits of a Draft.
type Limits struct {
	HeaderBytes   Value[int64]
	BodyBytes     Value[int64]
	HeaderTimeout Value[time.Duration]
	IdleTimeout   Value[time.Duration]
}

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Invalid means that the store or the entries refuse the file.
	Invalid Kind = "error"
	// NoEffect means that an item can never take effect.
	NoEffect Kind = "no-effect"
	// Contradiction means that two values contradict each other.
	Contradiction Kind = "contradiction"
)

// Finding is one result of a check. Its text contains no API key.
type Finding struct {
	File string `json:"file"`
	Place
	Kind Kind   `json:"kind"`
	Text string `json:"text"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Kind, f.Text)
}

// audit collects the findings of one file.
type audit struct {
	file     string
	findings []Finding
}

func (a *audit) add(at Place, kind Kind, format string, args ...any) {
	a.findings = append(a.findings, Finding{File: a.file, Place: at, Kind: kind, Text: fmt.Sprintf(format, args...)})
}

// Merge adds the findings of a check to those of reading the same file. A value that could
// not be read is not reported a second time.
func Merge(reading, checks []Finding) (all []Finding) {
	unread := map[Place]bool{}
	for _, f := range reading {
		unread[f.Place] = true
	}
	all = slices.Clone(reading)
	for _, f := range checks {
		if !unread[f.Place] {
			all = append(all, f)
		}
	}
	Sort(all)
	return all
}

// Sort orders findings by position.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
