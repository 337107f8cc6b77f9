package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"samphiremux/pkg/encoder"
	"samphiremux/standin/caller"
	"samphiremux/standin/generator"
	"samphiremux/standin/loadtester"
	"samphiremux/standin/measurer"
	"samphiremux/standin/plotter"
	"samphiremux/standin/simulator"
)

type loadCommand struct {
	Scenario string `arg:"positional,required" help:"YAML file"`
	CSV      string `arg:"--csv" help:"file for one line per call"`
	Picture  string `arg:"--picture" help:"PNG file of latency over time"`
}

// scenario is the format of a load file.
type scenario struct {
	Entries  []string       `yaml:"entries"`
	Callers  int            `yaml:"callers"`
	WarmUp   string         `yaml:"warm"`
	Length   string         `yaml:"length"`
	Seed     uint64         `yaml:"seed"`
	Services []workloadSpec `yaml:"services"`
}

// workloadSpec is the load on one service in a load file.
type workloadSpec struct {
	Name      string  `yaml:"name"`
	Path      string  `yaml:"path"`
	PerSecond float64 `yaml:"per-second"`
	Writes    float64 `yaml:"writes"`
	Keyed     bool    `yaml:"keyed"`
	Mean      string  `yaml:"work-mean"`
	P99       string  `yaml:"work-p99"`
}

// callerFactory makes callers that know the entries of a scenario.
type callerFactory struct {
	seeds []netip.AddrPort
	seed  uint64
}

// NewCaller implements loadtester.CallerFactory.
func (f callerFactory) NewCaller(index int) *caller.Caller {
	return caller.New(dialTCP, f.seeds, f.seed+uint64(index))
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

func (c *loadCommand) run(ctx context.Context, out, errOut io.Writer) int {
	callers, load, err := readScenario(c.Scenario)
	if err != nil {
		return fail(errOut, err)
	}
	var samples plotter.Samples
	load.OnSample = samples.Add
	summary := loadtester.Drive(ctx, callers, load)
	_, _ = fmt.Fprintln(out, summary.Line())
	for _, q := range []float64{50, 90, 99, 99.9} {
		_, _ = fmt.Fprintf(out, "p%-5v %v\n", q, summary.Quantile(q))
	}
	if c.CSV != "" {
		err = errors.Join(err, samples.WriteCSV(c.CSV))
	}
	if c.Picture != "" {
		err = errors.Join(err, samples.Plot(c.Picture))
	}
	if err != nil {
		return fail(errOut, err)
	}
	if summary.Counts[loadtester.ResultName(caller.Wrong{})] > 0 {
		return exitFailed
	}
	return exitOK
}

// readScenario reads a load file. Fields that it leaves out keep their defaults.
func readScenario(file string) (callers callerFactory, load loadtester.Scenario, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("scenario %s: %w", file, err)
		}
	}()
	data, err := os.ReadFile(file)
	if err != nil {
		return callers, load, err
	}
	spec := scenario{Callers: 8, WarmUp: "1s", Length: "10s", Seed: 1}
	if err := yaml.UnmarshalWithOptions(data, &spec, yaml.Strict()); err != nil {
		return callers, load, err
	}
	for _, e := range spec.Entries {
		a, err := netip.ParseAddrPort(e)
		if err != nil {
			return callers, load, err
		}
		callers.seeds = append(callers.seeds, a)
	}
	callers.seed = spec.Seed
	load = loadtester.Scenario{Callers: spec.Callers, Seed: spec.Seed}
	var errs [2]error
	load.WarmUp, errs[0] = time.ParseDuration(spec.WarmUp)
	load.Length, errs[1] = time.ParseDuration(spec.Length)
	if err := errors.Join(errs[:]...); err != nil {
		return callers, load, err
	}
	for _, p := range spec.Services {
		workload, err := p.workload()
		if err != nil {
			return callers, load, err
		}
		load.Workloads = append(load.Workloads, workload)
	}
	return callers, load, nil
}

func (p workloadSpec) workload() (workload loadtester.Workload, err error) {
	mean, err := time.ParseDuration(p.Mean)
	if err != nil {
		return workload, err
	}
	p99, err := time.ParseDuration(p.P99)
	if err != nil {
		return workload, err
	}
	return loadtester.Workload{
		Service: p.Name, Path: p.Path, WriteShare: p.Writes, Keyed: p.Keyed,
		Arrivals: generator.Arrivals{PerSecond: p.PerSecond}, Work: generator.NewLognormal(mean, p99),
	}, nil
}

type overheadCommand struct {
	PerSecond float64       `arg:"--per-second" default:"1000" help:"calls per second, through the entry and directly"`
	Length    time.Duration `arg:"--length" default:"10s" help:"duration of the measurement"`
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of all random choices"`
}

func (c *overheadCommand) run(ctx context.Context, out, errOut io.Writer) int {
	if err := measurer.LatencyOverhead(ctx, c.PerSecond, c.Length, c.Seed, out); err != nil {
		return fail(errOut, err)
	}
	return exitOK
}

type inForceCommand struct {
	Entries int  `arg:"--entries" default:"18" help:"number of entries"`
	Applies int  `arg:"--applies" default:"50" help:"number of documents to apply"`
	Outage  bool `arg:"--outage" help:"take the store down right after each document"`
}

func (c *inForceCommand) run(ctx context.Context, out, errOut io.Writer) int {
	if err := measurer.ConfigPropagation(ctx, c.Entries, c.Applies, c.Outage, out); err != nil {
		return fail(errOut, err)
	}
	return exitOK
}

type capacityCommand struct{}

func (*capacityCommand) run(out, errOut io.Writer) int {
	if err := measurer.ControlPlaneCost(out); err != nil {
		return fail(errOut, err)
	}
	return exitOK
}

type sampleCommand struct {
	Deployment  string `arg:"positional,required" help:"trust or association"`
	Environment string `arg:"--environment" default:"trial" help:"environment"`
}

func (c *sampleCommand) run(out, errOut io.Writer) int {
	for _, d := range []simulator.Deployment{simulator.Trust(), simulator.Association()} {
		if d.Name != c.Deployment {
			continue
		}
		data, err := encoder.Encode(d.Document(c.Environment))
		if err != nil {
			return fail(errOut, err)
		}
		_, _ = out.Write(data)
		return exitOK
	}
	return fail(errOut, fmt.Errorf("deployment %q does not exist; deployments are trust, association", c.Deployment))
}
