//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order in which it was seen.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// at returns a time as the record shows it.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

// note writes a line of key=value pairs.
func (r *record) note(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8s %s", r.at(time.Now()), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.w, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.w)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush() // the verdict does not depend on it
	r.file.Close()
}
