package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes the results of commands as text or JSON.
type printer struct {
	out    io.Writer
	asJSON bool
}

// print writes v as JSON, or calls text to write it as text.
func (p *printer) print(v any, text func()) error {
	if !p.asJSON {
		text()
		return nil
	}
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes rows in aligned columns. head holds the column titles, separated by spaces.
func (p *printer) table(head string, rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(head, " ", "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush() // an error only means that the output is closed
}
