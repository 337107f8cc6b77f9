package commander

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSecondSignalEndsStop guards against a second SIGTERM that ends a process at once
// which still has requests to answer.
func TestSecondSignalEndsStop(t *testing.T) {
	is := is.New(t)
	ports := make([]any, 0, 5)
	for range cap(ports) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		is.NoErr(l.Close())
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, `{"node": "e1", "zone": "a",
 "listen": {"front": "127.0.0.1:%d", "ready": "127.0.0.1:%d", "control": "127.0.0.1:%d", "directory": "127.0.0.1:%d"},
 "seeds": [], "bounds": ["grace-s=3"], "provider": {"address": "127.0.0.1:%d"}}`, ports...), 0o600))
	code := make(chan int, 1)
	go func() { code <- Run([]string{"--settings", file, "--log-level", "off"}, io.Discard) }()
	status := func() (int, error) {
		resp, err := http.Post(fmt.Sprintf("http://127.0.0.1:%d/1", ports[0]), "", http.NoBody)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for begin := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if got, err := status(); err == nil {
			is.Equal(got, http.StatusServiceUnavailable) // no configuration yet
			break
		}
		is.True(time.Since(begin) < 10*time.Second)
	}
	start := time.Now()
	for range 3 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		time.Sleep(200 * time.Millisecond)
		got, err := status()
		is.NoErr(err)
		is.Equal(got, http.StatusServiceUnavailable)
	}
	is.Equal(<-code, exitOK)
	is.True(time.Since(start) >= 1500*time.Millisecond)
	is.True(time.Since(start) < 3*time.Second)
}

// TestSignalAtExitKillsProcess guards against a process that ends by a signal, and not with
// its exit code, since the signal comes before or after it is waited for.
func TestSignalAtExitKillsProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(Run([]string{"--settings", filepath.Join(t.TempDir(), "none.json")}, io.Discard), exitSettings)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		is.NoErr(syscall.Kill(os.Getpid(), s))
	}
	time.Sleep(100 * time.Millisecond)
}
