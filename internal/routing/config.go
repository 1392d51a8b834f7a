package routing

import (
	"fmt"
	"time"
)

// Config sets the limits and time constants of a Picker.
type Config struct {
	Ingress        string // identity of this ingress; it seeds the subset
	Ingresses      int    // ingresses in the fleet that may call the service
	LocalIngresses int    // those of them in the local data centre
	MaxSubset      int    // bound of the subset, per tier

	CrossDCDelay      time.Duration // network time to another data centre
	DefaultLatency time.Duration // expected time before any observation
	DefaultSlots   int           // concurrency of an endpoint that reports none
	MaxSlots       int           // bound of a reported concurrency

	ObservationHalfLife       time.Duration // age at which an own observation counts half
	ReportHalfLife time.Duration // age at which a reported figure counts half
	SlowerReportWeight    float64       // weight of a fresh report that is worse than observed
	FasterReportWeight    float64       // weight of a fresh report that is better than observed

	SlowStart     time.Duration // time from the start of an endpoint to its full share
	EjectFailures int           // consecutive failures that eject an endpoint
	EjectRate     float64       // share of failures that ejects an endpoint
	EjectBase     time.Duration // length of the first ejection
	EjectMax      time.Duration // bound of the length; also the time that clears the count
}

// DefaultConfig returns the defaults for an ingress in a fleet of the given size.
func DefaultConfig(ingress string, ingresses, localIngresses int) Config {
	return Config{
		Ingress: ingress, Ingresses: ingresses, LocalIngresses: localIngresses, MaxSubset: 32,
		CrossDCDelay: 1500 * time.Microsecond, DefaultLatency: 10 * time.Millisecond,
		DefaultSlots: 16, MaxSlots: 128,
		ObservationHalfLife: 5 * time.Second, ReportHalfLife: 500 * time.Millisecond,
		SlowerReportWeight: 0.5, FasterReportWeight: 0.2,
		SlowStart: 10 * time.Second, EjectFailures: 5, EjectRate: 0.5,
		EjectBase: 5 * time.Second, EjectMax: 5 * time.Minute,
	}
}

// Validate checks the ranges that the Picker relies on.
func (c Config) Validate() error {
	if c.Ingresses < 1 || c.LocalIngresses < 1 || c.MaxSubset < 1 || c.DefaultSlots < 1 || c.MaxSlots < 1 || c.EjectFailures < 1 {
		return fmt.Errorf("a count of the routing configuration is below 1: %+v", c)
	}
	if c.ObservationHalfLife <= 0 || c.ReportHalfLife <= 0 || c.SlowStart <= 0 || c.EjectBase <= 0 || c.EjectMax < c.EjectBase {
		return fmt.Errorf("a time of the routing configuration is out of range: %+v", c)
	}
	if c.FasterReportWeight < 0 || c.FasterReportWeight > c.SlowerReportWeight || c.SlowerReportWeight > 0.5 {
		return fmt.Errorf("trust in idle reports %v and in busy reports %v must rise from 0 to at most 0.5", c.FasterReportWeight, c.SlowerReportWeight)
	}
	return nil
}

// Endpoint is a guard that serves the service.
type Endpoint struct {
	ID         string
	DataCentre string
	Address    string
	Started    time.Time // start of the backend server
	Draining   bool
	MaxConns   int // connections that the worker accepts; 0 means no limit
}

// ResultKind tells how a call ended.
type ResultKind uint8

// Kinds of results.
const (
	Completed ResultKind = iota // a backend server's response
	Refused               // refused as not run
	Failed                // broken connection, missing or wrong response
	Cancelled             // given up by the caller or at the deadline
)

// Report holds the load figures on a response.
type Report struct {
	Limit       int           // concurrency limit of the guard
	QueueWait   time.Duration // expected wait before a new call starts
	ServiceTime time.Duration // typical time of a call once started
	Age         time.Duration // age of the figures when the response arrived
}

// Result is the end of a call.
type Result struct {
	Kind     ResultKind
	Latency  time.Duration // from sending the call to its end
	Draining bool          // the response says that the endpoint is leaving
	Load     *Report       // nil if the response carries none
	NoResponse   bool          // nothing came from the endpoint's node
}
