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

// tracer runs the commands of a trace. Each takes an optional at=MS.
type tracer struct {
	c       *Controller
	now     time.Time
	tickets map[string]*Ticket
	out     strings.Builder

	first, last, text string // a group of calls with the same outcome
}

// say adds the outcome of a call. Equal outcomes in a row share a line.
func (tr *tracer) say(id, text string) {
	if tr.text != text {
		tr.flush()
		tr.first, tr.text = id, text
	}
	tr.last = id
}

func (tr *tracer) flush() {
	if tr.text != "" {
		ids := tr.first
		if tr.last != ids {
			ids += ".." + tr.last
		}
		fmt.Fprintf(&tr.out, "%s: %s\n", ids, tr.text)
	}
	tr.text = ""
}

// TestTraces guards the policies that the traces in testdata/traces show.
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
			tr.end(t, d, id)
		}
	case "tick":
		start, refuse := tr.c.Tick(tr.now)
		tr.print("refused", refuse)
		tr.print("start", start)
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
		text += " " + show(dec.Refusal)
	} else {
		ticket.Owner, tr.tickets[id] = id, ticket
	}
	if dec.Evicted != nil {
		text += fmt.Sprintf(", evicts %v %s", dec.Evicted.Owner, show(dec.Evicted.Refusal()))
	}
	tr.say(id, text)
}

func (tr *tracer) end(t *testing.T, d *datadriven.TestData, id string) {
	if d.Cmd == "cancel" {
		tr.print("start", tr.c.Cancel(tr.now, tr.tickets[id]))
		return
	}
	results := map[string]Result{"served": Served, "refused": Refused, "failed": Failed, "timeout": TimedOut}
	tr.print("start", tr.c.Finish(tr.now, tr.tickets[id], results[arg(t, d, "result", "served")]))
}

func (tr *tracer) print(what string, ts []*Ticket) {
	for _, t := range ts {
		text := what
		if !t.Running() {
			text += fmt.Sprintf(" (%v, %s)", t.Refusal().Outcome, t.Refusal().Reason)
		}
		tr.say(t.Owner.(string), text)
	}
}

func show(r request.Refusal) string {
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
