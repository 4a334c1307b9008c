package operator

import (
	"context"
	"fmt"
	"net/url"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Client calls the operators' address of one entry instance.
type Client struct {
	http *httpjson.Client
}

// NewClient returns a client for the instance at address, as IP:port, that authenticates with an operator's bearer token.
func NewClient(address, token string) *Client {
	client := httpjson.NewClient(address)
	client.Token = token
	return &Client{http: client}
}

// Config returns the configuration in force at the instance. Version 0 means that none has been accepted yet.
func (c *Client) Config(ctx context.Context) (config Config, err error) {
	err = c.http.Call(ctx, "GET", "/v1/config", nil, &config)
	return config, err
}

// Apply submits a new configuration. It fails with code Conflict if change.Base is no longer the accepted version.
func (c *Client) Apply(ctx context.Context, change Change) (acceptance Acceptance, err error) {
	err = c.http.Call(ctx, "POST", "/v1/config", change, &acceptance)
	return acceptance, err
}

// History returns at most limit accepted versions with numbers less than below, newest first, without their texts.
// If below is 0, it starts with the newest version.
func (c *Client) History(ctx context.Context, below ids.Version, limit int) (list []Config, err error) {
	err = c.http.Call(ctx, "GET", fmt.Sprintf("/v1/config/history?Below=%d&Limit=%d", below, limit), nil, &list)
	return list, err
}

// InForce returns which instances have applied the accepted configuration.
func (c *Client) InForce(ctx context.Context) (in InForce, err error) {
	err = c.http.Call(ctx, "GET", "/v1/config/status", nil, &in)
	return in, err
}

// Reports returns the reports of all data centres.
func (c *Client) Reports(ctx context.Context) (reports Reports, err error) {
	err = c.http.Call(ctx, "GET", "/v1/reports", nil, &reports)
	return reports, err
}

// Timeline returns the matching events of all live entry instances.
func (c *Client) Timeline(ctx context.Context, f Filter) (t Timeline, err error) {
	query := url.Values{"Job": {string(f.Job)}, "Account": {string(f.Account)}, "Request": {string(f.Request)}}
	err = c.http.Call(ctx, "GET", "/v1/timeline?"+query.Encode(), nil, &t)
	return t, err
}

// Accounts returns the client accounts of the configuration in force.
func (c *Client) Accounts(ctx context.Context) (list []Account, err error) {
	err = c.http.Call(ctx, "GET", "/v1/accounts", nil, &list)
	return list, err
}
