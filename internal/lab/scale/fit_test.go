package scale

import (
	"errors"
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name   string
		points []Point
		want   LinearFit
		at100  float64
	}{
		{"all points on a line", []Point{{1, 5}, {2, 7}, {4, 11}}, LinearFit{Base: 3, Slope: 2}, 203},
		{"one point off the line", []Point{{0, 0}, {1, 3}, {2, 0}}, LinearFit{Base: 1, Slope: 0, Off: 2.0 / 3}, 1},
		{"all values 0", []Point{{1, 0}, {2, 0}, {3, 0}}, LinearFit{}, 0},
		{"several points at one size", []Point{{1, 1}, {1, 3}, {2, 4}, {3, 6}}, LinearFit{Base: 0, Slope: 2,
			Off: 1.0 / 6}, 200},
	} {
		l, err := FitLine(c.points)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
		if !near(l.Base, c.want.Base) || !near(l.Slope, c.want.Slope) || !near(l.Off, c.want.Off) || !near(l.At(100),
			c.at100) {
			t.Errorf("%s: %+v, want %+v; at 100 %v, want %v", c.name, l, c.want, l.At(100), c.at100)
		}
	}
}

func TestFitLineNeedsThreeSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}}, {{1, 1}, {2, 2}}, {{1, 1}, {2, 2}, {2, 3}, {1, 4}}} {
		if _, err := FitLine(points); !errors.Is(err, errPoints) {
			t.Errorf("points %v: error %v, want errPoints", points, err)
		}
	}
}
