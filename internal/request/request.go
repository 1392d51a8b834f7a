// Package request defines types that describe a request at all stages of its handling:
// its importance, its outcome and its refusal. The package does no I/O.
package request
