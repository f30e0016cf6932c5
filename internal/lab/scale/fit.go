package scale

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y of a figure at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// LinearFit is a straight line fitted through points by least squares.
type LinearFit struct {
	Base  float64 `json:"base"`  // value at size 0
	Slope float64 `json:"slope"` // increase for each unit of the size
	// Off is the distance of the farthest point from the line, as a share of the largest measured value; 0: all points
	// lie on it.
	Off float64 `json:"off"`
}

// errPoints reports that there are too few measurements for a slope.
var errPoints = errors.New("a slope needs points at three sizes or more")

// FitLine fits a line through points, which must be at three sizes or more.
func FitLine(points []Point) (LinearFit, error) {
	sizes := map[float64]bool{}
	var xs, ys []float64
	largest := 0.0
	for _, p := range points {
		sizes[p.X] = true
		xs, ys = append(xs, p.X), append(ys, p.Y)
		largest = max(largest, math.Abs(p.Y))
	}
	if len(sizes) < 3 {
		return LinearFit{}, errPoints
	}
	var l LinearFit
	l.Base, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if largest > 0 {
			l.Off = max(l.Off, math.Abs(p.Y-l.At(p.X))/largest)
		}
	}
	return l, nil
}

// At returns the value of the line at a size.
func (l LinearFit) At(x float64) float64 { return l.Base + l.Slope*x }
