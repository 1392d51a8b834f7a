package archtest

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var (
	eventCell  = regexp.MustCompile("(?m)^\\| ((?:`[a-z_]+`(?:, )?)+) \\|")
	backquoted = regexp.MustCompile("`([a-z_]+)`")
	metricName = regexp.MustCompile(`teaselseam_[a-z_]+`)
)

// TestOperationsPage guards against log events and metrics that docs/OPERATIONS.md lacks,
// and against those it lists although the code no longer has them.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	_, table, _ := strings.Cut(string(page), "| event |")
	table, _, _ = strings.Cut(table, "\n\n")
	for _, row := range eventCell.FindAllStringSubmatch(table, -1) {
		for _, name := range backquoted.FindAllStringSubmatch(row[1], -1) {
			documented[name[1]] = true
		}
	}
	events, metrics := eventsAndMetrics(t)
	for name := range events {
		if !documented[name] {
			t.Errorf("event %q is not in docs/OPERATIONS.md", name)
		}
	}
	for name := range documented {
		if !events[name] {
			t.Errorf("docs/OPERATIONS.md lists event %q, which the code does not log", name)
		}
	}
	for name := range metrics {
		if !strings.Contains(string(page), name) {
			t.Errorf("metric %s is not in docs/OPERATIONS.md", name)
		}
	}
	for _, name := range metricName.FindAllString(string(page), -1) {
		if !metrics[name] {
			t.Errorf("docs/OPERATIONS.md lists metric %s, which the code does not have", name)
		}
	}
}

// eventsAndMetrics returns the names of the events and metrics in the node's code.
func eventsAndMetrics(t *testing.T) (events, metrics map[string]bool) {
	events, metrics = map[string]bool{}, map[string]bool{}
	for _, pkg := range []string{"sidecar", "obs"} {
		collect(t, filepath.Join("..", pkg), events, metrics)
	}
	collect(t, filepath.Join("..", "..", "cmd", "teaselseamd"), events, metrics)
	return events, metrics
}

// collect adds the names in the source files of a directory: the value after each
// "event" argument, "event=" within a string, and all metric names in strings.
func collect(t *testing.T, dir string, events, metrics map[string]bool) {
	eachSourceFile(t, dir, func(_ string, _ *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				for i, arg := range n.Args[:max(len(n.Args)-1, 0)] {
					if stringValue(arg) == "event" {
						events[stringValue(n.Args[i+1])] = true
					}
				}
			case *ast.BasicLit:
				for _, name := range metricName.FindAllString(stringValue(n), -1) {
					metrics[name] = true
				}
				if i := strings.Index(stringValue(n), "event="); i >= 0 {
					events[strings.Fields(stringValue(n)[i+len("event="):])[0]] = true
				}
			}
			return true
		})
	})
}

// stringValue returns the value of a string literal, or "" for any other expression.
func stringValue(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	s, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return s
}
