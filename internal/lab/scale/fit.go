package scale

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: what a figure was at a size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a straight line through points, by least squares.
type LinearFit struct {
	Base  float64 `json:"base"`  // at size 0
	Slope float64 `json:"slope"` // for each unit of the size
	// Off is how far the farthest point lies off it, as a part of the largest figure that was measured; 0: all lie on it.
	Off float64 `json:"off"`
}

// errPoints says that too little was measured for a slope.
var errPoints = errors.New("a slope wants points at three sizes or more")

// Fit lays a line through points at three sizes or more.
func FitLine(points []Point) (LinearFit, error) {
	sizes := map[float64]bool{}
	var xs, ys []float64
	most := 0.0
	for _, p := range points {
		sizes[p.X] = true
		xs, ys = append(xs, p.X), append(ys, p.Y)
		most = max(most, math.Abs(p.Y))
	}
	if len(sizes) < 3 {
		return LinearFit{}, errPoints
	}
	var l LinearFit
	l.Base, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if most > 0 {
			l.Off = max(l.Off, math.Abs(p.Y-l.At(p.X))/most)
		}
	}
	return l, nil
}

// At is what the line says for a size.
func (l LinearFit) At(x float64) float64 { return l.Base + l.Slope*x }
