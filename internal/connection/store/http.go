package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
)

type (
	// GetCall is the request body of a get or a watch.
	GetCall struct {
		Key   string
		After Revision      `json:",omitempty"`
		Wait  time.Duration `json:",omitempty"`
	}

	// DeleteCall is the request body of a delete.
	DeleteCall struct {
		Key      string
		Revision Revision
	}
)

// Paths of the key-value service.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathPut    = "/v1/put"
	PathDelete = "/v1/delete"
	PathWatch  = "/v1/watch"
)

// watchResponseMargin is the part of a watch's timeout that is reserved for its response.
const watchResponseMargin = time.Second

// ErrorCodes maps the error codes of the service.
var ErrorCodes = httpjson.Codes{
	"NotFound": ErrNotFound,
	"Conflict": ErrConflict,
	"Refused":  ErrRefused,
	"Unknown":  ErrUnknown,
}

// Dial returns a client of the key-value service at an address; a call that gets no response fails after the timeout.
func Dial(address string, timeout time.Duration) Client {
	client := httpjson.NewClient(address)
	client.Timeout = timeout
	call := func(ctx context.Context, path string, in, out any) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return ErrorCodes.Error(client.Call(ctx, "POST", path, in, out), ErrRefused, ErrUnknown)
	}
	return Client{
		Get: func(ctx context.Context, key string) (entry Entry, err error) {
			err = call(ctx, PathGet, GetCall{Key: key}, &entry)
			return entry, err
		},
		List: func(ctx context.Context, page Page) (entries []Entry, err error) {
			err = call(ctx, PathList, page, &entries)
			return entries, err
		},
		Put: func(ctx context.Context, write Write) (revision Revision, err error) {
			if len(write.Value) > MaxValueSize {
				return 0, errors.Mark(errors.Newf("value of %d bytes exceeds %d", len(write.Value), MaxValueSize), ErrRefused)
			}
			err = call(ctx, PathPut, write, &revision)
			return revision, err
		},
		Delete: func(ctx context.Context, key string, revision Revision) error {
			return call(ctx, PathDelete, DeleteCall{Key: key, Revision: revision}, nil)
		},
		Watch: func(ctx context.Context, key string, after Revision) (entry Entry, err error) {
			in := GetCall{Key: key, After: after, Wait: timeout}
			if deadline, found := ctx.Deadline(); found {
				in.Wait = max(time.Until(deadline)-watchResponseMargin, 0)
			}
			err = client.Call(ctx, "POST", PathWatch, in, &entry)
			return entry, ErrorCodes.Error(err, ErrRefused, ErrUnknown)
		},
	}
}
