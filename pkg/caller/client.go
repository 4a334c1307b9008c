package caller

import (
	"context"
	"net/url"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Client calls one entry instance, or the balancer before several.
	Client struct {
		peer *httpjson.Peer
	}

	// Fault is the typed error of a call: a stable code, a message and when to come back.
	Fault = httpjson.Fault
)

// ErrNotSent tells that a call was never delivered, so that nothing was done. It is a mark, which errors.Is of
// cockroachdb/errors finds.
var ErrNotSent = httpjson.ErrNotSent

// NewClient returns a client of the instance at an address, as IP:port, with a bearer token.
func NewClient(address, token string) *Client {
	p := httpjson.NewPeer(address)
	p.Token = token
	return &Client{peer: p}
}

// Submit submits a job. Operators name the account; callers leave it empty.
// After an error that is no *Fault and not ErrNotSent the job may have been accepted; the same key may be submitted again.
func (c *Client) Submit(ctx context.Context, account ids.AccountID, job Job) (status JobStatus, err error) {
	err = c.peer.Call(ctx, "POST", "/v1/jobs?"+accountQuery(account), job, &status)
	return status, err
}

// Status returns a job's state. The data centre, if known, spares a look-up.
func (c *Client) Status(ctx context.Context, id ids.JobID, dataCentre ids.DataCentreID) (status JobStatus, err error) {
	err = c.peer.Call(ctx, "GET", jobPath(id, dataCentre), nil, &status)
	return status, err
}

// Cancel cancels a job and returns its state.
func (c *Client) Cancel(ctx context.Context, id ids.JobID, dataCentre ids.DataCentreID) (status JobStatus, err error) {
	err = c.peer.Call(ctx, "DELETE", jobPath(id, dataCentre), nil, &status)
	return status, err
}

// List returns one page of an account's jobs, those after the one named.
func (c *Client) List(ctx context.Context, account ids.AccountID, after ids.JobID) (list JobList, err error) {
	err = c.peer.Call(ctx, "GET", "/v1/jobs?"+accountQuery(account)+"&After="+url.QueryEscape(string(after)), nil, &list)
	return list, err
}

func accountQuery(account ids.AccountID) string {
	return "Account=" + url.QueryEscape(string(account))
}

func jobPath(id ids.JobID, dataCentre ids.DataCentreID) string {
	return "/v1/jobs/" + url.PathEscape(string(id)) + "?DataCentre=" + url.QueryEscape(string(dataCentre))
}
