package pressure

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/teaselseam/teaselseam/internal/request"
)

// Bounds of the text form. They keep a response below common limits on header size.
const (
	MaxHints      = 32
	MaxTextLength = 2048
	MaxNameLength = 64
)

const (
	hintFields = 5
	loadFields = 7

	maxCount  = 1_000_000
	maxMicros = 3_600_000_000 // one hour
	// reservedValue stands in the field of hints and loads that earlier releases read as the
	// accepted thousandths of all requests. It is checked and otherwise ignored.
	reservedValue = 1000
)

// EncodeHints returns the value of the hints header:
//
//	SERVICE:SHED_LEVEL:QUEUE_WAIT_US:SERVICE_TIME_US:RESERVED,...
//
// Values out of range are clamped. Hints with an invalid service name are left out,
// and so is the rest of the list from the first hint that does not fit.
func EncodeHints(hints []Hint) string {
	var text []byte
	for _, h := range hints[:min(len(hints), MaxHints)] {
		if checkName(h.Service) != nil {
			continue
		}
		before := len(text)
		if before > 0 {
			text = append(text, ',')
		}
		text = append(text, h.Service...)
		text = appendNumber(text, int64(min(h.ShedLevel, request.Critical)))
		text = appendNumber(text, micros(h.QueueWait))
		text = appendNumber(text, micros(h.ServiceTime))
		text = appendNumber(text, reservedValue)
		if len(text) > MaxTextLength {
			return string(text[:before])
		}
	}
	return string(text)
}

// ParseHints parses the value of a hints header. It comes from a peer, so
// anything but the exact form that EncodeHints writes is an error.
func ParseHints(text string) ([]Hint, error) {
	if text == "" {
		return nil, nil
	}
	if len(text) > MaxTextLength {
		return nil, fmt.Errorf("hints have %d bytes, the limit is %d", len(text), MaxTextLength)
	}
	count := strings.Count(text, ",") + 1
	if count > MaxHints {
		return nil, fmt.Errorf("there are %d hints, the limit is %d", count, MaxHints)
	}
	hints := make([]Hint, 0, count)
	for part := range strings.SplitSeq(text, ",") {
		h, err := parseHint(part)
		if err != nil {
			return nil, fmt.Errorf("hint %d: %w", len(hints)+1, err)
		}
		for _, other := range hints {
			if other.Service == h.Service {
				return nil, fmt.Errorf("hint %d repeats service %q", len(hints)+1, h.Service)
			}
		}
		hints = append(hints, h)
	}
	return hints, nil
}

func parseHint(text string) (Hint, error) {
	name, rest, _ := strings.Cut(text, ":")
	if err := checkName(name); err != nil {
		return Hint{}, err
	}
	var v [hintFields - 1]int64
	if err := parseNumbers(rest, v[:], []int64{int64(request.Critical), maxMicros, maxMicros, reservedValue}); err != nil {
		return Hint{}, err
	}
	return Hint{
		Service:     name,
		ShedLevel:   request.Importance(v[0]),
		QueueWait:   time.Duration(v[1]) * time.Microsecond,
		ServiceTime: time.Duration(v[2]) * time.Microsecond,
	}, nil
}

// EncodeLoad returns the value of the load header:
//
//	LIMIT:RUNNING:QUEUED:WAIT_US:SERVICE_TIME_US:SHED_LEVEL:RESERVED
//
// Values out of range are clamped.
func EncodeLoad(l Load) string {
	var text []byte
	for _, n := range []int{l.Limit, l.Running, l.Queued} {
		text = appendNumber(text, int64(min(max(n, 0), maxCount)))
	}
	text = appendNumber(text, micros(l.Wait))
	text = appendNumber(text, micros(l.ServiceTime))
	text = appendNumber(text, int64(min(l.ShedLevel, request.Critical)))
	text = appendNumber(text, reservedValue)
	return string(text[1:])
}

// ParseLoad parses the value of a load header as strictly as ParseHints.
func ParseLoad(text string) (Load, error) {
	var v [loadFields]int64
	bounds := []int64{maxCount, maxCount, maxCount, maxMicros, maxMicros, int64(request.Critical), reservedValue}
	if err := parseNumbers(text, v[:], bounds); err != nil {
		return Load{}, fmt.Errorf("load: %w", err)
	}
	return Load{
		Limit:       int(v[0]),
		Running:     int(v[1]),
		Queued:      int(v[2]),
		Wait:        time.Duration(v[3]) * time.Microsecond,
		ServiceTime: time.Duration(v[4]) * time.Microsecond,
		ShedLevel:   request.Importance(v[5]),
	}, nil
}

func checkName(name string) error {
	if name == "" || len(name) > MaxNameLength {
		return fmt.Errorf("service name has %d bytes, want 1 to %d", len(name), MaxNameLength)
	}
	for i := range len(name) {
		if !validNameByte(name[i]) {
			return fmt.Errorf("service name has an invalid byte at offset %d", i)
		}
	}
	return nil
}

func validNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-' || b == '/'
}

// parseNumbers parses colon-separated numbers into v. There must be exactly len(v)
// of them, each between 0 and its bound.
func parseNumbers(text string, v, bounds []int64) error {
	for i := range v {
		field, rest, more := strings.Cut(text, ":")
		if more != (i < len(v)-1) {
			return fmt.Errorf("want %d numbers", len(v))
		}
		n, err := parseNumber(field, bounds[i])
		if err != nil {
			return fmt.Errorf("number %d: %w", i+1, err)
		}
		v[i], text = n, rest
	}
	return nil
}

// parseNumber accepts only decimal digits without sign or leading zeros, so that
// each value has exactly one text form.
func parseNumber(field string, bound int64) (int64, error) {
	if field == "" || len(field) > len("3600000000") {
		return 0, fmt.Errorf("number has %d digits, want 1 to 10", len(field))
	}
	if field[0] == '0' && len(field) > 1 {
		return 0, errors.New("number has a leading zero")
	}
	n := int64(0)
	for i := range len(field) {
		if field[i] < '0' || field[i] > '9' {
			return 0, fmt.Errorf("invalid byte at offset %d", i)
		}
		n = n*10 + int64(field[i]-'0')
	}
	if n > bound {
		return 0, fmt.Errorf("number exceeds %d", bound)
	}
	return n, nil
}

func appendNumber(text []byte, n int64) []byte {
	return strconv.AppendInt(append(text, ':'), n, 10)
}

func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), 0), maxMicros)
}
