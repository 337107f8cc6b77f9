package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"samphiremux/platform/storeadapter"
	"samphiremux/standin/demonstrator"
	"samphiremux/standin/platformemulator"
	"samphiremux/standin/responder"
)

// readHeaderTimeout bounds the time in which a client must send its request header.
const readHeaderTimeout = 5 * time.Second

type demoCommand struct {
	Entries int           `arg:"--entries" default:"4" help:"number of entries per deployment"`
	Length  time.Duration `arg:"--length" default:"8s" help:"duration of the load per deployment"`
	Seed    uint64        `arg:"--seed" default:"1" help:"seed of all random choices"`
	Verbose bool          `arg:"-v,--verbose" help:"log what entries do"`
}

func (c *demoCommand) run(ctx context.Context, out, errOut io.Writer) int {
	log := hclog.NewNullLogger()
	if c.Verbose {
		log = hclog.New(&hclog.LoggerOptions{Name: "demo", Output: errOut, Level: hclog.Info})
	}
	result, err := demonstrator.Run(ctx, demonstrator.Options{Entries: c.Entries, Length: c.Length, Seed: c.Seed, Log: log}, out)
	if err != nil {
		return fail(errOut, err)
	}
	if !result.OK() {
		_, _ = fmt.Fprintln(out, "FAILED: an answer was wrong, cut or doubled")
		return exitFailed
	}
	_, _ = fmt.Fprintln(out, "OK: no answer was wrong, cut or doubled")
	return exitOK
}

type platformCommand struct {
	Address string        `arg:"--address" default:"127.0.0.1:2379" help:"IP address and port"`
	Lag     time.Duration `arg:"--lag" default:"2s" help:"time by which the list of VMs lags behind"`
}

// run serves the store's JSON gateway under /v1/ and the list of VMs at /vms. PUT /vms
// replaces the list, PUT /faults the injected faults, PUT /copy copies the store, PUT
// /restore brings it back from the last copy, and GET /calls returns the number of store
// calls by kind.
func (c *platformCommand) run(ctx context.Context, out, errOut io.Writer) int {
	store := platformemulator.NewStore()
	vms := platformemulator.NewVMList(c.Lag)
	mux := http.NewServeMux()
	faultHandler := platformemulator.NewFaultHandler(storeadapter.Handler(store))
	mux.Handle("/v1/", faultHandler)
	mux.Handle("GET /vms", vms)
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var list []platformemulator.VM
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		vms.Set(list)
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		if err := setFaults(store, faultHandler, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	var copied atomic.Pointer[platformemulator.Copy]
	mux.HandleFunc("PUT /copy", func(http.ResponseWriter, *http.Request) {
		c := store.Copy()
		copied.Store(&c)
	})
	mux.HandleFunc("PUT /restore", func(w http.ResponseWriter, _ *http.Request) {
		c := copied.Load()
		if c == nil {
			http.Error(w, "there is no copy to restore", http.StatusConflict)
			return
		}
		store.Restore(*c)
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(store.Calls())
	})
	return serveUntil(ctx, c.Address, mux, out, errOut)
}

// setFaults replaces all injected faults by those in the body of r.
func setFaults(store *platformemulator.Store, faultHandler *platformemulator.FaultHandler, r *http.Request) error {
	var body struct {
		Down         bool   `json:"down"`
		SlowBy       string `json:"slow-by"`
		LoseAnswers  int    `json:"lose-answers"`
		DelayWrites  int    `json:"delay-writes"`
		DelayBy      string `json:"delay-by"`
		BreakWatches bool   `json:"break-watches"`
		LapseLeases  bool   `json:"lapse-leases"`
		Compact      bool   `json:"compact"`
		// TurnAway holds client faults by IP address of the client.
		TurnAway map[netip.Addr]string `json:"turn-away"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return err
	}
	f := platformemulator.Faults{Down: body.Down, LoseAnswers: body.LoseAnswers, DelayWrites: body.DelayWrites}
	var err error
	if f.SlowBy, err = parseDuration(body.SlowBy); err != nil {
		return fmt.Errorf("slow-by: %w", err)
	}
	if f.DelayBy, err = parseDuration(body.DelayBy); err != nil {
		return fmt.Errorf("delay-by: %w", err)
	}
	clientFaults := map[netip.Addr]platformemulator.ClientFault{}
	for address, name := range body.TurnAway {
		if clientFaults[address], err = platformemulator.ParseClientFault(name); err != nil {
			return fmt.Errorf("turn-away of %s: %w", address, err)
		}
	}
	store.SetFaults(f)
	faultHandler.Set(clientFaults)
	if body.BreakWatches {
		store.BreakWatches()
	}
	if body.LapseLeases {
		store.ExpireLeases()
	}
	if body.Compact {
		store.Compact()
	}
	return nil
}

// parseDuration parses a duration. An empty text means zero.
func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

type backendCommand struct {
	Address string        `arg:"--address,required" help:"IP address and port"`
	Name    string        `arg:"--name,required" help:"name of the server"`
	Slots   int           `arg:"--slots" default:"2" help:"number of requests that run at a time"`
	Queue   int           `arg:"--queue" default:"64" help:"number of queued requests at which it sheds load"`
	WarmUp  time.Duration `arg:"--warm-up" default:"3s" help:"time that a cold server takes to warm up"`
	// RateLimit is nil if the server states no rate limit.
	RateLimit *float64 `arg:"--rate-limit" help:"rate limit that it states, in requests per second from all entries together"`
}

func (c *backendCommand) run(ctx context.Context, out, errOut io.Writer) int {
	server := responder.New(responder.Options{
		Name: c.Name, Slots: c.Slots, QueueLimit: c.Queue, WarmUp: c.WarmUp, Executions: responder.NewExecLog(),
	})
	server.TurnCold()
	if c.RateLimit != nil {
		server.SetRateLimit(*c.RateLimit)
	}
	return serveUntil(ctx, c.Address, server, out, errOut)
}

// serveUntil serves HTTP at an address until ctx ends.
func serveUntil(ctx context.Context, address string, h http.Handler, out, errOut io.Writer) int {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return fail(errOut, err)
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return fail(errOut, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_, _ = fmt.Fprintln(out, "serving at", address)
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		return fail(errOut, err)
	}
	return exitOK
}
