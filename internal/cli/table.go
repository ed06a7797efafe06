package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, header ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	t.row(header...)
	return t
}

// row adds a line. Its write error is dropped here; flush reports the error of
// writing the table.
func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }
