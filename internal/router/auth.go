package router

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/greengagegate/greengagegate/internal/object"
)

// credentialHeaders may carry a caller's key and are never forwarded.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Cookie", "Proxy-Authorization"}

// caller is who sent a request.
type caller struct {
	// key is nil for a caller without a valid key.
	key *object.Key
	// customer is empty for a caller without a valid key.
	customer string
	// secret is what the caller presented. It is never logged or forwarded.
	secret string
}

// presentedSecret returns the key that came with a request, or "".
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

// identify resolves the caller's key. A missing, unknown or withdrawn key
// leaves the caller without a customer; open routes are still served.
func identify(set *object.Set, r *http.Request) caller {
	secret := presentedSecret(r)
	if secret == "" {
		return caller{}
	}
	key := set.KeyFor(secret)
	if key == nil || key.State != object.KeyActive {
		return caller{secret: secret}
	}
	return caller{key: key, customer: key.Customer, secret: secret}
}

// unauthorized explains why a caller without a customer gets no keyed route.
func (c caller) unauthorized() *apiError {
	if c.secret == "" {
		return refuse(http.StatusUnauthorized, "key_missing", "authenticate", "the request carries no key")
	}
	return refuse(http.StatusUnauthorized, "key_invalid", "authenticate", "the key is unknown or withdrawn")
}

// leaksKey reports whether the caller's key stands in the path, the query or the body.
func (c caller) leaksKey(r *http.Request, body []byte) bool {
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

// forwardHeader returns the header lines that a plain service may see: none
// that hold the caller's key, and none that belong to one connection only.
func (c caller) forwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range credentialHeaders {
		forwarded.Del(name)
	}
	for _, name := range connectionHeaders(header) {
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

// connectionHeaders lists the headers that hold for one connection only.
func connectionHeaders(header http.Header) []string {
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
