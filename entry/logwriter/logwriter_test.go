package logwriter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/logwriter"
)

// TestStalledReaderBlocksNoWrite guards against log calls that block while the
// reader of the output is stalled: it writes more lines to an unread pipe than the
// buffer holds. Once the reader resumes, the output must report how many lines were
// dropped.
func TestStalledReaderBlocksNoWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		w := logwriter.New(writer, 8)
		start := time.Now()
		for i := range 100 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(w.Dropped() >= 100-9) // of 100 lines, 8 are in the buffer and one may be in the blocked write
		var got bytes.Buffer
		done := make(chan struct{})
		go func() {
			_, _ = io.Copy(&got, reader)
			close(done)
		}()
		w.Close(time.Second)
		_ = writer.Close()
		<-done
		is.True(strings.HasPrefix(got.String(), "line 0\n"))
		is.True(strings.Contains(got.String(), fmt.Sprintf(`"lines":%d`, w.Dropped())))
	})
}

// TestCloseDoesNotWaitForever guards against a process that hangs at its end: the
// output accepts nothing, so Close must return at its timeout.
func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		w := logwriter.New(writer, 8)
		_, _ = w.Write([]byte("a\n"))
		start := time.Now()
		w.Close(time.Second)
		is.Equal(time.Since(start), time.Second)
		_ = reader.Close()
		synctest.Wait()
	})
}

// TestWriteAfterClosePanics guards against a process that crashes at its exit because a
// task that has not ended yet still logs.
func TestWriteAfterClosePanics(t *testing.T) {
	is := is.New(t)
	var got bytes.Buffer
	w := logwriter.New(&got, 8)
	_, err := w.Write([]byte("a\n"))
	is.NoErr(err)
	w.Close(time.Second)
	_, err = w.Write([]byte("b\n"))
	is.NoErr(err)
	is.Equal(got.String(), "a\n")
}
