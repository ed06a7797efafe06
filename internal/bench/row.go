// Package bench demonstrates, loads and measures fleets of the project's own
// programs on loopback.
//
// Its scenarios start a fleet by way of package harness, put load and faults on
// it and print each figure as a row with its bound. All requests and faults are
// derived from a seed, which each row names.
package bench

import (
	"fmt"
	"io"
	"strconv"
)

// Bound is a limit that a figure must meet.
type Bound struct {
	op    string
	value float64
}

// AtMost returns a bound that figures up to and including a value meet.
func AtMost(value float64) Bound { return Bound{op: "<=", value: value} }

// AtLeast returns a bound that figures from a value upwards meet.
func AtLeast(value float64) Bound { return Bound{op: ">=", value: value} }

// Exactly returns a bound that only one figure meets.
func Exactly(value float64) Bound { return Bound{op: "==", value: value} }

// Above returns a bound that figures greater than a value meet.
func Above(value float64) Bound { return Bound{op: ">", value: value} }

// Info returns a bound that any figure meets.
func Info() Bound { return Bound{op: "-"} }

// IsMetBy reports whether a figure meets the bound.
func (b Bound) IsMetBy(value float64) bool {
	switch b.op {
	case "<=":
		return value <= b.value
	case ">=":
		return value >= b.value
	case "==":
		return value == b.value
	case ">":
		return value > b.value
	default:
		return true
	}
}

// String returns the bound as it is printed in a row.
func (b Bound) String() string {
	if b.op == "-" {
		return b.op
	}
	return b.op + number(b.value)
}

// Row is one figure with its bound.
type Row struct {
	// Name of the figure. The part before the first "/" is its group.
	Name  string
	Value float64
	Unit  string
	Bound Bound
	// Seed of the run that produced the figure.
	Seed uint64
}

// IsMet reports whether the figure meets its bound.
func (r Row) IsMet() bool { return r.Bound.IsMetBy(r.Value) }

// Print writes the row as a line of tab-separated fields.
func (r Row) Print(out io.Writer) error {
	verdict := "short"
	if r.IsMet() {
		verdict = "met"
	}
	_, err := fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\n", r.Name, number(r.Value), r.Unit, r.Bound, verdict, r.Seed)
	return err
}

func number(value float64) string {
	const precision = 5
	return strconv.FormatFloat(value, 'g', precision, 64)
}
