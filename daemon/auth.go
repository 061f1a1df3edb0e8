package daemon

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
)

// keys are what callers of the HTTP port show as bearer tokens.
type keys struct {
	cluster  string // for every call; empty lets all calls pass
	announce string // for announcements only; empty when there is none
}

func loadKeys(s settings.Security) (keys, error) {
	cluster, err := s.Key()
	if err != nil {
		return keys{}, err
	}
	announce, err := s.AnnounceKey()
	return keys{cluster: cluster, announce: announce}, err
}

// require lets requests below /v1/ pass only with a key. Without a cluster key,
// which the settings allow on loopback only, all pass.
func (k keys) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.allows(r) {
			writeError(w, &api.Error{Kind: api.ErrUnauthorized, Message: "the key is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (k keys) allows(r *http.Request) bool {
	if k.cluster == "" || !strings.HasPrefix(r.URL.Path, "/v1/") {
		return true
	}
	if shows(r, k.cluster) {
		return true
	}
	return k.announce != "" && r.URL.Path == api.PathAnnounce && shows(r, k.announce)
}

// shows reports whether a request carries a key, in constant time.
func shows(r *http.Request, key string) bool {
	got := []byte(r.Header.Get("Authorization"))
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+key)) == 1
}
