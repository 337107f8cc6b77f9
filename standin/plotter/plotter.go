// Package plotter writes measured calls as CSV and plots their latency over time.
package plotter

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"samphiremux/standin/loadtester"
)

const (
	width     = 24 * vg.Centimeter
	height    = 12 * vg.Centimeter
	dotRadius = vg.Length(0.6)
)

// Samples collects measured calls. Add may be called concurrently.
type Samples struct {
	mu  sync.Mutex
	all []loadtester.Sample
}

// Add adds one call.
func (s *Samples) Add(sample loadtester.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, sample)
}

// WriteCSV writes a CSV file with a header and one line per call.
func (s *Samples) WriteCSV(file string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write CSV file %s: %w", file, err)
		}
	}()
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	if err := w.Write([]string{"at-seconds", "service", "id", "latency-seconds", "result"}); err != nil {
		return err
	}
	for _, sample := range s.all {
		line := []string{seconds(sample.At), sample.Service, sample.ID, seconds(sample.Latency), loadtester.ResultName(sample.Result)}
		if err := w.Write(line); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 6, 64) }

// Plot writes a PNG file with the latency of each call over time.
func (s *Samples) Plot(file string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("plot latency to %s: %w", file, err)
		}
	}()
	points := make(plotter.XYs, len(s.all))
	for i, sample := range s.all {
		points[i] = plotter.XY{X: sample.At.Seconds(), Y: float64(sample.Latency.Microseconds()) / 1000}
	}
	p := plot.New()
	p.Title.Text = "Latency of calls"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "latency (ms)"
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: scatter.Color, Radius: dotRadius, Shape: draw.CircleGlyph{}}
	p.Add(scatter, plotter.NewGrid())
	return p.Save(width, height, file)
}
