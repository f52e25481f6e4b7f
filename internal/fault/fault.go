// Package fault defines the error type of catkinvalve. Every error that is shown to a
// caller or an operator, or written to a log, has a kind that programs can test, a
// message that describes what happened and a remedy that describes what to do.
package fault

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind is a class of errors. Kinds are part of the public API.
type Kind string

// Error kinds. Each one is documented for operators in docs/operations/errors.md.
const (
	// Malformed means that the input could not be parsed or validated.
	Malformed Kind = "malformed"
	// WrongContentType means that the body is not application/json.
	WrongContentType Kind = "wrong_content_type"
	// TooLarge means that a body, header or field exceeds its limit.
	TooLarge Kind = "too_large"
	// SlowBody means that the body did not arrive within the read timeout.
	SlowBody Kind = "slow_body"
	// KeyConflict means that the key was already used for another request, for example
	// one with another payload.
	KeyConflict Kind = "key_conflict"
	// NotFound means that the key, worker or route is not known.
	NotFound Kind = "not_found"
	// CanNeverRun means that the request does not fit on the workers of the data centre,
	// not even if all of them are idle.
	CanNeverRun Kind = "can_never_run"
	// UnknownService means that the published configuration does not list the service.
	UnknownService Kind = "unknown_service"
	// Overloaded means that a queue, quota or connection limit is exhausted.
	Overloaded Kind = "overloaded"
	// DeadlineExceeded means that the deadline passed before the request was started.
	DeadlineExceeded Kind = "deadline_exceeded"
	// FateInDoubt means that the home data centre has lost its records of keys and cannot
	// tell whether the request with this key has already run.
	FateInDoubt Kind = "fate_in_doubt"
	// FateUnknownYet means that an attempt may still be in progress; the caller should
	// retry later.
	FateUnknownYet Kind = "fate_unknown_yet"
	// HomeUnreachable means that the home data centre could not be reached and nothing
	// was sent to it.
	HomeUnreachable Kind = "home_unreachable"
	// NoOwner means that no daemon currently owns the data centre.
	NoOwner Kind = "no_owner"
	// LeaseLost means that a worker refused a command because its lease has expired or was
	// replaced by a newer one.
	LeaseLost Kind = "lease_lost"
	// StaleTerm means that a peer refused a message of an earlier term.
	StaleTerm Kind = "stale_term"
	// LogUnavailable means that the platform's log service does not respond or refuses
	// appends.
	LogUnavailable Kind = "log_unavailable"
	// ListUnavailable means that the platform's instance list does not respond.
	ListUnavailable Kind = "list_unavailable"
	// WorkerUnavailable means that a worker does not respond.
	WorkerUnavailable Kind = "worker_unavailable"
	// OldSystemUnavailable means that the old system does not respond.
	OldSystemUnavailable Kind = "old_system_unavailable"
	// PublishConflict means that another revision of the configuration was accepted first.
	PublishConflict Kind = "publish_conflict"
	// Draining means that the process is shutting down.
	Draining Kind = "draining"
	// NotReady means that the daemon has not yet received the configuration or
	// determined who owns the data centre.
	NotReady Kind = "not_ready"
	// Usage means that a command line is invalid.
	Usage Kind = "usage"
	// Internal means a defect of catkinvalve.
	Internal Kind = "internal"
)

// Error is the error type of catkinvalve.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Cause is the underlying error, if any. It is not sent to callers.
	Cause error `json:"-"`
}

// New returns an Error with the given kind, message and remedy.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an Error that wraps cause, so that errors.Is and errors.As find it.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) *Error {
	e := New(kind, remedy, format, args...)
	e.Cause = cause
	return e
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := string(e.Kind) + ": " + e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or Internal when err is not an *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// From returns the *Error that err is or wraps. Any other error is wrapped in an *Error
// of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "report this as a defect with the daemon's log", "unexpected error")
}

var statusByKind = map[Kind]int{
	Malformed:            http.StatusBadRequest,
	Usage:                http.StatusBadRequest,
	WrongContentType:     http.StatusUnsupportedMediaType,
	TooLarge:             http.StatusRequestEntityTooLarge,
	SlowBody:             http.StatusRequestTimeout,
	KeyConflict:          http.StatusConflict,
	PublishConflict:      http.StatusConflict,
	LeaseLost:            http.StatusConflict,
	StaleTerm:            http.StatusConflict,
	NotFound:             http.StatusNotFound,
	UnknownService:       http.StatusUnprocessableEntity,
	CanNeverRun:          http.StatusUnprocessableEntity,
	Overloaded:           http.StatusTooManyRequests,
	DeadlineExceeded:     http.StatusGatewayTimeout,
	FateUnknownYet:       http.StatusGatewayTimeout,
	FateInDoubt:          http.StatusServiceUnavailable,
	HomeUnreachable:      http.StatusServiceUnavailable,
	NoOwner:              http.StatusServiceUnavailable,
	LogUnavailable:       http.StatusServiceUnavailable,
	ListUnavailable:      http.StatusServiceUnavailable,
	WorkerUnavailable:    http.StatusServiceUnavailable,
	OldSystemUnavailable: http.StatusServiceUnavailable,
	Draining:             http.StatusServiceUnavailable,
	NotReady:             http.StatusServiceUnavailable,
}

// HTTPStatus returns the HTTP status code of the error's kind, or 500 when the kind has
// none.
func (e *Error) HTTPStatus() int {
	if s, ok := statusByKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}
