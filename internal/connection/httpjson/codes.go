package httpjson

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Codes maps the error codes in the responses of one protocol to sentinel errors.
type Codes map[string]error

// Fault returns a fault with the code of the sentinel that err matches, or an internal error if it matches none.
func (c Codes) Fault(err error) *Fault {
	for code, sentinel := range c {
		if errors.Is(err, sentinel) {
			return &Fault{Status: fasthttp.StatusConflict, Code: code, Message: err.Error()}
		}
	}
	return &Fault{Status: fasthttp.StatusInternalServerError, Code: "Internal", Message: err.Error()}
}

// Error marks a call's error with the matching sentinel: notSent if the request was never delivered,
// the sentinel of the response's code if there is one, and unknown in all other cases.
func (c Codes) Error(err, notSent, unknown error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrNotSent) {
		return errors.Mark(err, notSent)
	}
	var fault *Fault
	if errors.As(err, &fault) {
		if sentinel, found := c[fault.Code]; found {
			return errors.Mark(err, sentinel)
		}
	}
	return errors.Mark(err, unknown)
}
