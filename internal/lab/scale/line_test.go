package scale

import (
	"errors"
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name   string
		points []Point
		want   Line
		at100  float64
	}{
		{"on a line", []Point{{1, 5}, {2, 7}, {4, 11}}, Line{Base: 3, Slope: 2}, 203},
		{"one off", []Point{{0, 0}, {1, 3}, {2, 0}}, Line{Base: 1, Slope: 0, Off: 2.0 / 3}, 1},
		{"nothing", []Point{{1, 0}, {2, 0}, {3, 0}}, Line{}, 0},
		{"several at a size", []Point{{1, 1}, {1, 3}, {2, 4}, {3, 6}}, Line{Base: 0, Slope: 2, Off: 1.0 / 6}, 200},
	} {
		l, err := Fit(c.points)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
		if !near(l.Base, c.want.Base) || !near(l.Slope, c.want.Slope) || !near(l.Off, c.want.Off) || !near(l.At(100), c.at100) {
			t.Errorf("%s: %+v, want %+v; at 100 %v, want %v", c.name, l, c.want, l.At(100), c.at100)
		}
	}
}

func TestFitWantsThreeSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}}, {{1, 1}, {2, 2}}, {{1, 1}, {2, 2}, {2, 3}, {1, 4}}} {
		if _, err := Fit(points); !errors.Is(err, errPoints) {
			t.Errorf("%v: %v", points, err)
		}
	}
}
