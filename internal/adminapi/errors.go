package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/settings"
	"github.com/teaselseam/teaselseam/internal/store"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// Code is the machine-readable reason of an error.
type Code string

// Codes.
const (
	CodeUnauthenticated Code = "unauthenticated" // token is missing or unknown
	CodeForbidden       Code = "forbidden"       // operator lacks the right
	CodeBadRequest      Code = "bad_request"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeInvalidSetting  Code = "invalid_setting" // Problem says which
	CodeConflict        Code = "conflict"        // Conflict shows both sides
	CodeUnknownBase     Code = "unknown_base"    // base revision is not in the log
	CodeOperationReused Code = "operation_reused"
	CodeAlreadyIssued   Code = "already_issued" // the operation issued a key before
	CodeNotFound        Code = "not_found"
	CodeNotSupported    Code = "not_supported" // this node does not report it
	CodeNotReady        Code = "not_ready"     // node has not learned the change log
	// CodeUnavailable means that the platform failed and this call changed
	// nothing. An earlier call with the same operation ID may have.
	CodeUnavailable Code = "platform_unavailable"
	// CodeUnknownOutcome means that the change may or may not have taken effect.
	CodeUnknownOutcome Code = "unknown_outcome"
)

var statusOf = map[Code]int{
	CodeUnauthenticated: http.StatusUnauthorized,
	CodeForbidden:       http.StatusForbidden,
	CodeBadRequest:      http.StatusBadRequest,
	CodeBodyTooLarge:    http.StatusRequestEntityTooLarge,
	CodeInvalidSetting:  http.StatusUnprocessableEntity,
	CodeConflict:        http.StatusConflict,
	CodeUnknownBase:     http.StatusConflict,
	CodeOperationReused: http.StatusConflict,
	CodeAlreadyIssued:   http.StatusConflict,
	CodeNotFound:        http.StatusNotFound,
	CodeNotSupported:    http.StatusNotImplemented,
	CodeNotReady:        http.StatusServiceUnavailable,
	CodeUnavailable:     http.StatusServiceUnavailable,
	CodeUnknownOutcome:  http.StatusGatewayTimeout,
}

// Error is the body of every answer that is not a success.
type Error struct {
	Code      Code                `json:"code"`
	Message   string              `json:"message"`
	Operation string              `json:"operation,omitempty"`
	Problem   *settings.Problem   `json:"problem,omitempty"`
	Conflict  *changelog.Conflict `json:"conflict,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

func (e *Error) status() int { return statusOf[e.Code] }

// errorOf turns any error into the body of an answer. Keys in the message are
// replaced, because it may quote what the operator sent.
func errorOf(err error) *Error {
	var (
		e        *Error
		problem  *settings.Problem
		conflict *changelog.Conflict
		unknown  *store.Unknown
		invalid  *store.InvalidEntry
	)
	switch {
	case errors.As(err, &e):
		copied := *e
		e = &copied
	case errors.As(err, &problem):
		e = &Error{Code: CodeInvalidSetting, Message: problem.Error(), Problem: problem}
	case errors.As(err, &conflict):
		e = &Error{Code: CodeConflict, Message: conflict.Error(), Conflict: conflict}
	case errors.As(err, &unknown):
		e = &Error{Code: CodeUnknownOutcome, Message: unknown.Error(), Operation: unknown.Operation}
	case errors.As(err, &invalid):
		e = &Error{Code: CodeBadRequest, Message: invalid.Error()}
	case errors.Is(err, changelog.ErrBase):
		e = &Error{Code: CodeUnknownBase, Message: err.Error()}
	default:
		e = &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	e.Message = workspace.Redact(e.Message)
	return e
}

func badRequest(format string, args ...any) error {
	return &Error{Code: CodeBadRequest, Message: fmt.Sprintf(format, args...)}
}

// decode reads a body as JSON. Its errors do not quote the body, which may hold
// a key.
func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{Code: CodeBodyTooLarge, Message: fmt.Sprintf("body is larger than %d bytes", tooLarge.Limit)}
	}
	if err != nil {
		return badRequest("body is not JSON with the known fields, near byte %d", d.InputOffset())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body has data after its end")
	}
	return nil
}

// operationPattern is the form of an operation ID.
var operationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:-]{0,63}$`)

// operationID checks the client's operation ID, or makes one.
func operationID(id string) (string, error) {
	if id == "" {
		return uuid.NewString(), nil
	}
	if !operationPattern.MatchString(id) || workspace.ContainsKey(id) {
		return "", badRequest("operation ID is not 1 to 64 letters, digits or any of _.:-")
	}
	return id, nil
}

// isUncertain reports whether a commit may succeed when it is tried again.
func isUncertain(err error) bool {
	code := errorOf(err).Code
	return code == CodeUnavailable || code == CodeUnknownOutcome
}
