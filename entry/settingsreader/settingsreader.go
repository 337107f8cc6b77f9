// Package settingsreader reads the settings of one entry and checks each of them.
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

// Settings are the settings of one entry. The YAML file, the environment and
// flags set them, each over the one before.
type Settings struct {
	ID          string `yaml:"id"`
	Environment string `yaml:"environment"`
	Domain      string `yaml:"failure-domain"`
	// CallerAddress, LinkAddress and AdminAddress are IP numbers with ports.
	CallerAddress string `yaml:"caller-address"`
	LinkAddress   string `yaml:"link-address"`
	AdminAddress  string `yaml:"admin-address"`
	// StoreAddresses are base URLs of the store's JSON gateway.
	StoreAddresses []string `yaml:"store-addresses"`
	// VMListAddress is the URL of the platform's list of VMs. It may be empty.
	VMListAddress string `yaml:"vm-list-address"`
	// Peers are link addresses of entries to ask when the store is out at start.
	Peers []string `yaml:"peers"`
	// HookAddress is a URL that hears of ended version moves. It may be empty.
	HookAddress string `yaml:"hook-address"`
	Policy      string `yaml:"policy"`
	LogLevel    string `yaml:"log-level"`
	LogJSON     bool   `yaml:"log-json"`
	// Seed makes random choices repeatable. Zero draws one.
	Seed uint64 `yaml:"seed"`
}

// Defaults returns the settings that a file need not give.
func Defaults() Settings {
	return Settings{AdminAddress: "127.0.0.1:9090", Policy: chooser.ExpectedCompletion{}.String(), LogLevel: "info"}
}

// Read reads a file over the defaults. Problems carry line and column.
func Read(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s = Defaults()
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return Settings{}, placed(file, err)
	}
	return s, nil
}

func placed(file string, err error) error {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil && ye.GetToken().Position != nil {
		p := ye.GetToken().Position
		return fmt.Errorf("settings: %s:%d:%d: %s", file, p.Line, p.Column, ye.GetMessage())
	}
	return fmt.Errorf("settings: %s: %w", file, err)
}

// ErrField says what is wrong with one setting.
type ErrField struct{ Field, Rule string }

func (e ErrField) Error() string { return fmt.Sprintf("setting %s %s", e.Field, e.Rule) }

// Check returns every broken rule, joined.
func (s Settings) Check() error {
	var all []error
	fail := func(field, format string, args ...any) {
		all = append(all, ErrField{Field: field, Rule: fmt.Sprintf(format, args...)})
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
		fail("id", "%q must not hold slashes or spaces", s.ID)
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
	if _, err := chooser.ParsePolicy(s.Policy); err != nil {
		fail("policy", "is wrong: %v", err)
	}
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		fail("log-level", "%q must be one of trace, debug, info, warn, error, off", s.LogLevel)
	}
	return errors.Join(all...)
}

func checkAddress(name, value string, fail func(field, format string, args ...any)) {
	if value == "" {
		fail(name, "is missing")
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		fail(name, "%q must be an IP number with a port, such as 10.0.0.1:8080", value)
	}
}

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

func checkURL(name, value string, fail func(field, format string, args ...any)) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		fail(name, "%q must be a URL such as http://10.0.0.9:2379", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		fail(name, "%q must name its host by an IP number", value)
	}
}
