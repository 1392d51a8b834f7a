package request

// Headers of the interface for callers.
const (
	HeaderKey        = "Teaselseam-Key"        // workspace key; never forwarded
	HeaderID         = "Teaselseam-Request-Id" // request ID; on requests and answers
	HeaderTimeout    = "Teaselseam-Timeout-Ms" // time left for the whole call, in ms
	HeaderImportance = "Teaselseam-Importance" // importance level
	HeaderIdempotent = "Teaselseam-Idempotent" // "true" if the call may be repeated
	HeaderOutcome    = "Teaselseam-Outcome"    // on refusals: not_run or may_have_run
	HeaderReason     = "Teaselseam-Reason"     // on refusals: machine-readable reason
	HeaderCall       = "Teaselseam-Call"       // call token of a running call, for its nested calls
)

// Headers between nodes. The ingress removes them from callers' requests.
const (
	HeaderWorkspace   = "Teaselseam-Workspace"   // workspace of the root call
	HeaderKeyDigest   = "Teaselseam-Key-Digest"  // digest of the key, hex; never sent to a backend server
	HeaderRoute       = "Teaselseam-Route"       // route name
	HeaderService     = "Teaselseam-Service"     // target service
	HeaderAttempt     = "Teaselseam-Attempt"     // attempt ID, unique to each attempt
	HeaderBudget      = "Teaselseam-Budget"      // retries lent, and on answers those unused
	HeaderDepth       = "Teaselseam-Depth"       // hops from the root
	HeaderRoot        = "Teaselseam-Root-Id"     // ID of the root request
	HeaderIncarnation = "Teaselseam-Incarnation" // incarnation of the guard that the call is meant for
	HeaderLoad        = "Teaselseam-Load"        // load figures of the answering guard
	HeaderHints       = "Teaselseam-Hints"       // load hints of services behind the answer
	HeaderDraining    = "Teaselseam-Draining"    // "true" on answers of a guard that is leaving
	HeaderRetryMs     = "Teaselseam-Retry-Ms"    // on refusals between nodes: Retry-After in ms
)

// Prefix is the common prefix of all headers of this package.
const Prefix = "Teaselseam-"
