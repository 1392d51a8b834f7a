package hop

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/platform"
)

const (
	// limitHeader holds Call.TargetLimit: the start time and the rate, separated by a space.
	limitHeader = headerPrefix + "Target-Limit"
	// backendHeader holds Response.Backend: the start time, the rate limit or one of the
	// words below, the wait in ms, and whether it leaves (0 or 1), separated by spaces.
	backendHeader = headerPrefix + "Backend"

	// coldHeader holds BackendState.Cold beside backendHeader: the rate and the time in ms,
	// separated by a space.
	coldHeader = headerPrefix + "Backend-Cold"

	// maxRateWait is the longest wait that is sent.
	maxRateWait = time.Hour
	// maxCold is the longest cold time that is sent.
	maxCold = time.Hour

	noRateLimit      = "none"
	unknownRateLimit = "unknown"
)

// setTargetLimit sets limitHeader, unless the limit is nil.
func setTargetLimit(h http.Header, l *TargetLimit) {
	if l != nil {
		h[limitHeader] = []string{strconv.FormatInt(l.Born, 10) + " " + formatRate(l.Rate)}
	}
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', -1, 64) }

// parseTargetLimit parses the value of limitHeader, which is empty if there is none.
func parseTargetLimit(v string) (*TargetLimit, error) {
	if v == "" {
		return nil, nil
	}
	born, rate, _ := strings.Cut(v, " ")
	var l TargetLimit
	var err error
	if l.Born, err = strconv.ParseInt(born, 10, 64); err != nil {
		return nil, fmt.Errorf("target limit header %q: %w", v, err)
	}
	if l.Rate, err = platform.ParseRateLimit(rate); err != nil {
		return nil, fmt.Errorf("target limit header %q: %w", v, err)
	}
	return &l, nil
}

// setBackendState sets backendHeader, unless the state is nil.
func setBackendState(h http.Header, s *BackendState) {
	if s == nil {
		return
	}
	limit := unknownRateLimit
	switch {
	case s.RateLimit != nil:
		limit = formatRate(*s.RateLimit)
	case s.RateLimitKnown:
		limit = noRateLimit
	}
	leaving := 0
	if s.Leaving {
		leaving = 1
	}
	h[backendHeader] = []string{fmt.Sprintf("%d %s %d %d", s.Born, limit, min(s.RateWait, maxRateWait).Milliseconds(), leaving)}
	if c := s.Cold; c != nil {
		h[coldHeader] = []string{fmt.Sprintf("%s %d", formatRate(c.Rate), min(c.Remaining, maxCold).Milliseconds())}
	}
}

// parseCold parses the value of coldHeader, which is empty if there is none.
func parseCold(v string) (*Cold, error) {
	if v == "" {
		return nil, nil
	}
	rate, left, _ := strings.Cut(v, " ")
	var c Cold
	var err error
	if c.Rate, err = platform.ParseRateLimit(rate); err != nil {
		return nil, fmt.Errorf("cold header %q: %w", v, err)
	}
	ms, err := strconv.ParseInt(left, 10, 64)
	if err != nil || ms < 0 || ms > maxCold.Milliseconds() {
		return nil, fmt.Errorf("cold header %q has no valid time", v)
	}
	c.Remaining = time.Duration(ms) * time.Millisecond
	return &c, nil
}

// readBackendState reads backendHeader and coldHeader.
func readBackendState(h http.Header) (*BackendState, error) {
	s, err := parseBackendState(h.Get(backendHeader))
	if err != nil || s == nil {
		return nil, err
	}
	s.Cold, err = parseCold(h.Get(coldHeader))
	return s, err
}

// parseBackendState parses the value of backendHeader, which is empty if there is none.
func parseBackendState(v string) (*BackendState, error) {
	if v == "" {
		return nil, nil
	}
	parts := strings.Split(v, " ")
	if len(parts) != 4 {
		return nil, fmt.Errorf("backend header %q does not have 4 fields", v)
	}
	var s BackendState
	var err error
	if s.Born, err = strconv.ParseInt(parts[0], 10, 64); err != nil {
		return nil, fmt.Errorf("backend header %q: %w", v, err)
	}
	s.RateLimitKnown = parts[1] != unknownRateLimit
	if s.RateLimitKnown && parts[1] != noRateLimit {
		rate, err := platform.ParseRateLimit(parts[1])
		if err != nil {
			return nil, fmt.Errorf("backend header %q: %w", v, err)
		}
		s.RateLimit = &rate
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || ms < 0 || ms > int64(maxRateWait/time.Millisecond) {
		return nil, fmt.Errorf("backend header %q has no valid wait", v)
	}
	s.RateWait, s.Leaving = time.Duration(ms)*time.Millisecond, parts[3] == "1"
	return &s, nil
}
