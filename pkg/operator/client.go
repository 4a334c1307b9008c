package operator

import (
	"context"
	"fmt"
	"net/url"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Client calls one entry instance's address for operators.
type Client struct {
	peer *httpjson.Peer
}

// NewClient returns a client of the instance at an address, as IP:port, with an operator's bearer token.
func NewClient(address, token string) *Client {
	p := httpjson.NewPeer(address)
	p.Token = token
	return &Client{peer: p}
}

// Config returns the configuration in force at the instance; version 0 means that none was accepted yet.
func (c *Client) Config(ctx context.Context) (config Config, err error) {
	err = c.peer.Call(ctx, "GET", "/v1/config", nil, &config)
	return config, err
}

// Apply asks for a new configuration. A change whose base is no longer the accepted version fails with code Conflict.
func (c *Client) Apply(ctx context.Context, change Change) (acceptance Acceptance, err error) {
	err = c.peer.Call(ctx, "POST", "/v1/config", change, &acceptance)
	return acceptance, err
}

// History returns accepted versions, the newest first, without their texts. A below of 0 begins with the newest.
func (c *Client) History(ctx context.Context, below ids.Version, limit int) (list []Config, err error) {
	err = c.peer.Call(ctx, "GET", fmt.Sprintf("/v1/config/history?Below=%d&Limit=%d", below, limit), nil, &list)
	return list, err
}

// InForce tells where the accepted configuration is in force.
func (c *Client) InForce(ctx context.Context) (in InForce, err error) {
	err = c.peer.Call(ctx, "GET", "/v1/config/status", nil, &in)
	return in, err
}

// Reports returns the reports of all data centres.
func (c *Client) Reports(ctx context.Context) (reports Reports, err error) {
	err = c.peer.Call(ctx, "GET", "/v1/reports", nil, &reports)
	return reports, err
}

// Timeline returns the events of all live entry instances that match.
func (c *Client) Timeline(ctx context.Context, f Filter) (t Timeline, err error) {
	query := url.Values{"Job": {string(f.Job)}, "Account": {string(f.Account)}, "Request": {string(f.Request)}}
	err = c.peer.Call(ctx, "GET", "/v1/timeline?"+query.Encode(), nil, &t)
	return t, err
}

// Accounts returns the client accounts of the configuration in force.
func (c *Client) Accounts(ctx context.Context) (list []Account, err error) {
	err = c.peer.Call(ctx, "GET", "/v1/accounts", nil, &list)
	return list, err
}
