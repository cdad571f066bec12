package router

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/greengagegate/greengagegate/internal/object"
)

// credentialHeaders are the headers that may contain a caller's key or another
// credential. They are never forwarded.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie", "Proxy-Authorization"}

// callerIdentity is the result of authenticating the sender of a request.
type callerIdentity struct {
	// key is nil for a caller without a valid key.
	key *object.Key
	// customer is empty for a caller without a valid key.
	customer string
	// secret is the key that the caller presented, whether valid or not. It must
	// never be logged or forwarded.
	secret string
}

// presentedSecret returns the key in the headers of a request, or "" if there is
// none.
func presentedSecret(r *http.Request) string {
	authorization := r.Header.Get("Authorization")
	if scheme, token, ok := strings.Cut(authorization, " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(token)
	}
	if key := r.Header.Get("X-Api-Key"); key != "" {
		return key
	}
	return r.Header.Get("Api-Key")
}

// identifyCaller looks up the key of a request in set. If the key is missing,
// unknown or withdrawn, the result has no customer; such a caller may still use
// open routes.
func identifyCaller(set *object.Set, r *http.Request) callerIdentity {
	secret := presentedSecret(r)
	if secret == "" {
		return callerIdentity{}
	}
	key := set.KeyFor(secret)
	if key == nil || key.State != object.KeyActive {
		return callerIdentity{secret: secret}
	}
	return callerIdentity{key: key, customer: key.Customer, secret: secret}
}

// unauthorizedError returns the error for a caller without a valid key on a route
// that requires one.
func (c callerIdentity) unauthorizedError() *apiError {
	if c.secret == "" {
		return newRefusal(http.StatusUnauthorized, "key_missing", "authenticate", "the request carries no key")
	}
	return newRefusal(http.StatusUnauthorized, "key_invalid", "authenticate", "the key is unknown or withdrawn")
}

// exposesKey reports whether the path, the query or the body of a request contains
// the caller's key.
func (c callerIdentity) exposesKey(r *http.Request, body []byte) bool {
	if c.secret == "" {
		return false
	}
	if strings.Contains(r.URL.Path, c.secret) || strings.Contains(r.URL.RawQuery, c.secret) {
		return true
	}
	for _, values := range r.URL.Query() {
		for _, value := range values {
			if strings.Contains(value, c.secret) {
				return true
			}
		}
	}
	return bytes.Contains(body, []byte(c.secret))
}

// forwardedHeader returns a copy of header for a plain service. It leaves out
// credential headers, other headers that contain the caller's key, and hop-by-hop
// headers.
func (c callerIdentity) forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range credentialHeaders {
		forwarded.Del(name)
	}
	for _, name := range hopByHopHeaders(header) {
		forwarded.Del(name)
	}
	for name, values := range forwarded {
		for _, value := range values {
			if c.secret != "" && strings.Contains(value, c.secret) {
				forwarded.Del(name)
			}
		}
	}
	return forwarded
}

// hopByHopHeaders returns the names of the headers that apply to a single
// connection, including those that the Connection header lists.
func hopByHopHeaders(header http.Header) []string {
	names := []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
	}
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}
