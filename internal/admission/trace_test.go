package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselseam/teaselseam/internal/request"
)

// tracer runs the commands of a trace and prints their results. Each command takes an
// optional argument at=MS, the time since the start in milliseconds.
type tracer struct {
	c       *Controller
	now     time.Time
	tickets map[string]*Ticket
	out     strings.Builder

	firstID, lastID, outcome string // consecutive requests with the same outcome
}

// record adds the outcome of a request. Consecutive requests with the same outcome share
// a line.
func (tr *tracer) record(id, outcome string) {
	if tr.outcome != outcome {
		tr.flush()
		tr.firstID, tr.outcome = id, outcome
	}
	tr.lastID = id
}

func (tr *tracer) flush() {
	if tr.outcome != "" {
		ids := tr.firstID
		if tr.lastID != ids {
			ids += ".." + tr.lastID
		}
		fmt.Fprintf(&tr.out, "%s: %s\n", ids, tr.outcome)
	}
	tr.outcome = ""
}

// TestTraces compares decisions with the traces in testdata/traces, one file for each
// policy of the package.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/traces", func(t *testing.T, path string) {
		tr := &tracer{now: epoch, tickets: map[string]*Ticket{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			tr.out.Reset()
			tr.run(t, d)
			tr.flush()
			return tr.out.String()
		})
	})
}

func (tr *tracer) run(t *testing.T, d *datadriven.TestData) {
	if ms := intArg(t, d, "at", -1); ms >= 0 {
		tr.now = at(time.Duration(ms) * time.Millisecond)
	}
	switch d.Cmd {
	case "new":
		slots := intArg(t, d, "slots", 0)
		cfg := fixedConfig(slots)
		if d.HasArg("learn") {
			cfg = Config{InitialLimit: slots}
		}
		if d.HasArg("jitter") {
			cfg.Rand = rand.New(rand.NewPCG(1, 1))
		}
		tr.c, tr.tickets = New(cfg, tr.now), map[string]*Ticket{}
	case "arrive":
		for i := range intArg(t, d, "n", 1) {
			tr.arrive(t, d, i)
		}
	case "finish", "cancel":
		for _, id := range strings.Fields(d.Input) {
			tr.endTicket(t, d, id)
		}
	case "tick":
		started, refused := tr.c.Tick(tr.now)
		tr.recordTickets("refused", refused)
		tr.recordTickets("start", started)
	case "report":
		tr.c.ReportLoad(tr.now, ReportedLoad{Utilization: float64(intArg(t, d, "percent", 0)) / 100})
	case "restart":
		tr.c.Restart(tr.now)
	case "load":
		l := tr.c.Load()
		fmt.Fprintf(&tr.out, "limit=%d running=%d queued=%d wait=%v service=%v shed=%v accepted=%.2f\n",
			l.Limit, l.Running, l.Queued, l.Wait.Round(100*time.Microsecond),
			l.ServiceTime.Round(100*time.Microsecond), l.ShedLevel, l.AcceptRatio)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

func (tr *tracer) arrive(t *testing.T, d *datadriven.TestData, i int) {
	imp, err := request.ParseImportance(arg(t, d, "imp", "normal"))
	if err != nil {
		t.Fatal(err)
	}
	a := Arrival{Workspace: arg(t, d, "ws", "a"), Weight: float64(intArg(t, d, "weight", 1)), Importance: imp}
	if ms := intArg(t, d, "deadline", -1); ms >= 0 {
		a.Deadline = tr.now.Add(time.Duration(ms) * time.Millisecond)
	}
	id := fmt.Sprintf("%s%d", arg(t, d, "id", a.Workspace), i+1)
	ticket, dec := tr.c.Arrive(tr.now, a)
	text := dec.Verdict.String()
	if dec.Verdict == Refuse {
		text += " " + formatRefusal(dec.Refusal)
	} else {
		ticket.Owner, tr.tickets[id] = id, ticket
	}
	if dec.Evicted != nil {
		text += fmt.Sprintf(", evicts %v %s", dec.Evicted.Owner, formatRefusal(dec.Evicted.Refusal()))
	}
	tr.record(id, text)
}

func (tr *tracer) endTicket(t *testing.T, d *datadriven.TestData, id string) {
	if d.Cmd == "cancel" {
		tr.recordTickets("start", tr.c.Cancel(tr.now, tr.tickets[id]))
		return
	}
	results := map[string]Result{"served": Served, "refused": Refused, "failed": Failed, "timeout": TimedOut}
	tr.recordTickets("start", tr.c.Finish(tr.now, tr.tickets[id], results[arg(t, d, "result", "served")]))
}

func (tr *tracer) recordTickets(outcome string, tickets []*Ticket) {
	for _, t := range tickets {
		text := outcome
		if !t.Running() {
			text += fmt.Sprintf(" (%v, %s)", t.Refusal().Outcome, t.Refusal().Reason)
		}
		tr.record(t.Owner.(string), text)
	}
}

func formatRefusal(r request.Refusal) string {
	return fmt.Sprintf("(%v, %s, retry after %v)", r.Outcome, r.Reason, r.RetryAfter.Round(100*time.Microsecond))
}

func arg(t *testing.T, d *datadriven.TestData, key, value string) string {
	d.MaybeScanArgs(t, key, &value)
	return value
}

func intArg(t *testing.T, d *datadriven.TestData, key string, value int) int {
	d.MaybeScanArgs(t, key, &value)
	return value
}
