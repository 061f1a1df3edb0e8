package daemon

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
)

// keys holds the bearer tokens that the HTTP port accepts.
type keys struct {
	cluster  string // for all requests; if empty, no request needs a key
	announce string // for announcements only; empty if not configured
}

func loadKeys(s settings.Security) (keys, error) {
	cluster, err := s.Key()
	if err != nil {
		return keys{}, err
	}
	announce, err := s.AnnounceKey()
	return keys{cluster: cluster, announce: announce}, err
}

// require rejects requests below /v1/ that carry no valid key. Without a cluster key,
// which the settings allow on loopback addresses only, it accepts all requests.
func (k keys) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.authorized(r) {
			writeError(w, &api.Error{Kind: api.ErrUnauthorized, Message: "the key is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (k keys) authorized(r *http.Request) bool {
	if k.cluster == "" || !strings.HasPrefix(r.URL.Path, "/v1/") {
		return true
	}
	if hasKey(r, k.cluster) {
		return true
	}
	return k.announce != "" && r.URL.Path == api.PathAnnounce && hasKey(r, k.announce)
}

// hasKey reports whether a request carries the key, compared in constant time.
func hasKey(r *http.Request, key string) bool {
	got := []byte(r.Header.Get("Authorization"))
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+key)) == 1
}
