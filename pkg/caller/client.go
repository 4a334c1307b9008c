package caller

import (
	"context"
	"net/url"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Client calls one entry instance or a load balancer in front of several.
	Client struct {
		http *httpjson.Client
	}

	// Fault is the typed error of a call: a stable code, a message and a retry delay.
	Fault = httpjson.Fault
)

// ErrNotSent reports that a call was never delivered, so that it had no effect. Errors are marked with it; use
// errors.Is of github.com/cockroachdb/errors to test for it.
var ErrNotSent = httpjson.ErrNotSent

// NewClient returns a client for the instance at address, as IP:port, that authenticates with a bearer token.
func NewClient(address, token string) *Client {
	client := httpjson.NewClient(address)
	client.Token = token
	return &Client{http: client}
}

// Submit submits a job. Operators name the account; callers leave it empty.
// If the error is neither a *Fault nor ErrNotSent, the job may have been accepted; retrying with the same key is safe.
func (c *Client) Submit(ctx context.Context, account ids.AccountID, job Job) (status JobStatus, err error) {
	err = c.http.Call(ctx, "POST", "/v1/jobs?"+accountQuery(account), job, &status)
	return status, err
}

// Status returns a job's status. Passing the data centre, if known, avoids a lookup.
func (c *Client) Status(ctx context.Context, id ids.JobID, dataCentre ids.DataCentreID) (status JobStatus, err error) {
	err = c.http.Call(ctx, "GET", jobPath(id, dataCentre), nil, &status)
	return status, err
}

// Cancel cancels a job and returns its status.
func (c *Client) Cancel(ctx context.Context, id ids.JobID, dataCentre ids.DataCentreID) (status JobStatus, err error) {
	err = c.http.Call(ctx, "DELETE", jobPath(id, dataCentre), nil, &status)
	return status, err
}

// List returns one page of an account's jobs, starting after the job with id after.
func (c *Client) List(ctx context.Context, account ids.AccountID, after ids.JobID) (list JobList, err error) {
	err = c.http.Call(ctx, "GET", "/v1/jobs?"+accountQuery(account)+"&After="+url.QueryEscape(string(after)), nil, &list)
	return list, err
}

func accountQuery(account ids.AccountID) string {
	return "Account=" + url.QueryEscape(string(account))
}

func jobPath(id ids.JobID, dataCentre ids.DataCentreID) string {
	return "/v1/jobs/" + url.PathEscape(string(id)) + "?DataCentre=" + url.QueryEscape(string(dataCentre))
}
