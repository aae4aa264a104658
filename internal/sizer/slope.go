package sizer

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a straight line fitted to measurements.
type Slope struct {
	Name      string  `json:"name"`
	Quantity  string  `json:"of"`  // what is measured, with its unit
	GrowsWith string  `json:"per"` // what Point.Size counts
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	Gradient  float64 `json:"gradient"`
}

// FitLine fits a line to the points by least squares.
func FitLine(name, quantity, growsWith string, points []Point) Slope {
	sizes, values := make([]float64, len(points)), make([]float64, len(points))
	for i, point := range points {
		sizes[i], values[i] = point.Size, point.Value
	}
	intercept, gradient := stat.LinearRegression(sizes, values, nil, false)
	return Slope{Name: name, Quantity: quantity, GrowsWith: growsWith, Points: points, Intercept: intercept, Gradient: gradient}
}

// ValueAt returns the value of the line at a size.
func (slope Slope) ValueAt(size float64) float64 { return slope.Intercept + slope.Gradient*size }

// ExtrapolationFactor returns the ratio of a size to the largest one measured.
func (slope Slope) ExtrapolationFactor(size float64) float64 {
	largest := 0.0
	for _, point := range slope.Points {
		largest = max(largest, point.Size)
	}
	return size / largest
}

// Slopes is the content of the slopes file.
type Slopes struct {
	Slopes []Slope `json:"slopes"`
}

// Find returns the slope with the given name, or an error if there is none.
func (slopes Slopes) Find(name string) (Slope, error) {
	for _, slope := range slopes.Slopes {
		if slope.Name == name {
			return slope, nil
		}
	}
	return Slope{}, fmt.Errorf("slope %q does not exist in the slopes file", name)
}
