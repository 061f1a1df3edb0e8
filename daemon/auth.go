package daemon

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
)

// requireKey lets requests below /v1/ pass only with the cluster key. With an
// empty key, which the settings allow on loopback only, all pass.
func requireKey(key string) func(http.Handler) http.Handler {
	want := []byte("Bearer " + key)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got := []byte(r.Header.Get("Authorization"))
			guarded := key != "" && strings.HasPrefix(r.URL.Path, "/v1/")
			if guarded && subtle.ConstantTimeCompare(got, want) != 1 {
				writeError(w, &api.Error{Kind: api.ErrUnauthorized, Message: "the cluster key is missing or wrong"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
