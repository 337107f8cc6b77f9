package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of the largest upload of the deployment.
	uploadBytes = 360_000
	// readPause is the time for which a backend server that reads slowly reads nothing.
	readPause = 4200 * time.Millisecond
)

// slowread plays uploads to backend servers while their entry gets SIGTERM. The disruption is that
// the servers pause while they read. Without it they read at once and work for as long.
func slowread(w *world, trouble bool) (int, error) {
	w.configure(defaultRoutes(), nil)
	for range 4 {
		s, err := w.addServer("booking", work)
		if err != nil {
			return cannotDo, err
		}
		if trouble {
			s.readBody = readSlowly
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
	path := fmt.Sprintf("/photo/%d/100", readPause.Milliseconds())
	if trouble {
		path = "/photo/20/100"
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for range 6 {
		wait.Go(func() {
			if w.upload(w.entries[0], path) != http.StatusOK {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	w.entries[0].signal(syscall.SIGTERM)
	wait.Wait()
	w.record.log("uploads broken off: %d of 6", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly begins to work on a request, and pauses after the first part of its body.
func readSlowly(s *server, r *http.Request) {
	_, _ = io.CopyN(io.Discard, r.Body, 16<<10)
	s.w.record.log("server   %s at work on id=%s, reads on in %v", s.id, r.Header.Get("X-Request-Id"), readPause)
	time.Sleep(readPause)
}

// upload sends the largest body, and returns the status of the answer, or zero.
func (w *world) upload(e *entry, path string) int {
	id := newID()
	c, err := net.Dial("tcp", e.at(callerPort))
	if err != nil {
		return 0
	}
	defer c.Close()
	body := bytes.Repeat([]byte("p"), uploadBytes)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", path, host, id, len(body), body)
	w.record.log("sent     id=%s, %d bytes of body", id, len(body))
	_ = c.SetReadDeadline(time.Now().Add(9 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record.log("answer   id=%s none: %v", id, err)
		return 0
	}
	w.record.log("answer   id=%s status=%d", id, resp.StatusCode)
	return resp.StatusCode
}
