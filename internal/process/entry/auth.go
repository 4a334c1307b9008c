package entry

import (
	"bytes"
	"crypto/subtle"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
)

var bearer = []byte("Bearer ")

// authenticate returns the token that a request presents, or nil. All tokens are compared, each in constant time.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx) *settings.Token {
	presented, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), bearer)
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

// asCaller serves a request with a caller's token, or an operator's.
func (e *Entry) asCaller(serve func(ctx *fasthttp.RequestCtx, token *settings.Token)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		token := e.authenticate(ctx)
		if token == nil {
			httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusUnauthorized, Code: "Unauthorized", Message: "a valid bearer token is required"})
			return
		}
		serve(ctx, token)
	}
}

// asOperator serves a request with an operator's token.
func (e *Entry) asOperator(serve fasthttp.RequestHandler) fasthttp.RequestHandler {
	return e.asCaller(func(ctx *fasthttp.RequestCtx, token *settings.Token) {
		if !token.Operator {
			httpjson.ReplyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusForbidden, Code: "Forbidden", Message: "an operator's token is required"})
			return
		}
		serve(ctx)
	})
}
