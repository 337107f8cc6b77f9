package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Zones are the zones of the deployments.
var Zones = []string{"howrah", "salt-lake", "barasat"}

// Machine is an edge machine with the process of the deploy file.
type Machine struct {
	Name, IP, Zone               string
	Front, Ready, Directory, Ctl string
	program, file, log           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	Started time.Time
}

// MemoryMB is the memory limit of a machine.
const MemoryMB = 284

// freePorts returns free ports of an IP address.
func freePorts(ip string, n int) (ports []int) {
	var open []net.Listener
	for range n {
		l := Listen(ip)
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports
}

// NewMachines prepares machines with the addresses IP, IP + 1 and so on, their settings in
// a folder.
func NewMachines(program, folder, subnet string, n int, store string) (machines []*Machine) {
	var ports [][]int
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s.%d", subnet, 100+i)
		ports = append(ports, freePorts(ip, 5))
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[i][2]))
		}
	}
	for i := range n {
		ip, p := fmt.Sprintf("%s.%d", subnet, 100+i), ports[i]
		at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		zone := Zones[i%len(Zones)]
		m := &Machine{
			Name: fmt.Sprintf("edge-%s-%d", zone, i/len(Zones)+1), IP: ip, Zone: zone, Front: at(p[0]), Ready: at(p[1]), Ctl: at(p[2]), Directory: at(p[3]),
			program: program, file: filepath.Join(folder, fmt.Sprintf("settings-%d.json", i)), log: filepath.Join(folder, fmt.Sprintf("log-%d.txt", i)),
		}
		zones := map[string]string{}
		for _, z := range Zones {
			zones[z] = "bengal"
		}
		data, _ := json.MarshalIndent(map[string]any{
			"node": m.Name, "role": "entry", "instance-class": "edge", "serves": []string{"edge", "control", "directory"},
			"ip": ip, "zone": zone, "region": "bengal", "zones": zones,
			"listen":         map[string]string{"front": m.Front, "ready": m.Ready, "control": m.Ctl, "directory": m.Directory},
			"internal-ports": []int{p[4], p[4]}, "seeds": seeds, "bootstrap": true, "counts-as-loss": false,
			"limits":   map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": MemoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "platform", "entry": "directory", "heartbeat-ms": 1500,
			"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"},
			"fault-tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
			"bounds": []string{
				"seed-lag-s=3", "reuse-after-s=2", "touch-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000", "grace-s=6", "loss-slack-ms=200",
				"config-deadline-ms=2000", "rollback-slack-ms=250", "stretch-max-ms=5000", "budget-ratio=0.2", "budget-window-s=10", "budget-slack=60",
				"expose-share=0.1", "expose-slack=50", "rollback-ms=5000", "cold-multiplier=1.5", "cold-slack=5", "evac-ms=5000", "recover-s=15", "ttl_max_s=5", "probes-per-s=60",
			},
			"provider": map[string]any{"address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "retention-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
		}, "", " ")
		if err := os.WriteFile(m.file, data, 0o600); err != nil {
			Fail("settings: %v", err)
		}
		Log("machine %s: clients connect to %s", m.Name, m.Front)
		machines = append(machines, m)
	}
	return machines
}

// Start starts the machine's process.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Fail("log: %v", err)
	}
	cmd := exec.Command(m.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREMUX_BOOT=" + m.file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		Fail("start of %s: %v", m.Name, err)
	}
	m.cmd, m.Started, m.ended = cmd, time.Now(), make(chan struct{})
	ended := m.ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Ended returns a channel that is closed when the process has ended.
func (m *Machine) Ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// Stop stops the process as the platform does: SIGTERM, and SIGKILL after grace-s.
func (m *Machine) Stop() {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Ended():
	case <-time.After(6 * time.Second):
		m.Signal(syscall.SIGKILL)
		<-m.Ended()
	}
}

// Kill kills the process.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.Ended()
}

// ResidentBytes returns the memory of the process.
func (m *Machine) ResidentBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// IsReady asks for the machine's readiness.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// AwaitReady waits until the machine is ready.
func (m *Machine) AwaitReady() {
	for until := time.Now().Add(15 * time.Second); !m.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			Fail("%s is not ready", m.Name)
		}
	}
}
