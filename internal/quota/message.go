package quota

import "time"

// Life is how long a lot is valid, from the time the borrower sent its request.
const Life = time.Second

// reportGrace is how long after the expiry of a lot the lender still accepts
// reports on it.
const reportGrace = time.Second

// LenderID names one incarnation of a lender.
type LenderID struct {
	Node        string
	Incarnation string
	DataCentre  string
	PeerAddress string // IP:port
}

// Report tells a lender what has become of a lot.
type Report struct {
	Sequence uint64 // of the request that the lot was granted for
	Held     int64  // tokens that may still be taken
	Used     int64  // tokens taken
}

// Borrow asks a lender for a lot of tokens and reports on earlier lots.
type Borrow struct {
	Lender     LenderID
	Workspace  string
	DataCentre string  // data centre of the borrower
	Borrower   string  // name and incarnation of the borrower's node
	Relay      bool    // the borrower is a lender itself
	Sequence   uint64  // rises with each request of the borrower
	Want       int64   // tokens wanted; zero only reports
	Demand     float64 // tokens per second that the borrower's calls ask for
	Reports    []Report
}

// Grant is the answer to a Borrow.
type Grant struct {
	Sequence   uint64        // of the request
	Granted    int64         // tokens
	Life       time.Duration // validity from the time the request was sent
	RetryAfter time.Duration // when to ask again if fewer tokens than wanted were granted
	Ahead      time.Duration // time whose demand the borrower should hold; zero leaves it as it is
	NotLender  bool          // the receiver does not lend for the workspace
}

// HandOver passes a lender's bucket to its successor.
type HandOver struct {
	Workspace   string
	DataCentre  string
	Since       int64   // change log entry that made the receiver the lender
	Incarnation string  // of the receiver
	Part        Limit   // in force at the sender
	Level       float64 // tokens in the bucket
	Outstanding int64   // tokens lent and neither reported nor expired
}
