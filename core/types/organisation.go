package types

// OrganisationName names an organisation: an owner of applications.
type OrganisationName string

// KeyDigest is the SHA-256 digest of an organisation's key. Only the operators'
// configuration file holds the keys themselves. The zero digest means no key.
type KeyDigest [32]byte

// String hides the digest in logs and errors.
func (k KeyDigest) String() string {
	if k == (KeyDigest{}) {
		return "no key"
	}
	return "key"
}

// Upper limits of the limits of organisations.
const (
	MaxRate  = 1_000_000_000 // operations a second
	MaxBurst = 1_000_000_000 // operations
)

// Organisation is the configuration of an organisation. Its callers connect with one of
// its keys and share its limit.
type Organisation struct {
	Name     OrganisationName
	Keys     []KeyDigest // sorted
	Priority int         // 0 is the highest; nothing is decided by it yet
	Rate     float64     // operations a second over all proxies; zero means no limit
	Burst    int         // operations that may come at once beyond Rate
}

// Quota is the part of an organisation's limit that one proxy may admit.
type Quota struct {
	Rights     int     // operations that may begin in any period of the limit
	SpentUntil Instant // until then control has no more rights for the proxy
}
