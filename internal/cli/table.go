package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// tableGap is the space between columns.
const tableGap = 2

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, header ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, tableGap, ' ', 0)}
	t.row(header...)
	return t
}

// row adds a line; a failure shows at flush.
func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }
