package hop

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// TestRestIsReadByOneAttempt guards against two attempts of a call that read the rest of its body
// by turns: each would send a part of it.
func TestRestIsReadByOneAttempt(t *testing.T) {
	const rest = "the rest of a long body"
	for range 200 {
		body := Body{Data: []byte("start "), Rest: &bodyRest{r: strings.NewReader(rest)}, Length: -1}
		var whole atomic.Int64
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				a, err := newAttemptRest(&body, false)
				if err != nil {
					return
				}
				switch data, err := io.ReadAll(a); {
				case err == nil && string(data) == rest:
					whole.Add(1)
				case !errors.Is(err, errRestTaken) || len(data) > 0:
					t.Errorf("an attempt read %q, %v", data, err)
				}
			})
		}
		wg.Wait()
		if n := whole.Load(); n > 1 {
			t.Fatalf("%d attempts have read the rest", n)
		}
	}
}

// TestRetract checks that an attempt which has not begun to read the rest cannot do so later,
// and that one which has begun is not disturbed.
func TestRetract(t *testing.T) {
	body := Body{Rest: &bodyRest{r: strings.NewReader("rest")}, Length: -1}
	first, err := newAttemptRest(&body, false)
	if err != nil || !body.Retract() || !body.Repeatable() {
		t.Fatalf("%v; want the body to be sendable by another attempt", err)
	}
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, errRestTaken) {
		t.Errorf("the first attempt reads after it was retracted: %v", err)
	}
	second, err := newAttemptRest(&body, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := second.Read(make([]byte, 1)); err != nil || body.Repeatable() || body.Retract() {
		t.Errorf("%v; want the body to be gone once an attempt reads it", err)
	}
	if data, err := io.ReadAll(second); err != nil || string(data) != "est" {
		t.Errorf("the attempt that has begun reads %q, %v", data, err)
	}
	if _, err := newAttemptRest(&body, false); !errors.Is(err, errRestTaken) {
		t.Errorf("a third attempt: %v", err)
	}
}
