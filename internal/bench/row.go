// Package bench demonstrates, loads and measures fleets of the project's own
// programs on loopback.
package bench

import (
	"fmt"
	"io"
	"strconv"
)

// Bound is a target that a figure must meet.
type Bound struct {
	op    string
	value float64
}

// AtMost is met by figures up to a value.
func AtMost(value float64) Bound { return Bound{op: "<=", value: value} }

// AtLeast is met by figures from a value.
func AtLeast(value float64) Bound { return Bound{op: ">=", value: value} }

// Exactly is met by one figure.
func Exactly(value float64) Bound { return Bound{op: "==", value: value} }

// Above is met by figures above a value.
func Above(value float64) Bound { return Bound{op: ">", value: value} }

// Info is met by any figure.
func Info() Bound { return Bound{op: "-"} }

// Met says whether a figure meets the bound.
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

// String returns the bound as a row shows it.
func (b Bound) String() string {
	if b.op == "-" {
		return b.op
	}
	return b.op + number(b.value)
}

// Row is one figure.
type Row struct {
	// Name of the figure, with a prefix for its group before a "/".
	Name  string
	Value float64
	Unit  string
	Bound Bound
	// Seed of the run that gave the figure.
	Seed uint64
}

// Met says whether the figure meets its bound.
func (r Row) IsMet() bool { return r.Bound.IsMetBy(r.Value) }

// Print writes the row as a line of fields with tabs between them.
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
