package workspace

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestKeysMatchNaive compares Keys with a naive implementation that uses plain maps. It guards against a lookup that
// confuses digests with a common prefix, a copy whose changes reach its original
// through a shared bucket, and a revoked digest that becomes valid again.
func TestKeysMatchNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := NewKeys()
		issued, revoked := map[Digest]string{}, map[Digest]bool{}
		var versions []*Keys
		var verdicts []map[Digest]Verdict
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var d Digest // all have the same prefix, so they share one bucket
			d[31] = byte(rapid.IntRange(0, 4).Draw(t, "digest"))
			if rapid.Bool().Draw(t, "issue") {
				ws := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
				keys = keys.Issue(d, ws)
				if _, ok := issued[d]; !ok {
					issued[d] = ws
				}
			} else {
				keys = keys.Revoke(d)
				revoked[d] = true
			}
			seen := map[Digest]Verdict{}
			for i := range byte(6) {
				d := Digest{31: i}
				ws, v := keys.Check(d)
				seen[d] = v
				want := Unknown
				if revoked[d] {
					want = Revoked
				} else if issued[d] != "" {
					want = Valid
				}
				if v != want || v == Valid && ws != issued[d] {
					t.Fatalf("digest %d: got %q %d, want %q %d", i, ws, v, issued[d], want)
				}
			}
			versions, verdicts = append(versions, keys), append(verdicts, seen)
		}
		for i, k := range versions {
			for d, want := range verdicts[i] {
				if _, v := k.Check(d); v != want {
					t.Fatalf("a later Issue or Revoke changed version %d", i)
				}
			}
		}
	})
}

// TestResolveRefusesAmbiguity guards against resolving an ambiguous or short prefix,
// by which an operator would revoke another key than intended.
func TestResolveRefusesAmbiguity(t *testing.T) {
	a, b := Digest{0: 1, 31: 1}, Digest{0: 1, 31: 2}
	keys := NewKeys().Issue(a, "w").Issue(b, "w")
	if _, err := keys.Resolve(a.String()[:20]); err == nil {
		t.Error("a prefix that matches two keys was accepted")
	}
	if d, err := keys.Resolve(b.String()); err != nil || d != b {
		t.Errorf("got %v, %v", d, err)
	}
	if _, err := keys.Resolve("01"); err == nil {
		t.Error("a short prefix was accepted")
	}
}

// TestRedact guards against a message that quotes a key which an operator pasted
// into the wrong field.
func TestRedact(t *testing.T) {
	key := GenerateKey()
	if s := Redact("value \"" + key + "\" is wrong"); strings.Contains(s, key[4:]) || !strings.HasSuffix(s, "is wrong") {
		t.Errorf("got %q", s)
	}
}

// TestCheckDoesNotAllocate guards the limit of one allocation on the request path,
// where each key is checked.
func TestCheckDoesNotAllocate(t *testing.T) {
	d := DigestOf("k")
	keys := NewKeys().Issue(d, "w")
	if n := testing.AllocsPerRun(100, func() { keys.Check(d) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
