package gateway

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"bronzehook/api"
	"bronzehook/fault"
)

// Caller identifies the sender of a request.
type Caller struct {
	Name string
	Team string
}

// Authenticator determines the sender of a request. A failure is reported to the caller as not-run.
type Authenticator interface {
	Authenticate(r *http.Request) (Caller, error)
}

// HeaderAuthenticator trusts the team header. It suits deployments where only trusted callers reach the instance.
type HeaderAuthenticator struct {
	// DefaultTeam is the team of requests without the header; if empty, such requests are refused.
	DefaultTeam string
}

// Authenticate implements Authenticator.
func (a HeaderAuthenticator) Authenticate(r *http.Request) (Caller, error) {
	team := r.Header.Get(api.HeaderTeam)
	if team == "" {
		team = a.DefaultTeam
	}
	if team == "" {
		return Caller{}, notRun(fault.CodeUnauthenticated, "authenticate", "header "+api.HeaderTeam+" is missing")
	}
	return Caller{Name: team, Team: team}, nil
}

// bearerPrefix is the prefix of an Authorization header with a bearer token.
const bearerPrefix = "Bearer "

// BearerAuthenticator identifies callers by their bearer tokens. It stores only digests of the tokens.
type BearerAuthenticator struct {
	callers map[[sha256.Size]byte]Caller
}

// NewBearerAuthenticator returns an authenticator for the given tokens.
func NewBearerAuthenticator(tokens map[string]Caller) *BearerAuthenticator {
	callers := make(map[[sha256.Size]byte]Caller, len(tokens))
	for token, caller := range tokens {
		callers[sha256.Sum256([]byte(token))] = caller
	}
	return &BearerAuthenticator{callers: callers}
}

// Authenticate implements Authenticator. It removes the token from the request, because an endpoint of another team
// must not learn it.
func (a *BearerAuthenticator) Authenticate(r *http.Request) (Caller, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return Caller{}, notRun(fault.CodeUnauthenticated, "authenticate", "no bearer token")
	}
	caller, ok := a.callers[sha256.Sum256([]byte(token))]
	if !ok {
		return Caller{}, notRun(fault.CodeUnauthenticated, "authenticate", "the token is not known")
	}
	r.Header.Del("Authorization")
	return caller, nil
}
