package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine.
	memoryMB = 284
	// crowdSize is the number of callers that send ahead.
	crowdSize = 2400
	// aheadRequests is what each of them sends, one in each aheadGap. A request has about
	// headBytes; header-bytes allows 16,384. All together send 0.4 of the machine's link.
	aheadRequests = 180
	aheadGap      = 50 * time.Millisecond
	headBytes     = 1000
	// crowdTime is the time for which they do.
	crowdTime = 20 * time.Second
)

// memory returns what counts toward the memory of the entry's machine, in kilobytes: what the process
// holds, and the bytes that its connections have received and it has not read.
func (e *entry) memory() (resident, unread int) {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &resident)
		}
	}
	ip := net.ParseIP(e.ip).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + ":"
	table, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return resident, 0
	}
	defer table.Close()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] != "01" {
			continue
		}
		if _, queue, ok := strings.Cut(fields[4], ":"); ok {
			n, _ := strconv.ParseInt(queue, 16, 64)
			unread += int(n)
		}
	}
	return resident, unread >> 10
}

// crowd plays callers that send many safe requests ahead and read no answers meanwhile, beside
// ordinary ones. The platform ends the process if it exceeds the memory of its machine.
func crowd(w *world, trouble bool) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < 2*crowdSize {
		return cannotDo, fmt.Errorf("too few file descriptors: %d", limit.Max)
	}
	w.configure(defaultRoutes(), map[string]int{"body-bytes": 64 << 20, "idle-timeout-ms": 15000})
	for _, service := range []string{"catalogue", "booking"} {
		for range 8 {
			if _, err := w.addServer(service, work); err != nil {
				return cannotDo, err
			}
		}
	}
	if _, err := w.addEntry(); err != nil {
		return cannotDo, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return cannotDo, err
	}
	time.Sleep(4 * time.Second)
	e := w.entries[0]
	end := time.Now().Add(crowdTime)
	var wait sync.WaitGroup
	var lost, ends atomic.Int64
	for range 40 {
		wait.Go(func() {
			for time.Now().Before(end) {
				w.order(e, end, &lost)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for range crowdSize {
		wait.Go(func() { w.sendAhead(e, end, trouble) })
	}
	most := 0
	for time.Now().Before(end) {
		resident, unread := e.memory()
		if resident+unread > most {
			most = resident + unread
			w.record.log("memory   %d kB: the process %d, received and not read %d", most, resident, unread)
		}
		if resident+unread > memoryMB<<10 {
			w.record.log("platform entry exceeds %d MB, is ended", memoryMB)
			ends.Add(1)
			e.signal(syscall.SIGKILL)
			<-e.exited
			time.Sleep(300 * time.Millisecond)
			if err := e.start(); err != nil {
				return cannotDo, err
			}
			most = 0
			time.Sleep(time.Second)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	w.record.log("process ended %d times; orders passed on to a backend and not answered: %d", ends.Load(), lost.Load())
	if lost.Load() > 3 {
		return broken, nil
	}
	return held, nil
}

// order sends orders on a kept connection until it ends, and counts one that a backend began to run
// and whose connection ended without an answer.
func (w *world) order(e *entry, end time.Time, lost *atomic.Int64) {
	c, err := net.DialTimeout("tcp", e.at(callerPort), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for time.Now().Before(end) {
		id := newID()
		w.record.log("sent     id=%s order from=%s", id, c.LocalAddr())
		_, _ = fmt.Fprintf(c, "POST /book/300/100 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nrack1", host, id)
		_ = c.SetReadDeadline(time.Now().Add(3500 * time.Millisecond))
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			w.record.log("answer   id=%s status=%d", id, resp.StatusCode)
			_, _ = reader.Discard(int(max(0, resp.ContentLength)))
			if resp.Close {
				return
			}
			continue
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			w.record.log("answer   id=%s none in time", id)
			return
		}
		ran := len(w.record.runsOf(id)) > 0
		w.record.log("answer   id=%s none, connection ended: %v; passed on: %v", id, err, ran)
		if ran {
			lost.Add(1)
		}
		return
	}
}

// sendAhead sends safe requests on one connection: many before the first is answered, or, without
// trouble, one.
func (w *world) sendAhead(e *entry, end time.Time, trouble bool) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", e.at(callerPort), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(end)
		requests := 1
		if trouble {
			requests = aheadRequests
		}
		cookie := strings.Repeat("c", headBytes)
		for range requests {
			time.Sleep(aheadGap)
			if _, err := fmt.Fprintf(c, "GET /look/50/1500 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nCookie: %s\r\n\r\n", host, newID(), cookie); err != nil {
				break
			}
		}
		time.Sleep(min(time.Until(end), 2*time.Second))
		_ = c.Close()
	}
}
