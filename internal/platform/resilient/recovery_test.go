package resilient

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated fleet: every node polls, which is more than the design asks for.
const (
	clients      = 1800
	pollInterval = 4 * time.Second // half the freshness bound
	pollTimeout  = time.Second     // a hanging call ends after this
	answerTime   = 20 * time.Millisecond
	failTime     = 5 * time.Millisecond
	outageBegin  = time.Minute
	afterOutage  = 2 * time.Minute
	catchUpReads = 2 // reads of a poll after the outage: head, then entries
	maxReads     = 2000
	binsASecond  = 10
)

var errPlatform = errors.New("platform failed")

// client is one node of the fleet; step is called at its next event.
type client struct {
	at        time.Duration // of its next event
	step      func(c *client, f *fleet)
	breaker   *Breaker
	poll      Poll
	rnd       *rand.Rand
	call      Call
	failing   bool
	reads     int // left until the client has caught up
	recovered time.Duration
}

// fleet counts the reads of clients that run one after the other through the same
// simulated time; the platform's answers do not depend on its load.
type fleet struct {
	outageEnd time.Duration
	hang      bool
	bins      []int // reads sent in each tenth of a second
}

// send counts a read of c and returns when and how it ends.
func (f *fleet) send(c *client) {
	f.bins[c.at*binsASecond/time.Second]++
	c.failing = c.at >= outageBegin && c.at < f.outageEnd
	switch {
	case !c.failing:
		c.at += answerTime
	case f.hang:
		c.at += pollTimeout
	default:
		c.at += failTime
	}
}

// ended takes the result of a read and tells whether the poll has more reads.
func (c *client) ended(f *fleet) bool {
	if c.failing || c.at <= f.outageEnd || c.reads == 0 {
		return false
	}
	if c.reads--; c.reads == 0 {
		c.recovered = c.at
	}
	return c.reads > 0
}

func epoch(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// begin starts a poll of a client that has Breaker and Poll.
func begin(c *client, f *fleet) {
	call, ok, retryAfter := c.breaker.Allow(epoch(c.at), read)
	if !ok {
		c.at += c.poll.Next(&Refusal{Reason: BreakerOpen, RetryAfter: retryAfter}, c.rnd)
		return
	}
	c.call = call
	c.step = end
	f.send(c)
}

func end(c *client, f *fleet) {
	c.step = begin
	result, err := Good, error(nil)
	if c.failing {
		result, err = Bad, errPlatform
	}
	c.breaker.Done(epoch(c.at), c.call, result, c.rnd)
	if c.ended(f) {
		begin(c, f)
		return
	}
	c.at += c.poll.Next(err, c.rnd)
}

// beginNaive and endNaive are a client that retries each second, as all others do.
func beginNaive(c *client, f *fleet) {
	c.step = endNaive
	f.send(c)
}

func endNaive(c *client, f *fleet) {
	c.step = beginNaive
	if c.ended(f) {
		beginNaive(c, f)
		return
	}
	wait := pollInterval
	if c.failing {
		wait = time.Second
	}
	c.at = c.at.Truncate(time.Second) + wait
}

// variant is one way for the fleet to poll.
type variant struct {
	name    string
	outage  time.Duration
	backoff time.Duration // limit of waits
	inStep  bool          // all clients draw the same random numbers
	naive   bool
	hang    bool
	exceeds bool // more reads after the outage than the platform can serve
}

type figures struct {
	peakOutage, peakReturn int // reads in the busiest second
	median, last           time.Duration
}

func simulate(v variant) figures {
	cfg := DefaultConfig().Breaker
	cfg.Backoff.Max = v.backoff
	simulated := outageBegin + v.outage + afterOutage
	f := &fleet{
		outageEnd: outageBegin + v.outage, hang: v.hang,
		bins: make([]int, simulated*binsASecond/time.Second+binsASecond),
	}
	var took []time.Duration
	for i := range uint64(clients) {
		c := &client{
			step: begin, breaker: NewBreaker(cfg), poll: NewPoll(pollInterval, cfg.Backoff),
			rnd: rand.New(rand.NewPCG(1, i)), reads: catchUpReads,
		}
		c.at = time.Duration(c.rnd.Int64N(int64(pollInterval)))
		if v.inStep {
			c.rnd, c.at = rand.New(rand.NewPCG(1, 0)), 0
		}
		if v.naive {
			c.step, c.at = beginNaive, 0
		}
		for c.at < simulated {
			c.step(c, f)
		}
		took = append(took, c.recovered-f.outageEnd)
	}
	slices.Sort(took)
	return figures{
		peakOutage: peak(f.bins, outageBegin, f.outageEnd-time.Second),
		peakReturn: peak(f.bins, f.outageEnd-time.Second, simulated),
		median:     took[len(took)/2],
		last:       took[len(took)-1],
	}
}

// peak returns the most reads in any second between from and to.
func peak(bins []int, from, to time.Duration) (most int) {
	bins = bins[from*binsASecond/time.Second : to*binsASecond/time.Second]
	for i := range len(bins) - binsASecond + 1 {
		sum := 0
		for _, n := range bins[i : i+binsASecond] {
			sum += n
		}
		most = max(most, sum)
	}
	return most
}

// TestRecoveryPeak guards against a fleet that overloads the platform when it
// returns after an hour, and against a model that could not show it: the naive
// clients must exceed what the platform can serve.
func TestRecoveryPeak(t *testing.T) {
	const short = 10 * time.Minute // enough for the longest waits of the alternatives
	for _, v := range []variant{
		{name: "down, one-second retry in step", outage: time.Hour, naive: true, exceeds: true},
		{name: "down, up to 10 s (default)", outage: time.Hour, backoff: DefaultMaxBackoff},
		{name: "hanging, up to 10 s (default)", outage: time.Hour, backoff: DefaultMaxBackoff, hang: true},
		{name: "down, up to 10 s without jitter", outage: short, backoff: DefaultMaxBackoff, inStep: true, exceeds: true},
		{name: "down, up to 2 s", outage: short, backoff: 2 * time.Second, exceeds: true},
		{name: "down, up to 5 s", outage: short, backoff: 5 * time.Second},
		{name: "down, up to 30 s", outage: short, backoff: 30 * time.Second},
	} {
		got := simulate(v)
		t.Logf("%-32s outage %v, peak in outage %4d/s, after it %4d/s, recovered: half %v, all %v",
			v.name, v.outage, got.peakOutage, got.peakReturn, got.median.Round(100*time.Millisecond), got.last.Round(100*time.Millisecond))
		if got.median <= 0 || got.last <= 0 {
			t.Errorf("%s: not all clients recovered", v.name)
		}
		if over := got.peakReturn > maxReads; over != v.exceeds {
			t.Errorf("%s: %d reads in a second after the outage, the platform serves %d", v.name, got.peakReturn, maxReads)
		}
		if !v.exceeds && got.peakOutage > maxReads {
			t.Errorf("%s: %d reads in a second of the outage, the platform serves %d", v.name, got.peakOutage, maxReads)
		}
	}
}
