// Package settingsreader reads the settings of an entry from a YAML file and
// validates them.
package settingsreader

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/chooser"
)

// Settings are the settings of one entry. They come from the YAML file, the
// environment variables and the flags; a later source overrides an earlier one.
type Settings struct {
	// ID identifies the entry in its environment. It is the last part of the key
	// of its registration, and must not contain slashes or white space.
	ID string `yaml:"id"`
	// Environment is the environment to which the entry belongs.
	Environment string `yaml:"environment"`
	// Domain is the failure domain of the entry's VM.
	Domain string `yaml:"failure-domain"`
	// CallerAddress, LinkAddress and AdminAddress are the IP addresses and ports
	// to listen on for callers, other entries and operators.
	CallerAddress string `yaml:"caller-address"`
	LinkAddress   string `yaml:"link-address"`
	AdminAddress  string `yaml:"admin-address"`
	// StoreAddresses are the base URLs of the store's JSON gateway.
	StoreAddresses []string `yaml:"store-addresses"`
	// VMListAddress is the URL of the platform's list of VMs. If it is empty, the
	// list is not polled.
	VMListAddress string `yaml:"vm-list-address"`
	// Peers are link addresses of other entries, from which the document is
	// fetched if the store does not answer at start.
	Peers []string `yaml:"peers"`
	// HookAddress is the URL to which the end of a version move is posted. If it
	// is empty, nothing is posted.
	HookAddress string `yaml:"hook-address"`
	// Policy is the name of the policy that chooses a backend server.
	Policy string `yaml:"policy"`
	// MemoryMB is the memory of the VM in MiB, and MaxDescriptors the number of file
	// descriptors of the process. They bound what callers can make the entry hold. Zero
	// means that they are not known.
	MemoryMB       int `yaml:"memory-mb"`
	MaxDescriptors int `yaml:"max-descriptors"`
	// LogLevel is trace, debug, info, warn, error or off.
	LogLevel string `yaml:"log-level"`
	// LogJSON selects JSON instead of text for log lines.
	LogJSON bool `yaml:"log-json"`
	// Seed is the seed of the random source, for repeatable runs. If it is zero,
	// a random seed is used.
	Seed uint64 `yaml:"seed"`
}

// Defaults returns the settings with default values.
func Defaults() Settings {
	return Settings{AdminAddress: "127.0.0.1:9090", Policy: chooser.ExpectedCompletion{}.String(), LogLevel: "info"}
}

// Read reads a YAML file of settings; those that it does not set keep their
// defaults. Unknown settings are errors. Errors in the YAML name line and column.
func Read(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s = Defaults()
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return Settings{}, withPosition(file, err)
	}
	return s, nil
}

// withPosition adds the file and, if known, line and column to a YAML error.
func withPosition(file string, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil && yamlErr.GetToken().Position != nil {
		p := yamlErr.GetToken().Position
		return fmt.Errorf("settings: %s:%d:%d: %s", file, p.Line, p.Column, yamlErr.GetMessage())
	}
	return fmt.Errorf("settings: %s: %w", file, err)
}

// ErrInvalidSetting reports that the setting Field breaks a rule. Rule is a predicate, such
// as "is missing".
type ErrInvalidSetting struct{ Field, Rule string }

func (e ErrInvalidSetting) Error() string { return fmt.Sprintf("setting %s %s", e.Field, e.Rule) }

// Check validates the settings. It returns an ErrInvalidSetting for each broken rule,
// joined.
func (s Settings) Check() error {
	var errs []error
	fail := func(field, format string, args ...any) {
		errs = append(errs, ErrInvalidSetting{Field: field, Rule: fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ name, value string }{
		{"id", s.ID},
		{"environment", s.Environment},
		{"failure-domain", s.Domain},
	} {
		if f.value == "" {
			fail(f.name, "is missing")
		}
	}
	if strings.ContainsAny(s.ID, "/ \t\n") {
		fail("id", "%q must not contain slashes or white space", s.ID)
	}
	for _, f := range []struct{ name, value string }{
		{"caller-address", s.CallerAddress},
		{"link-address", s.LinkAddress},
		{"admin-address", s.AdminAddress},
	} {
		checkAddress(f.name, f.value, fail)
	}
	for i, peer := range s.Peers {
		checkAddress(fmt.Sprintf("peers[%d]", i), peer, fail)
	}
	s.checkURLs(fail)
	if s.MemoryMB < 0 || s.MaxDescriptors < 0 {
		fail("memory-mb or max-descriptors", "must not be negative")
	}
	if _, err := chooser.ParsePolicy(s.Policy); err != nil {
		fail("policy", "is invalid: %v", err)
	}
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		fail("log-level", "%q must be one of trace, debug, info, warn, error, off", s.LogLevel)
	}
	return errors.Join(errs...)
}

// checkAddress checks that value is an IP address with a port other than zero.
func checkAddress(name, value string, fail func(field, format string, args ...any)) {
	if value == "" {
		fail(name, "is missing")
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		fail(name, "%q must be an IP address with a port, such as 10.0.0.1:8080", value)
	}
}

// checkURLs checks all settings that are URLs.
func (s Settings) checkURLs(fail func(field, format string, args ...any)) {
	if len(s.StoreAddresses) == 0 {
		fail("store-addresses", "must list at least one address")
	}
	for i, address := range s.StoreAddresses {
		checkURL(fmt.Sprintf("store-addresses[%d]", i), address, fail)
	}
	if s.VMListAddress != "" {
		checkURL("vm-list-address", s.VMListAddress, fail)
	}
	if s.HookAddress != "" {
		checkURL("hook-address", s.HookAddress, fail)
	}
}

// checkURL checks that value is an HTTP or HTTPS URL whose host is an IP address.
func checkURL(name, value string, fail func(field, format string, args ...any)) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		fail(name, "%q must be a URL such as http://10.0.0.9:2379", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		fail(name, "%q must have an IP address as its host", value)
	}
}
