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

// TestOperationsPage guards against events and metrics that the operations page does
// not have, and against a page that names some which no longer exist.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	told := map[string]bool{}
	_, table, _ := strings.Cut(string(page), "| event |")
	table, _, _ = strings.Cut(table, "\n\n")
	for _, row := range eventCell.FindAllStringSubmatch(table, -1) {
		for _, name := range backquoted.FindAllStringSubmatch(row[1], -1) {
			told[name[1]] = true
		}
	}
	events, metrics := used(t)
	for name := range events {
		if !told[name] {
			t.Errorf("event %q is not on the operations page", name)
		}
	}
	for name := range told {
		if !events[name] {
			t.Errorf("the operations page has event %q, which the code does not log", name)
		}
	}
	for name := range metrics {
		if !strings.Contains(string(page), name) {
			t.Errorf("metric %s is not on the operations page", name)
		}
	}
	for _, name := range metricName.FindAllString(string(page), -1) {
		if !metrics[name] {
			t.Errorf("the operations page has metric %s, which the code does not have", name)
		}
	}
}

// used returns the events that the node logs and its metrics.
func used(t *testing.T) (events, metrics map[string]bool) {
	events, metrics = map[string]bool{}, map[string]bool{}
	for _, pkg := range []string{"sidecar", "obs"} {
		collect(t, filepath.Join("..", pkg), events, metrics)
	}
	collect(t, filepath.Join("..", "..", "cmd", "teaselseamd"), events, metrics)
	return events, metrics
}

func collect(t *testing.T, dir string, events, metrics map[string]bool) {
	eachSourceFile(t, dir, func(_ string, _ *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				for i, arg := range n.Args[:max(len(n.Args)-1, 0)] {
					if text(arg) == "event" {
						events[text(n.Args[i+1])] = true
					}
				}
			case *ast.BasicLit:
				for _, name := range metricName.FindAllString(text(n), -1) {
					metrics[name] = true
				}
				if i := strings.Index(text(n), "event="); i >= 0 {
					events[strings.Fields(text(n)[i+len("event="):])[0]] = true
				}
			}
			return true
		})
	})
}

// text returns the value of a string literal, and nothing for any other expression.
func text(e ast.Expr) string {
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
