package peerrpc

import (
	"encoding/json"
	"errors"

	"storj.io/drpc/drpcerr"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
)

// faultCode is the code of a drpc error whose text is a fault in JSON.
const faultCode = 1000

// notSentError wraps the error of a call of which no byte was written.
type notSentError struct{ cause error }

// Error implements the error interface.
func (e *notSentError) Error() string { return "nothing was sent: " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *notSentError) Unwrap() error { return e.cause }

// NotSent reports whether err is the error of a call of which no byte was written, so that
// the call was certainly not executed. After any other error the call may have been
// executed, unless the kind of the error excludes it.
func NotSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}

func notSentFault(cause error, kind fault.Kind, remedy, format string, args ...any) error {
	return fault.Wrap(&notSentError{cause}, kind, remedy, format, args...)
}

func unreachableFault(cause error, to Target) error {
	return notSentFault(cause, fault.HomeUnreachable, "check the daemon and the link to it, or retry later; nothing was sent",
		"daemon %s at %s cannot be reached", to.ID, to.Addr)
}

func outcomeUnknownFault(cause error, to Target) error {
	return fault.Wrap(cause, fault.FateUnknownYet, "ask for the fate of the key later, through any daemon",
		"daemon %s at %s did not answer; the call may have taken effect", to.ID, to.Addr)
}

// remoteError is the form in which a fault is sent to the caller: drpc transfers the text
// and the code.
type remoteError struct{ text string }

// Error implements the error interface.
func (e *remoteError) Error() string { return e.text }

// Code returns the code that drpcerr.Code reports.
func (e *remoteError) Code() uint64 { return faultCode }

// encodeFault converts a handler's error to one that drpc transfers with its kind, message
// and remedy.
func encodeFault(err error) error {
	text, jsonErr := json.Marshal(fault.From(err))
	if jsonErr != nil {
		return err
	}
	return &remoteError{text: string(text)}
}

// decodeFault returns the fault that a peer's handler returned, or nil when err does not
// contain one.
func decodeFault(err error) *fault.Error {
	if drpcerr.Code(err) != faultCode {
		return nil
	}
	var e fault.Error
	if json.Unmarshal([]byte(err.Error()), &e) != nil {
		return nil
	}
	return peerpb.FaultFromProto(peerpb.FaultToProto(&e))
}
