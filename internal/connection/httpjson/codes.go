package httpjson

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Codes maps the sentinel errors of one protocol to the codes that its answers carry.
type Codes map[string]error

// Fault returns the fault that carries an error's code.
func (c Codes) Fault(err error) *Fault {
	for code, sentinel := range c {
		if errors.Is(err, sentinel) {
			return &Fault{Status: fasthttp.StatusConflict, Code: code, Message: err.Error()}
		}
	}
	return &Fault{Status: fasthttp.StatusInternalServerError, Code: "Internal", Message: err.Error()}
}

// Error returns the sentinel that a call's error stands for: notSent if it was never delivered,
// the code's own if the other end answered, and unknown in all other cases.
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
