package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// aheadCaller is a caller that sends a second safe request before the first one is answered.
type aheadCaller struct {
	path string
	size int
	// window is the size of its receive buffer, or zero for that of the system.
	window int
}

// aheadCallers are the kinds of callers. The sizes are at most the largest ones of the deployment:
// 540,000 bytes of a download, 9,000 of an ordinary answer.
var aheadCallers = []aheadCaller{
	{path: "/download/400/500000", size: 500_000},
	{path: "/look/400/9000", size: 9_000, window: 4 << 10},
}

// ahead plays callers that send a second safe request before the first one is answered, while the
// entry gets SIGTERM.
func ahead(w *world, trouble bool) (int, error) {
	w.configure(defaultRoutes(), nil)
	for range 6 {
		if _, err := w.addServer("catalogue", work); err != nil {
			return cannotDo, err
		}
	}
	for range 2 {
		if _, err := w.addEntry(); err != nil {
			return cannotDo, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return cannotDo, err
	}
	time.Sleep(4 * time.Second)
	var wait sync.WaitGroup
	lost := make([]atomic.Int64, len(aheadCallers))
	for i, caller := range aheadCallers {
		for range 12 {
			wait.Go(func() {
				if !w.askTwice(w.entries[0], caller) {
					lost[i].Add(1)
				}
			})
		}
	}
	time.Sleep(250 * time.Millisecond)
	if trouble {
		w.entries[0].signal(syscall.SIGTERM)
	}
	wait.Wait()
	code := held
	for i, caller := range aheadCallers {
		w.record.log("callers of %s: %d of 12 first requests without a whole answer", caller.path, lost[i].Load())
		if lost[i].Load() > 0 {
			code = broken
		}
	}
	return code, nil
}

// askTwice sends a request, and another one before the answer. It reports whether the first one
// was answered whole, as its server answered it.
func (w *world) askTwice(e *entry, caller aheadCaller) bool {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if caller.window == 0 {
			return nil
		}
		_ = raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, caller.window)
		})
		return err
	}}
	c, err := dialer.Dial("tcp", e.at(callerPort))
	if err != nil {
		return false
	}
	defer c.Close()
	first, second := newID(), newID()
	send := func(id, path string) {
		w.record.log("sent     id=%s path=%s from=%s", id, path, c.LocalAddr())
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", path, host, id)
	}
	send(first, caller.path)
	time.Sleep(100 * time.Millisecond)
	send(second, "/look/20/200")
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record.log("answer   id=%s none: %v", first, err)
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	w.record.log("answer   id=%s status=%d close=%v, %d of %d bytes, error: %v", first, resp.StatusCode, resp.Close, n, caller.size, err)
	return err == nil && resp.StatusCode == http.StatusOK && n == int64(caller.size)
}
