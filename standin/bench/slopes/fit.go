// Package slopes measures what one process of the system costs at several
// sizes and calculates its cost at the target size. docs/CAPACITY.md is made
// from its figures.
//
// Each measurement gives Slopes: points at three sizes or more, a straight
// line fitted to them, and the cost at the target size next to its budget.
package slopes

import (
	"fmt"
	"strconv"

	"chivespindle.example/core/failure"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is one cost, measured at several sizes.
type Slope struct {
	// Name says what was measured, Of what the size counts, Unit the unit of
	// the value. None of them contains spaces.
	Name, Of, Unit string
	Points         []Point
	// Target is the size at the target. It is 0 if the measured sizes are too
	// far from it to extrapolate.
	Target float64
	// Budget is what a node may spend on all control tasks, in the same unit. It
	// is 0 if there is no budget for this cost.
	Budget float64
}

// Line is a straight line fitted to measured points.
type Line struct {
	Base    float64 // at size 0
	PerUnit float64 // per unit of size
}

// At returns the line's value at size.
func (l Line) At(size float64) float64 { return l.Base + l.PerUnit*size }

// Fit returns the least-squares line through points. It returns
// failure.Invalid for fewer than two different sizes.
func Fit(points []Point) (Line, error) {
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / float64(len(points))
		meanValue += p.Value / float64(len(points))
	}
	var spread, common float64
	for _, p := range points {
		spread += (p.Size - meanSize) * (p.Size - meanSize)
		common += (p.Size - meanSize) * (p.Value - meanValue)
	}
	if spread == 0 {
		return Line{}, failure.Invalid.New("a line needs two different sizes, got %d points", len(points))
	}
	slope := common / spread
	return Line{Base: meanValue - slope*meanSize, PerUnit: slope}, nil
}

// Source says how a cost at the target was obtained.
type Source string

// Sources of a cost at the target.
const (
	Measured   Source = "measured"   // measured at the target size
	Fitted     Source = "fitted"     // extrapolated with the fitted line
	Calculated Source = "worked_out" // calculated from other values
)

// AtTarget returns the cost at the target: the measured value if one of the
// points has the target size, otherwise that of the fitted line.
func (s Slope) AtTarget() (float64, Source, error) {
	for _, p := range s.Points {
		if p.Size == s.Target {
			return p.Value, Measured, nil
		}
	}
	line, err := Fit(s.Points)
	return line.At(s.Target), Fitted, err
}

// Lines returns the program's output: a line of key=value pairs for each point
// and one for the fit.
func (s Slope) Lines() ([]string, error) {
	line, err := Fit(s.Points)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, p := range s.Points {
		lines = append(lines, fmt.Sprintf("capacity=%s size=%.0f of=%s value=%s unit=%s", s.Name, p.Size, s.Of, formatValue(p.Value), s.Unit))
	}
	fit := fmt.Sprintf("capacity=%s slope_per_unit=%s base=%s of=%s unit=%s", s.Name, formatValue(line.PerUnit), formatValue(line.Base), s.Of, s.Unit)
	if s.Target == 0 {
		return append(lines, fit), nil
	}
	at, source, err := s.AtTarget()
	if err != nil {
		return nil, err
	}
	return append(lines, fit+fmt.Sprintf(" target_size=%.0f", s.Target)+atTarget(at, source, s.Budget)), nil
}

func atTarget(at float64, source Source, budget float64) string {
	text := fmt.Sprintf(" at_target=%s from=%s", formatValue(at), source)
	if budget > 0 {
		text += fmt.Sprintf(" budget=%s share=%.2f", formatValue(budget), at/budget)
	}
	return text
}

// Figure is a cost that is calculated from other values.
type Figure struct {
	Name, Unit string
	At         float64 // at the target
	Budget     float64 // 0: none
	// How is the calculation, without spaces.
	How string
}

// String returns the line that the program prints.
func (f Figure) String() string {
	return fmt.Sprintf("capacity=%s unit=%s", f.Name, f.Unit) + atTarget(f.At, Calculated, f.Budget) + " how=" + f.How
}

// formatValue formats a value with four significant digits and no exponent.
func formatValue(v float64) string {
	const digits, bits = 4, 64
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', digits, bits), bits)
	if err != nil {
		rounded = v
	}
	return strconv.FormatFloat(rounded, 'f', -1, bits)
}
