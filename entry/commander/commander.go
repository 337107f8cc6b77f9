// Package commander is the command line of samphire-entry: it parses the flags,
// reads the settings and runs the entry until a signal.
package commander

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/adminserver"
	"samphiremux/entry/allotter"
	"samphiremux/entry/assembler"
	"samphiremux/entry/chooser"
	"samphiremux/entry/coordinator"
	"samphiremux/entry/settingsreader"
	"samphiremux/pkg/flagparser"
	"samphiremux/pkg/versioner"
	"samphiremux/platform/storeadapter"
)

// Exit codes.
const (
	exitOK       = flagparser.ExitOK
	exitFailed   = flagparser.ExitFailed
	exitUsage    = flagparser.ExitUsage
	exitSettings = 3 // the settings are unreadable or invalid
)

const (
	// adminHeaderTimeout bounds the time to read the headers of an admin request.
	adminHeaderTimeout = 5 * time.Second
	// adminTimeout bounds the time to read an admin request, and to write its response.
	// Without it a caller that reads nothing keeps its connection.
	adminTimeout = 10 * time.Second
	// adminIdleTimeout exceeds the usual interval of scrapes.
	adminIdleTimeout = 2 * time.Minute
	// hookTimeout bounds one call to the hook.
	hookTimeout = 5 * time.Second
	// shutdownTimeout bounds a graceful shutdown.
	shutdownTimeout = 45 * time.Second
)

// arguments are the flags and their environment variables.
type arguments struct {
	Settings string `arg:"--settings,env:SAMPHIRE_SETTINGS" help:"YAML file with the settings"`
	ID       string `arg:"--id,env:SAMPHIRE_ID" help:"overrides the setting id"`
	Domain   string `arg:"--failure-domain,env:SAMPHIRE_FAILURE_DOMAIN" help:"overrides the setting failure-domain"`
	Caller   string `arg:"--caller-address,env:SAMPHIRE_CALLER_ADDRESS" help:"overrides the setting caller-address"`
	Link     string `arg:"--link-address,env:SAMPHIRE_LINK_ADDRESS" help:"overrides the setting link-address"`
	Admin    string `arg:"--admin-address,env:SAMPHIRE_ADMIN_ADDRESS" help:"overrides the setting admin-address"`
	Policy   string `arg:"--policy,env:SAMPHIRE_POLICY" help:"overrides the setting policy"`
	Memory   int    `arg:"--memory-mb,env:SAMPHIRE_MEMORY_MB" help:"overrides the setting memory-mb"`
	MaxFDs   int    `arg:"--max-descriptors,env:SAMPHIRE_MAX_DESCRIPTORS" help:"overrides the setting max-descriptors"`
	LogLevel string `arg:"--log-level,env:SAMPHIRE_LOG_LEVEL" help:"overrides the setting log-level"`
	LogJSON  bool   `arg:"--log-json,env:SAMPHIRE_LOG_JSON" help:"write log lines as JSON"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "samphire-entry is a load balancer: it forwards callers' requests to backend servers."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return versioner.BuildString("samphire-entry") }

// Run runs the command with args until it is done or a signal ends it, and returns
// the exit code. Log lines and errors go to errOut.
func Run(args []string, out, errOut io.Writer) int {
	var a arguments
	if _, code, done := flagparser.Parse(flagparser.CommandLine{Program: "samphire-entry", Args: args, Out: out, Err: errOut}, &a); done {
		return code
	}
	s, err := a.settings()
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitSettings
	}
	if a.Check {
		_, _ = fmt.Fprintln(out, "settings are good")
		return exitOK
	}
	if err := serve(s, errOut); err != nil {
		_, _ = fmt.Fprintln(errOut, "samphire-entry:", err)
		return exitFailed
	}
	return exitOK
}

// settings reads the settings file, if there is one, and overrides it with the
// environment variables and flags. It returns an error if a setting is invalid.
func (a arguments) settings() (s settingsreader.Settings, err error) {
	s = settingsreader.Defaults()
	if a.Settings != "" {
		if s, err = settingsreader.Read(a.Settings); err != nil {
			return s, err
		}
	}
	for _, o := range []struct {
		target *string
		value  string
	}{
		{&s.ID, a.ID},
		{&s.Domain, a.Domain},
		{&s.CallerAddress, a.Caller},
		{&s.LinkAddress, a.Link},
		{&s.AdminAddress, a.Admin},
		{&s.Policy, a.Policy},
		{&s.LogLevel, a.LogLevel},
	} {
		if o.value != "" {
			*o.target = o.value
		}
	}
	s.MemoryMB, s.MaxDescriptors = cmp.Or(a.Memory, s.MemoryMB), cmp.Or(a.MaxFDs, s.MaxDescriptors)
	s.LogJSON = s.LogJSON || a.LogJSON
	return s, s.Check()
}

// serve runs the entry and its admin server until SIGINT or SIGTERM, and then shuts
// them down.
func serve(s settingsreader.Settings, logTo io.Writer) (err error) {
	log := hclog.New(&hclog.LoggerOptions{
		Name: "samphire", Level: hclog.LevelFromString(s.LogLevel), Output: logTo, JSONFormat: s.LogJSON,
	})
	// net/http logs some warnings about connections to the standard logger.
	stdlog.SetOutput(log.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listeners := make([]net.Listener, 0, 3)
	for _, address := range []string{s.CallerAddress, s.LinkAddress, s.AdminAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
	}
	limits := allotter.New(int64(s.MemoryMB)<<20, s.MaxDescriptors)
	debug.SetGCPercent(allotter.GCPercent)
	if heap := limits.HeapBytes(); heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	deps := dependencies(s, listeners[0], listeners[1], log)
	deps.Bounds = assembler.NewBounds(limits)
	e := assembler.Start(context.Background(), identity(s), deps)
	admin := &http.Server{
		Handler: adminserver.Handler(e.Node()), ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
	}
	adminConns := e.BoundAdmin(admin, listeners[2])
	go func() { _ = admin.Serve(adminConns) }()
	log.Info("Entry runs.", "id", s.ID, "caller-address", s.CallerAddress)
	<-ctx.Done()
	log.Info("Entry is shutting down; it serves until its last locate answers expire.")
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	e.Stop(stopCtx)
	return admin.Close()
}

// identity returns the entry's identity. The settings must have passed Check.
func identity(s settingsreader.Settings) assembler.Identity {
	policy, _ := chooser.ParsePolicy(s.Policy)
	seed := s.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return assembler.Identity{
		ID: s.ID, Domain: s.Domain, Environment: s.Environment, Address: netip.MustParseAddrPort(s.CallerAddress),
		LinkAddress: netip.MustParseAddrPort(s.LinkAddress), Seeds: s.Peers, Policy: policy, Seed: seed,
	}
}

// dependencies returns the dependencies of an entry in production.
func dependencies(s settingsreader.Settings, callerListener, linkListener net.Listener, log hclog.Logger) assembler.Dependencies {
	var dialer net.Dialer
	deps := assembler.Dependencies{
		Store:          storeadapter.New(nil, s.StoreAddresses...),
		CallerListener: callerListener, LinkListener: linkListener, Now: time.Now, Log: log,
		DialServer: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", a.String())
		},
		DialPeer: func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) },
	}
	if s.VMListAddress != "" {
		deps.ListVMs = func(ctx context.Context) ([]assembler.VM, error) { return listVMs(ctx, s.VMListAddress) }
	}
	if s.HookAddress != "" {
		deps.Announce = func(ctx context.Context, a coordinator.Announcement) error { return announce(ctx, s.HookAddress, a) }
	}
	return deps
}

// listVMs reads the platform's list of VMs from the URL address.
func listVMs(ctx context.Context, address string) (vms []assembler.VM, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		VMs []struct {
			Address string `json:"address"`
			Leaving bool   `json:"leaving"`
		} `json:"vms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, fmt.Errorf("decoding the list of VMs: %w", err)
	}
	for _, vm := range body.VMs {
		vms = append(vms, assembler.VM{Address: vm.Address, Leaving: vm.Leaving})
	}
	return vms, nil
}

// announce posts an announcement as JSON to the hook at the URL address. A status
// of 300 or above is an error.
func announce(ctx context.Context, address string, a coordinator.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, hookTimeout)
	defer cancel()
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("hook answered with status %d", resp.StatusCode)
	}
	return nil
}
