// Package logwriter writes log lines in the background, so that a slow output does
// not block the code that logs. When its buffer is full, lines are dropped and
// counted.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer is a buffered io.Writer in front of a slower one. Each Write is one line.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// unreported is the number of dropped lines that no log line has reported yet.
	unreported atomic.Int64
	// dropped is the number of lines dropped since the start.
	dropped atomic.Int64
	// closing is closed when no more lines are awaited, done when run has returned.
	closing, done chan struct{}
}

// New returns a writer that buffers up to size lines for out, and starts its
// goroutine.
func New(out io.Writer, size int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails: it copies p into the
// buffer, or drops it if the buffer is full.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.unreported.Add(1)
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far, including those that the
// output did not accept.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes the buffered lines to the output until the writer is closed and the buffer is
// empty.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					w.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes a line to the output. After the first line that the output accepts
// again, it writes a line with the number of lines dropped before.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		// The output is the only place for reports, so the line is only counted.
		w.unreported.Add(1)
		w.dropped.Add(1)
		return
	}
	if n := w.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"Log lines dropped.","@module":"samphire.recorder","event":"dropped","lines":%d}`+"\n", n)
	}
}

// Close waits until the buffered lines are written, for at most timeout. Lines that are
// written later may be lost.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
