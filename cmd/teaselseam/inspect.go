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
	Node string `arg:"" help:"IP:port at which the node serves its metrics."`
}

// Run prints the status of a node.
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
	return s.output.print(st, func() { printStatus(s.output, &st) })
}

func printStatus(p *printer, st *sidecar.Status) {
	fmt.Fprintf(p.out, "node %s: ready %t, stopping %t\n", st.Node, st.Ready, st.Stopping)
	fmt.Fprintf(p.out, "configuration %d, confirmed as the newest %.1f s ago, workspace keys accepted %t\n",
		st.ConfigurationVersion, st.ConfigurationAge, st.KeysAccepted)
	fmt.Fprintf(p.out, "era %d of the store\n", st.StoreEra)
	if len(st.PendingSettings) > 0 {
		fmt.Fprintf(p.out, "changed settings that need a restart: %s\n", strings.Join(st.PendingSettings, ", "))
	}
	if len(st.Evacuated) > 0 {
		fmt.Fprintf(p.out, "evacuated data centres: %s\n", strings.Join(st.Evacuated, ", "))
	}
	b := st.Backend
	fmt.Fprintf(p.out, "backend server %s (%s): %s, last announcement %.1f s ago, %d of %d running, %d waiting, expected wait %.3f s\n",
		b.ID, b.Service, b.State, b.SinceAnnouncement, b.Running, b.Limit, b.Waiting, b.QueueWait)
	if b.Cold > 0 {
		fmt.Fprintf(p.out, "it is cold for %.1f s more\n", b.Cold)
	}
	if b.RateLimit != nil {
		fmt.Fprintf(p.out, "it accepts %g requests a second from all nodes together\n", *b.RateLimit)
	}
	fmt.Fprintln(p.out)
	var rows [][]string
	for _, m := range st.Members {
		rows = append(rows, []string{m.Node, m.DataCentre, m.Service, m.Backend, fmt.Sprint(m.Usable), m.Reason})
	}
	p.table("NODE DATA-CENTRE SERVICE BACKEND USABLE REASON", rows)
	rows = nil
	for _, w := range st.Shares {
		rows = append(rows, []string{w.Workspace, fmt.Sprint(w.Rate), fmt.Sprintf("%.1f", w.Tokens)})
	}
	fmt.Fprintln(p.out)
	p.table("WORKSPACE RATE TOKENS", rows)
	for _, q := range st.Quarantine {
		fmt.Fprintf(p.out, "suspected of crashing backend servers: %s, %d deaths, refused until %s\n", q.Fingerprint, q.Deaths, q.RefusedUntil)
	}
}

type followCmd struct {
	ID    string   `arg:"" help:"Request ID. Also matches longer IDs that begin with it."`
	Files []string `arg:"" type:"existingfile" help:"Log files of nodes."`
}

// logLine is a line of a node's log. Lines are sorted by Time, the text of their time field.
type logLine struct {
	Time string `json:"time"`
	Text string `json:"text"`
}

var timeField = regexp.MustCompile(`time=(\S+)`)

// Run prints the lines about a request from all files in chronological order.
func (f *followCmd) Run(s *session) error {
	var lines []logLine
	for _, name := range f.Files {
		found, err := matchingLines(name, f.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return s.output.print(lines, func() {
		for _, l := range lines {
			fmt.Fprintln(s.output.out, l.Text)
		}
		if len(lines) == 0 {
			fmt.Fprintln(s.output.out, "no matching line; see docs/OPERATIONS.md for requests that are not logged")
		}
	})
}

// matchingLines returns the lines of a log file whose request ID begins with id.
func matchingLines(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), " id="+id) {
			continue
		}
		l := logLine{Text: scanner.Text()}
		if m := timeField.FindStringSubmatch(l.Text); m != nil {
			l.Time = m[1]
		}
		out = append(out, l)
	}
	return out, scanner.Err()
}
