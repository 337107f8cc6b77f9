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

// TestStalledReaderBlocksNoWrite writes to a pipe that nobody reads. No write waits, and what was
// dropped is told once the reader is back.
func TestStalledReaderBlocksNoWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		r := logwriter.New(writer, 8)
		start := time.Now()
		for i := range 100 {
			_, _ = fmt.Fprintf(r, "line %d\n", i)
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(r.Dropped() >= 100-9) // one line may be on its way
		var got bytes.Buffer
		done := make(chan struct{})
		go func() {
			_, _ = io.Copy(&got, reader)
			close(done)
		}()
		r.Close(time.Second)
		_ = writer.Close()
		<-done
		is.True(strings.HasPrefix(got.String(), "line 0\n"))
		is.True(strings.Contains(got.String(), fmt.Sprintf(`"lines":%d`, r.Dropped())))
	})
}

func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		r := logwriter.New(writer, 8)
		_, _ = r.Write([]byte("a\n"))
		start := time.Now()
		r.Close(time.Second)
		is.Equal(time.Since(start), time.Second)
		_ = reader.Close()
		synctest.Wait()
	})
}
