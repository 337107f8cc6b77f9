// Package logwriter writes log lines without making their writers wait. Lines that
// come faster than the output takes them are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer is an io.Writer in front of a slower one. Each Write is one line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	ended   chan struct{}
}

// New returns a writer that holds up to size lines for out.
func New(out io.Writer, size int) *Writer {
	r := &Writer{out: out, lines: make(chan []byte, size), ended: make(chan struct{})}
	go r.run()
	return r
}

// Write implements io.Writer. It never blocks.
func (r *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
		r.total.Add(1)
	}
	return len(p), nil
}

// Dropped returns the lines dropped so far.
func (r *Writer) Dropped() int64 { return r.total.Load() }

func (r *Writer) run() {
	defer close(r.ended)
	for line := range r.lines {
		if _, err := r.out.Write(line); err != nil {
			// There is nowhere else to tell.
			r.dropped.Add(1)
			r.total.Add(1)
			continue
		}
		if n := r.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(r.out, `{"@level":"warn","@message":"Log lines dropped.","@module":"samphire.recorder","event":"dropped","lines":%d}`+"\n", n)
		}
	}
}

// Close writes what is held, for at most limit. Nothing may be written after it.
func (r *Writer) Close(limit time.Duration) {
	close(r.lines)
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-r.ended:
	case <-t.C:
	}
}
