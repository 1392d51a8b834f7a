package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/teaselseam/teaselseam/internal/sidecar"
)

type statusCmd struct {
	Node string `arg:"" help:"IP:port of the node's metrics address."`
}

// Run prints what a node believes.
func (c *statusCmd) Run(s *session) error {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+c.Node+sidecar.StatusPath, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var st sidecar.Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return fmt.Errorf("status of %s: %w", c.Node, err)
	}
	return s.print.print(st, func() { printStatus(s.print, &st) })
}

func printStatus(p *printer, st *sidecar.Status) {
	fmt.Fprintf(p.out, "node %s: ready %t, stopping %t\n", st.Node, st.Ready, st.Stopping)
	fmt.Fprintf(p.out, "configuration %d, known to be the newest %.1f s ago, keys hold %t\n",
		st.ConfigurationVersion, st.ConfigurationAge, st.KeysAccepted)
	b := st.Backend
	fmt.Fprintf(p.out, "backend server %s (%s): %s, heard %.1f s ago, %d of %d running, %d waiting for %.3f s\n\n",
		b.ID, b.Service, b.State, b.SinceAnnouncement, b.Running, b.Limit, b.Waiting, b.QueueWait)
	var rows [][]string
	for _, m := range st.Members {
		rows = append(rows, []string{m.Node, m.DataCentre, m.Service, m.Backend, fmt.Sprint(m.Usable), m.Reason})
	}
	p.table("NODE DATA-CENTRE SERVICE BACKEND IN WHY", rows)
	rows = nil
	for _, w := range st.Shares {
		rows = append(rows, []string{w.Workspace, fmt.Sprint(w.Rate), fmt.Sprintf("%.1f", w.Tokens)})
	}
	fmt.Fprintln(p.out)
	p.table("WORKSPACE RATE TOKENS", rows)
	for _, q := range st.Quarantine {
		fmt.Fprintf(p.out, "suspected of crashes: %s, %d deaths, refused until %s\n", q.Fingerprint, q.Deaths, q.RefusedUntil)
	}
}

type followCmd struct {
	ID    string   `arg:"" help:"Request ID. IDs that begin with it are shown too."`
	Files []string `arg:"" type:"existingfile" help:"Logs of nodes."`
}

// line is a log line with its time as written, by which lines sort.
type line struct {
	Time string `json:"time"`
	Text string `json:"text"`
}

var timeField = regexp.MustCompile(`time=(\S+)`)

// Run prints the lines about a request of all files in order of time.
func (f *followCmd) Run(s *session) error {
	var lines []line
	for _, name := range f.Files {
		found, err := linesOf(name, f.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
	return s.print.print(lines, func() {
		for _, l := range lines {
			fmt.Fprintln(s.print.out, l.Text)
		}
		if len(lines) == 0 {
			fmt.Fprintln(s.print.out, "no line; see docs/OPERATIONS.md for requests that leave none")
		}
	})
}

func linesOf(name, id string) ([]line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out []line
	sc := bufio.NewScanner(file)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		if !strings.Contains(sc.Text(), " id="+id) {
			continue
		}
		l := line{Text: sc.Text()}
		if m := timeField.FindStringSubmatch(l.Text); m != nil {
			l.Time = m[1]
		}
		out = append(out, l)
	}
	return out, sc.Err()
}
