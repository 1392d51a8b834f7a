package fleet

import (
	"reflect"
	"strings"
	"testing"

	"github.com/teaselseam/teaselseam/platform"
)

const goodRow = `{"address":"10.0.0.1:7000","data_centre":"a","incarnation":"x","serving":true,` +
	`"backend":{"id":"i-1","service":"stock","slots":8,"state":1,"born":1796364453000}}`

// oddRows are rows that another program may have left.
func oddRows() map[string]string {
	replace := func(old, with string) string { return strings.Replace(goodRow, old, with, 1) }
	return map[string]string{
		"empty":             "",
		"null":              "null",
		"an array":          "[]",
		"deeply nested":     replace(`"serving"`, `"x":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,"serving"`),
		"a number too long": replace(`"slots":8`, `"slots":`+strings.Repeat("9", 400)),
		"port 70000":        replace(":7000", ":70000"),
		"port 0":            replace(":7000", ":0"),
		"no port":           replace(":7000", ""),
		"a host name":       replace("10.0.0.1", "store.example"),
		"slots":             replace(`"slots":8`, `"slots":9000000000000000000`),
		"negative slots":    replace(`"slots":8`, `"slots":-1`),
		"start time":        replace(`"born":1796364453000`, `"born":9000000000000000000`),
		"cold time":         replace(`"born"`, `"cold_ms":9000000000000000000,"born"`),
		"state":             replace(`"state":1`, `"state":7`),
		"no state":          replace(`"state":1,`, ``),
		"no service":        replace(`"service":"stock",`, ``),
		"no data centre":    replace(`"data_centre":"a"`, `"data_centre":""`),
	}
}

// TestOddRowNamesNoMember guards against members with an address or a figure that no node
// would write, and against losing a member because another program has overwritten its row.
func TestOddRowNamesNoMember(t *testing.T) {
	for name, value := range oddRows() {
		v := NewView()
		good := platform.Row{Table: Table, Key: "n1", Value: []byte(goodRow), Version: 1}
		if errs := v.Replace([]platform.Row{good, {Key: "other", Value: []byte(value), Version: 2}}); len(errs) != 1 || len(v.Members()) != 1 {
			t.Errorf("%s: errors %v, %d members, want 1 of each", name, errs, len(v.Members()))
		}
		odd := platform.Row{Table: Table, Key: "n1", Value: []byte(value), Version: 3}
		for what, apply := range map[string]func([]platform.Row) []error{"change": v.Apply, "snapshot": v.Replace} {
			apply([]platform.Row{odd})
			if m := v.Members(); len(m) != 1 || !m[0].Usable() {
				t.Errorf("%s: members %v after it has overwritten the row in a %s", name, m, what)
			}
			if r := v.Row("n1"); r.Member != nil || r.Version != 3 {
				t.Errorf("%s: its own node sees the row %+v, want an unknown one at version 3", name, r)
			}
		}
		good.Version = 4
		if v.Apply([]platform.Row{good}); len(v.Members()) != 1 {
			t.Errorf("%s: %d members after the row was written again", name, len(v.Members()))
		}
		if v.Apply([]platform.Row{{Key: "n1", Version: 5, Deleted: true}}); len(v.Members()) != 0 {
			t.Errorf("%s: %d members after the row was removed", name, len(v.Members()))
		}
	}
}

// FuzzDecode guards against rows that end the process or decode to figures out of bounds.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(goodRow))
	for _, value := range oddRows() {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		m, err := Decode("n1", value)
		if err != nil {
			return
		}
		if m.Address == "" || m.Backend.Slots < 0 || m.Backend.Slots > maxSlots || m.Backend.ColdMS < 0 {
			t.Errorf("accepted %+v", m)
		}
		if again, err := m.Encode(); err != nil {
			t.Errorf("%+v cannot be encoded: %v", m, err)
		} else if m2, err := Decode("n1", again); err != nil || !reflect.DeepEqual(m2, m) {
			t.Errorf("%+v is decoded as %+v, %v", m, m2, err)
		}
	})
}
