package routing

import (
	"time"
)

// Config sets the limits and time constants of a Picker.
type Config struct {
	Ingress        string // ID of this ingress; selects its subset by hashing
	Ingresses      int    // ingresses in the fleet that may call the service
	LocalIngresses int    // ingresses in the local data centre
	MaxSubset      int    // maximum number of endpoints per tier of the subset

	CrossDCDelay   time.Duration // one-way network delay to another data centre
	DefaultLatency time.Duration // expected time before the first observation
	DefaultSlots   int           // assumed concurrency limit of an endpoint that reports none
	MaxSlots       int           // maximum accepted value of a reported concurrency limit

	ObservationHalfLife time.Duration // age at which an observation of this ingress has half its weight
	ReportHalfLife      time.Duration // age at which a reported figure has half its weight
	SlowdownHalfLife    time.Duration // age at which a reported slowdown has half its weight
	SlowerReportWeight  float64       // weight of a new report of a longer time than the observed one
	ShorterWaitWeight   float64       // weight of a reported wait that is shorter than the observed ones
	FasterReportWeight  float64       // weight of a new report of a shorter time than the observed one

	SlowStart     time.Duration // time from the start of an endpoint to its full share of calls
	EjectFailures int           // consecutive failures after which an endpoint is ejected
	EjectRate     float64       // failure rate above which an endpoint is ejected
	EjectBase     time.Duration // duration of the first ejection
	EjectMax      time.Duration // longest ejection; the count of ejections is reset after this time in use
}

// DefaultConfig returns the default configuration for an ingress in a fleet of the
// given size.
func DefaultConfig(ingress string, ingresses, localIngresses int) Config {
	return Config{
		Ingress: ingress, Ingresses: ingresses, LocalIngresses: localIngresses, MaxSubset: 32,
		CrossDCDelay: 1500 * time.Microsecond, DefaultLatency: 10 * time.Millisecond,
		DefaultSlots: 16, MaxSlots: 128,
		ObservationHalfLife: 5 * time.Second, ReportHalfLife: 500 * time.Millisecond,
		SlowdownHalfLife:   200 * time.Millisecond,
		SlowerReportWeight: 0.5, FasterReportWeight: 0.2, ShorterWaitWeight: 0.5,
		SlowStart: 10 * time.Second, EjectFailures: 5, EjectRate: 0.5,
		EjectBase: 5 * time.Second, EjectMax: 5 * time.Minute,
	}
}

// Endpoint is a guard in front of a backend server of the service.
type Endpoint struct {
	ID         string
	DataCentre string
	Address    string
	Started    time.Time // start of the backend server
	ColdUntil  time.Time // end of its cold phase as known from its member's row; zero if it has none
	Draining   bool
	MaxConns   int // maximum number of connections that the endpoint accepts; 0 means no limit
}

// ResultKind classifies how a call ended.
type ResultKind uint8

// Result kinds.
const (
	Completed ResultKind = iota // response of a backend server
	Refused                     // refused before it ran
	Failed                      // broken connection, or missing or malformed response
	Elsewhere                   // not accepted, because another endpoint is expected to finish it sooner
	Cancelled                   // abandoned by the caller or at the deadline
)

// Report holds the load figures that an endpoint sends with a response.
type Report struct {
	Limit       int           // concurrency limit of the guard
	Running     int           // calls that run at the endpoint
	QueueWait   time.Duration // expected queueing time of a new call
	ServiceTime time.Duration // typical execution time of a call, without queueing
	RateLimit   float64       // calls per second that the endpoint accepts from all ingresses; zero for no limit
	// ColdRate is how many calls per second the endpoint accepts while it is cold, and
	// ColdRemaining how long that is. Both are zero if it is not cold.
	ColdRate      float64
	ColdRemaining time.Duration
	// Slowdown is the factor at this moment on the run time that is usual at the endpoint. It
	// is zero if the endpoint reports no work; QueueWait then is that of the waiting calls only.
	Slowdown float64
	Age      time.Duration // age of the figures when the response arrived
}

// Result describes how a call ended.
type Result struct {
	Kind       ResultKind
	Latency    time.Duration // time from sending the call to its end
	Cost       time.Duration // expected cost as passed to PickByCost; zero if unknown
	Ran        time.Duration // part of Latency at the backend server; zero if unknown
	Draining   bool          // the response reports that the endpoint is draining
	Load       *Report       // nil if the response carries no load figures
	NoResponse bool          // nothing was received from the endpoint's node
}
