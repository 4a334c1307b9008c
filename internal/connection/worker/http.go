package worker

import (
	"context"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
)

// Paths of a worker's HTTP API.
const (
	PathHold  = "/v1/hold"
	PathStart = "/v1/start"
	PathStop  = "/v1/stop"
	PathRenew = "/v1/renew"
)

// ErrorCodes maps the error codes of a worker.
var ErrorCodes = httpjson.Codes{
	"Fenced":  ErrFenced,
	"Refused": ErrRefused,
	"Unknown": ErrUnknown,
}

// Dial returns a client of the worker at an address; a call that gets no response fails after the timeout.
func Dial(address string, timeout time.Duration) Client {
	client := httpjson.NewClient(address)
	call := func(ctx context.Context, extra time.Duration, path string, in, out any) error {
		ctx, cancel := context.WithTimeout(ctx, timeout+extra)
		defer cancel()
		return ErrorCodes.Error(client.Call(ctx, "POST", path, in, out), ErrUnreachable, ErrUnknown)
	}
	return Client{
		Hold: func(ctx context.Context, hold Hold) error {
			return call(ctx, 0, PathHold, hold, nil)
		},
		Start: func(ctx context.Context, start Start) error {
			return call(ctx, 0, PathStart, start, nil)
		},
		Stop: func(ctx context.Context, stop Stop) (stopping Stopping, err error) {
			err = call(ctx, stop.Grace, PathStop, stop, &stopping)
			return stopping, err
		},
		Renew: func(ctx context.Context, renew Renew) (report Report, err error) {
			err = call(ctx, 0, PathRenew, renew, &report)
			return report, err
		},
	}
}
