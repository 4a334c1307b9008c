package entry

import (
	"bytes"
	"crypto/subtle"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
)

var bearerPrefix = []byte("Bearer ")

// authenticate returns the token that a request presents, or nil if it is not valid. It compares all tokens, each in
// constant time.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx) *settings.Token {
	presented, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearerPrefix)
	if !found {
		return nil
	}
	var match *settings.Token
	for i := range e.Settings.Tokens {
		token := &e.Settings.Tokens[i]
		if subtle.ConstantTimeCompare(presented, []byte(token.Secret)) == 1 {
			match = token
		}
	}
	return match
}

// admit returns the valid token of a request, an operator's if it must be; otherwise it replies and returns nil.
func (e *Entry) admit(ctx *fasthttp.RequestCtx, mustBeOperator bool) *settings.Token {
	token := e.authenticate(ctx)
	if token == nil {
		httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusUnauthorized, Code: "Unauthorized", Message: "a valid bearer token is required"})
		return nil
	}
	if mustBeOperator && !token.Operator {
		httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusForbidden, Code: "Forbidden", Message: "an operator's token is required"})
		return nil
	}
	return token
}

// requireToken serves only requests with a valid token, a caller's or an operator's.
func (e *Entry) requireToken(serve func(ctx *fasthttp.RequestCtx, token *settings.Token)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if token := e.admit(ctx, false); token != nil {
			serve(ctx, token)
		}
	}
}

// requireOperator serves only requests with an operator's token.
func (e *Entry) requireOperator(serve fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if e.admit(ctx, true) != nil {
			serve(ctx)
		}
	}
}
